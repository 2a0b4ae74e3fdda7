package rehearse

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"

	"quincegap/internal/rehearsal/audit"
	"quincegap/internal/rehearsal/morning"
)

// sidecar is a process of the program that is rehearsed, with its files and its discovery.
type sidecar struct {
	rehearsal         *rehearsal
	index             int
	name              string
	address           string
	tier              int           // that it sends to
	notificationDelay time.Duration // behind others in what it hears of boxes
	number            int           // among its tier's
	count             int           // how many these are
	config            string
	discovery         *discoveryAgent
	consulAgent       *consulAgent   // nil where the platform tells of boxes
	idle              connectionPool // of the box before it

	mu       sync.Mutex
	process  *exec.Cmd
	ended    chan struct{} // closed when the process has ended
	stopping bool          // it was told to end, so that its end is no crash
	stopped  bool          // SIGSTOP: it stands still
	starts   int
	pids     []int
	cpu      time.Duration // of processes that have ended
	memory   int64         // largest, in bytes
	lastLine string
}

// program is the sidecar to start, and where its files and logs go.
type program struct {
	path string
	dir  string
	env  []string
	// starter runs on one thread for all the time: a child is killed when the thread that started it ends, and so no
	// sidecar outlives this process, however it ends.
	starter chan func()
}

func newProgram(path, dir string) *program {
	p := &program{path: path, dir: dir, starter: make(chan func())}
	go func() {
		runtime.LockOSThread()
		for f := range p.starter {
			f()
		}
	}()
	return p
}

// start starts the process, and returns when it serves.
func (s *sidecar) start(ctx context.Context, p *program) error {
	s.mu.Lock()
	s.starts++
	seed, starts := uint64(s.index)<<32^s.rehearsal.plan.Seed, s.starts
	s.mu.Unlock()
	config := map[string]any{
		"name": s.name, "listen": s.address, "discovery": s.rehearsal.discoveryAddress(s.index), "seed": fmt.Sprintf("%016x", seed+uint64(starts)),
		"limits":   map[string]any{"cores": 1.0, "memory_mb": s.rehearsal.plan.Sidecars.MemoryMB, "sockets": s.rehearsal.plan.Sidecars.Sockets},
		"settings": s.rehearsal.plan.Settings(s.tier, s.number, s.count),
	}
	if starts > 1 {
		n := s.rehearsal.discovery[s.tier]
		n.mu.Lock()
		config["known"], _ = n.changesSince(0)
		n.mu.Unlock()
	}
	text, err := json.Marshal(config)
	if err != nil {
		return err
	}
	s.config = filepath.Join(p.dir, s.name+".json")
	if err := os.WriteFile(s.config, text, 0o600); err != nil {
		return err
	}
	args, err := s.writeConfigFile(p.dir)
	if err != nil {
		return err
	}
	logs, err := os.OpenFile(filepath.Join(p.dir, s.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(p.path, args...)
	cmd.Env = append(os.Environ(), "BALANCER_CONFIG="+s.config, "BALANCER_NAME=", "BALANCER_LISTEN=", "BALANCER_DISCOVERY=")
	cmd.Env = append(cmd.Env, p.env...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	r, pipe := io.Pipe()
	cmd.Stdout, cmd.Stderr = pipe, pipe
	started := make(chan error, 1)
	p.starter <- func() { started <- cmd.Start() }
	if err := <-started; err != nil {
		pipe.Close()
		logs.Close()
		return fmt.Errorf("%s cannot be started: %w", p.path, err)
	}
	ended := make(chan struct{})
	s.mu.Lock()
	s.process, s.ended, s.stopping, s.stopped = cmd, ended, false, false
	s.pids = append(s.pids, cmd.Process.Pid)
	s.mu.Unlock()
	go func() {
		defer logs.Close()
		for lines := bufio.NewReader(r); ; {
			line, err := lines.ReadString('\n')
			io.WriteString(logs, line)
			if line = strings.TrimSpace(line); line != "" {
				s.mu.Lock()
				s.lastLine = line
				s.mu.Unlock()
			}
			if err != nil {
				return
			}
		}
	}()
	go func() {
		err := cmd.Wait()
		pipe.Close()
		s.mu.Lock()
		told, last := s.stopping, s.lastLine
		if use, ok := cmd.ProcessState.SysUsage().(*syscall.Rusage); ok {
			s.memory = max(s.memory, use.Maxrss<<10)
		}
		s.cpu += cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()
		s.mu.Unlock()
		if !told {
			s.rehearsal.rotation.remove(s)
			s.rehearsal.record(audit.Event{At: s.rehearsal.now(), Kind: audit.SidecarDied, Sidecar: s.index, Server: -1, Origin: -1, Text: fmt.Sprintf("ended by itself (%v); its last line: %s", exitText(err), last)})
		}
		close(ended)
	}()
	return s.waitReady(ctx, ended)
}

// writeConfigFile writes the product's file where the morning needs one, and returns the arguments that name it.
func (s *sidecar) writeConfigFile(dir string) (args []string, err error) {
	text, tier := "", s.rehearsal.plan.Tiers[s.tier]
	if tier.HTTP3 {
		text += fmt.Sprintf(http3File, s.rehearsal.authority, serverCertificateName)
	}
	if s.rehearsal.plan.Discovery.Consul {
		text += fmt.Sprintf(consulFile, s.rehearsal.consulAddress(s.index), tier.Name)
	}
	if s.rehearsal.links != nil && s.tier == 0 {
		text += s.peersFile(dir)
	}
	if text == "" {
		return nil, nil
	}
	path := filepath.Join(dir, s.name+".toml")
	return []string{"-config", path}, os.WriteFile(path, []byte(text), 0o600)
}

func exitText(err error) string {
	if err == nil {
		return "exit code 0"
	}
	return err.Error()
}

const readyTimeout = 10 * time.Second

// waitReady waits until the sidecar serves.
func (s *sidecar) waitReady(ctx context.Context, ended <-chan struct{}) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		if s.answers(ctx) {
			s.rehearsal.record(audit.Event{At: s.rehearsal.now(), Kind: audit.SidecarUp, Sidecar: s.index, Server: -1, Origin: -1})
			return nil
		}
		select {
		case <-ended:
			return fmt.Errorf("%s ended before it served: %s", s.name, s.lastLogLine())
		case <-ctx.Done():
			return fmt.Errorf("%s does not serve after %v: %s", s.name, readyTimeout, s.lastLogLine())
		case <-time.After(10 * time.Millisecond):
		}
	}
}

func (s *sidecar) lastLogLine() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastLine
}

var readinessClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 2 * time.Second}

// answers tells whether GET /ready is answered 200.
func (s *sidecar) answers(ctx context.Context) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.address+"/ready", nil)
	if err != nil {
		return false
	}
	res, err := readinessClient.Do(r)
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// serving tells whether its process is there and was not told to end.
func (s *sidecar) serving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.process != nil && !s.stopping && !s.stopped
}

// signal sends one. After SIGTERM comes SIGKILL, when the platform's time is up.
func (s *sidecar) signal(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.process == nil || s.process.Process == nil {
		return
	}
	note := func(k audit.Kind) {
		s.rehearsal.record(audit.Event{At: s.rehearsal.now(), Kind: k, Sidecar: s.index, Server: -1, Origin: -1})
	}
	process, ended := s.process.Process, s.ended
	switch name {
	case "SIGHUP":
		process.Signal(syscall.SIGHUP)
	case "SIGSTOP":
		note(audit.SidecarKilled)
		s.stopped, s.stopping = true, true
		process.Signal(syscall.SIGSTOP)
		time.AfterFunc(failureNotice, func() { s.rehearsal.rotation.remove(s) })
	case "SIGKILL":
		note(audit.SidecarKilled)
		s.stopping = true
		process.Kill()
		time.AfterFunc(failureNotice, func() { s.rehearsal.rotation.removeEnded(s, process) })
	case "SIGTERM":
		note(audit.SidecarStopping)
		s.stopping = true
		process.Signal(syscall.SIGTERM)
		time.AfterFunc(drainNotice, func() { s.rehearsal.rotation.removeEnded(s, process) })
		time.AfterFunc(s.rehearsal.plan.Rules.KillDelay, func() {
			select {
			case <-ended:
			default:
				process.Kill()
			}
		})
	}
}

// drainNotice is how long new connections come to a sidecar that was told to end.
const drainNotice = 300 * time.Millisecond

// removeEnded takes a sidecar out of the front, unless it has been started again since.
func (r *rotation) removeEnded(s *sidecar, process *os.Process) {
	s.mu.Lock()
	same := s.process != nil && s.process.Process == process
	s.mu.Unlock()
	if same {
		r.remove(s)
	}
}

// restart starts a sidecar that has ended again, or lets one that stands still go on. One that has not ended yet is waited for.
func (s *sidecar) restart(ctx context.Context, p *program) error {
	s.mu.Lock()
	process, ended, stopped, told := s.process, s.ended, s.stopped, s.stopping
	s.mu.Unlock()
	if process != nil && !told {
		select {
		case <-ended: // it has died by itself, which is noted
		default:
			return nil // it serves already
		}
	}
	if stopped {
		process.Process.Signal(syscall.SIGCONT)
		s.mu.Lock()
		s.stopped, s.stopping = false, false
		s.mu.Unlock()
		return s.waitReady(ctx, ended)
	}
	if ended != nil {
		select {
		case <-ended:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return s.start(ctx, p)
}

const terminationMargin = 2 * time.Second

// terminate ends the process for good. One that goes on after SIGTERM for longer than the platform lets it is killed, and said to hang.
func (s *sidecar) terminate(p *program) {
	s.mu.Lock()
	process, ended, told, stopped := s.process, s.ended, s.stopping, s.stopped
	s.stopping = true
	s.mu.Unlock()
	if process == nil {
		return
	}
	select {
	case <-ended:
		return
	default:
	}
	if stopped {
		process.Process.Kill()
	} else if !told {
		process.Process.Signal(syscall.SIGTERM)
	}
	select {
	case <-ended:
	case <-time.After(s.rehearsal.plan.Rules.KillDelay + terminationMargin):
		s.rehearsal.record(audit.Event{At: s.rehearsal.now(), Kind: audit.SidecarDied, Sidecar: s.index, Server: -1, Origin: -1, Text: "did not end after SIGTERM, and was killed"})
		syscall.Kill(-process.Process.Pid, syscall.SIGKILL)
		<-ended
	}
}

// createSidecars makes the sidecars of a plan.
func (w *rehearsal) createSidecars(plan *morning.Plan) {
	for i, x := range plan.SidecarSpecs() {
		s := &sidecar{rehearsal: w, index: i, name: x.Name, address: w.sidecarAddress(i), tier: x.Tier, number: x.Number, count: x.Count, notificationDelay: plan.NotificationDelay(x)}
		w.sidecars = append(w.sidecars, s)
		if x.Server >= 0 {
			w.sidecarOf[x.Server] = s
		}
	}
}
