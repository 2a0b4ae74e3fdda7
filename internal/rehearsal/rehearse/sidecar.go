package rehearse

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
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
	"quincegap/internal/rehearsal/scenario"
)

// sidecar is a process of the program that is rehearsed, with its files and its discovery.
type sidecar struct {
	rehearsal         *rehearsal
	index             int
	name              string
	address           string
	tier              int           // that it sends to
	notificationDelay time.Duration // behind others in what it hears of servers
	number            int           // among its tier's
	count             int           // how many these are
	config            string
	discovery         *discoveryAgent
	consulAgent       *consulAgent   // nil where the platform tells of servers
	idle              connectionPool // of the server before it

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

// newProgram returns a program with its starter, which ends when its channel is closed.
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
	starts := s.starts
	s.mu.Unlock()
	if err := s.writeSettings(p.dir, starts); err != nil {
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
	output, input := io.Pipe()
	cmd := p.command(s.config, args, input) //nolint:contextcheck // it ends by signals, not with a context
	if err := p.start(cmd); err != nil {
		return errors.Join(fmt.Errorf("%s cannot be started: %w", p.path, err), input.Close(), logs.Close())
	}
	ended := make(chan struct{})
	s.mu.Lock()
	s.process = cmd
	s.ended = ended
	s.stopping = false
	s.stopped = false
	s.pids = append(s.pids, cmd.Process.Pid)
	s.mu.Unlock()
	go s.copyLog(output, logs)
	go s.await(cmd, input, ended)
	return s.waitReady(ctx, ended)
}

// writeSettings writes the file with the platform's settings; from the second start on it has the list that is known.
func (s *sidecar) writeSettings(dir string, starts int) error {
	plan := s.rehearsal.plan
	seed := uint64(s.index)<<32 ^ plan.Seed
	config := map[string]any{
		"name": s.name, "listen": s.address, "discovery": s.rehearsal.discoveryAddress(s.index),
		"seed":     fmt.Sprintf("%016x", seed+uint64(starts)),
		"limits":   map[string]any{"cores": 1.0, "memory_mb": plan.Sidecars.MemoryMB, "sockets": plan.Sidecars.Sockets},
		"settings": plan.Settings(s.tier, s.number, s.count),
	}
	if starts > 1 {
		tier := s.rehearsal.discovery[s.tier]
		tier.mu.Lock()
		config["known"], _ = tier.changesSince(0)
		tier.mu.Unlock()
	}
	text, err := json.Marshal(config)
	if err != nil {
		return fmt.Errorf("settings of %s: %w", s.name, err)
	}
	s.config = filepath.Join(dir, s.name+".json")
	return os.WriteFile(s.config, text, 0o600)
}

// command returns the process of a sidecar, which is not started. It ends by itself or by signals, not with a context: its end is
// part of what is rehearsed.
func (p *program) command(config string, args []string, output io.Writer) *exec.Cmd {
	cmd := exec.CommandContext(context.Background(), p.path, args...)
	cmd.Env = append(os.Environ(), "BALANCER_CONFIG="+config, "BALANCER_NAME=", "BALANCER_LISTEN=", "BALANCER_DISCOVERY=")
	cmd.Env = append(cmd.Env, p.env...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	cmd.Stdout = output
	cmd.Stderr = output
	return cmd
}

// start starts a process on the thread of the starter.
func (p *program) start(cmd *exec.Cmd) error {
	started := make(chan error, 1)
	p.starter <- func() { started <- cmd.Start() }
	return <-started
}

// copyLog copies what the process writes to its log, and keeps the last line.
func (s *sidecar) copyLog(output io.Reader, logs io.WriteCloser) {
	defer func() { _ = logs.Close() }() // the log is for people; what is judged doesn't depend on it
	for lines := bufio.NewReader(output); ; {
		line, err := lines.ReadString('\n')
		_, _ = io.WriteString(logs, line) // likewise
		if line = strings.TrimSpace(line); line != "" {
			s.mu.Lock()
			s.lastLine = line
			s.mu.Unlock()
		}
		if err != nil {
			return
		}
	}
}

// await waits for the end of the process, and notes it where nobody has asked for it.
func (s *sidecar) await(cmd *exec.Cmd, output io.Closer, ended chan<- struct{}) {
	defer close(ended)
	err := cmd.Wait()
	_ = output.Close() // of a pipe in memory, which never fails
	s.mu.Lock()
	expected, last := s.stopping, s.lastLine
	if use, ok := cmd.ProcessState.SysUsage().(*syscall.Rusage); ok {
		s.memory = max(s.memory, use.Maxrss<<10)
	}
	s.cpu += cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()
	s.mu.Unlock()
	if !expected {
		s.rehearsal.rotation.remove(s)
		s.recordDeath(fmt.Sprintf("ended by itself (%v); its last line: %s", exitText(err), last))
	}
}

// recordDeath notes that the sidecar ended by itself, or hangs.
func (s *sidecar) recordDeath(text string) {
	s.rehearsal.record(audit.Event{
		At: s.rehearsal.now(), Kind: audit.SidecarDied, Sidecar: s.index, Server: -1, Origin: -1, Text: text,
	})
}

// writeConfigFile writes the product's file where the scenario needs one, and returns the arguments that name it.
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

// exitText words how a process ended.
func exitText(err error) string {
	if err == nil {
		return "exit code 0"
	}
	return err.Error()
}

// readyTimeout is how long a sidecar has until it serves.
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

// readinessClient asks sidecars whether they are ready.
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
	return res.Body.Close() == nil && res.StatusCode == http.StatusOK
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
		sendSignal(process, syscall.SIGHUP)
	case "SIGSTOP":
		note(audit.SidecarKilled)
		s.stopped, s.stopping = true, true
		sendSignal(process, syscall.SIGSTOP)
		time.AfterFunc(failureNotice, func() { s.rehearsal.rotation.remove(s) })
	case "SIGKILL":
		note(audit.SidecarKilled)
		s.stopping = true
		sendSignal(process, syscall.SIGKILL)
		time.AfterFunc(failureNotice, func() { s.rehearsal.rotation.removeEnded(s, process) })
	case "SIGTERM":
		note(audit.SidecarStopping)
		s.stopping = true
		sendSignal(process, syscall.SIGTERM)
		time.AfterFunc(drainNotice, func() { s.rehearsal.rotation.removeEnded(s, process) })
		time.AfterFunc(s.rehearsal.plan.Rules.KillDelay, func() {
			select {
			case <-ended:
			default:
				sendSignal(process, syscall.SIGKILL)
			}
		})
	}
}

// sendSignal sends a signal to a process, which may have ended already: its end is waited for elsewhere.
func sendSignal(process *os.Process, signal syscall.Signal) { _ = process.Signal(signal) }

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
		sendSignal(process.Process, syscall.SIGCONT)
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

// terminationMargin is how much longer than the platform lets it a sidecar has to end.
const terminationMargin = 2 * time.Second

// terminate ends the process for good. One that goes on after SIGTERM for longer than the platform lets it is killed, and said to hang.
func (s *sidecar) terminate() {
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
		sendSignal(process.Process, syscall.SIGKILL)
	} else if !told {
		sendSignal(process.Process, syscall.SIGTERM)
	}
	select {
	case <-ended:
	case <-time.After(s.rehearsal.plan.Rules.KillDelay + terminationMargin):
		s.recordDeath("did not end after SIGTERM, and was killed")
		_ = syscall.Kill(-process.Process.Pid, syscall.SIGKILL) // all that it has started, too; it may end just now
		<-ended
	}
}

// createSidecars makes the sidecars of a plan.
func (w *rehearsal) createSidecars(plan *scenario.Plan) {
	for i, x := range plan.SidecarSpecs() {
		s := &sidecar{rehearsal: w, index: i, name: x.Name, address: w.sidecarAddress(i), tier: x.Tier, number: x.Number, count: x.Count, notificationDelay: plan.NotificationDelay(x)}
		w.sidecars = append(w.sidecars, s)
		if x.Server >= 0 {
			w.sidecarOf[x.Server] = s
		}
	}
}
