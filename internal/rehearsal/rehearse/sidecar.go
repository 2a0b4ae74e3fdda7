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
	w       *world
	index   int
	name    string
	address string
	tier    int           // that it sends to
	late    time.Duration // behind others in what it hears of boxes
	number  int           // among its tier's
	of      int           // how many these are
	config  string
	agent   *agent
	agency  *agency // nil where the platform tells of boxes
	idle    pool    // of the box before it

	mu       sync.Mutex
	process  *exec.Cmd
	ended    chan struct{} // closed when the process has ended
	told     bool          // it was told to end, so that its end is no crash
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
	seed, starts := uint64(s.index)<<32^s.w.plan.Seed, s.starts
	s.mu.Unlock()
	config := map[string]any{
		"name": s.name, "listen": s.address, "discovery": s.w.discoveryAddress(s.index), "seed": fmt.Sprintf("%016x", seed+uint64(starts)),
		"limits":   map[string]any{"cores": 1.0, "memory_mb": s.w.plan.Sidecars.MemoryMB, "sockets": s.w.plan.Sidecars.Sockets},
		"settings": s.w.plan.Settings(s.tier, s.number, s.of),
	}
	if starts > 1 {
		n := s.w.news[s.tier]
		n.mu.Lock()
		config["known"], _ = n.since(0)
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
	args, err := s.file(p.dir)
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
	s.process, s.ended, s.told, s.stopped = cmd, ended, false, false
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
		told, last := s.told, s.lastLine
		if use, ok := cmd.ProcessState.SysUsage().(*syscall.Rusage); ok {
			s.memory = max(s.memory, use.Maxrss<<10)
		}
		s.cpu += cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()
		s.mu.Unlock()
		if !told {
			s.w.front.remove(s)
			s.w.add(audit.Event{At: s.w.now(), Kind: audit.Died, Sidecar: s.index, Box: -1, Origin: -1, Text: fmt.Sprintf("ended by itself (%v); its last line: %s", errorOf(err), last)})
		}
		close(ended)
	}()
	return s.ready(ctx, ended)
}

// file writes the product's file where the morning needs one, and returns the arguments that name it.
func (s *sidecar) file(dir string) (args []string, err error) {
	text, tier := "", s.w.plan.Tiers[s.tier]
	if tier.HTTP3 {
		text += fmt.Sprintf(http3File, s.w.authority, boxName)
	}
	if s.w.plan.Discovery.Consul {
		text += fmt.Sprintf(consulFile, s.w.consulAddress(s.index), tier.Name)
	}
	if s.w.links != nil && s.tier == 0 {
		text += s.peersFile(dir)
	}
	if text == "" {
		return nil, nil
	}
	path := filepath.Join(dir, s.name+".toml")
	return []string{"-config", path}, os.WriteFile(path, []byte(text), 0o600)
}

func errorOf(err error) string {
	if err == nil {
		return "exit code 0"
	}
	return err.Error()
}

const readyWithin = 10 * time.Second

// ready waits until the sidecar serves.
func (s *sidecar) ready(ctx context.Context, ended <-chan struct{}) error {
	ctx, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	for {
		if s.answers(ctx) {
			s.w.add(audit.Event{At: s.w.now(), Kind: audit.Up, Sidecar: s.index, Box: -1, Origin: -1})
			return nil
		}
		select {
		case <-ended:
			return fmt.Errorf("%s ended before it served: %s", s.name, s.last())
		case <-ctx.Done():
			return fmt.Errorf("%s does not serve after %v: %s", s.name, readyWithin, s.last())
		case <-time.After(10 * time.Millisecond):
		}
	}
}

func (s *sidecar) last() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastLine
}

var asking = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 2 * time.Second}

// answers tells whether GET /ready is answered 200.
func (s *sidecar) answers(ctx context.Context) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.address+"/ready", nil)
	if err != nil {
		return false
	}
	res, err := asking.Do(r)
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
	return s.process != nil && !s.told && !s.stopped
}

// signal sends one. After SIGTERM comes SIGKILL, when the platform's time is up.
func (s *sidecar) signal(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.process == nil || s.process.Process == nil {
		return
	}
	note := func(k audit.Kind) {
		s.w.add(audit.Event{At: s.w.now(), Kind: k, Sidecar: s.index, Box: -1, Origin: -1})
	}
	process, ended := s.process.Process, s.ended
	switch name {
	case "SIGHUP":
		process.Signal(syscall.SIGHUP)
	case "SIGSTOP":
		note(audit.Killed)
		s.stopped, s.told = true, true
		process.Signal(syscall.SIGSTOP)
		time.AfterFunc(notice, func() { s.w.front.remove(s) })
	case "SIGKILL":
		note(audit.Killed)
		s.told = true
		process.Kill()
		time.AfterFunc(notice, func() { s.w.front.removeEnded(s, process) })
	case "SIGTERM":
		note(audit.Stopping)
		s.told = true
		process.Signal(syscall.SIGTERM)
		time.AfterFunc(drainsWithin, func() { s.w.front.removeEnded(s, process) })
		time.AfterFunc(s.w.plan.Rules.Kill, func() {
			select {
			case <-ended:
			default:
				process.Kill()
			}
		})
	}
}

// drainsWithin is how long new connections come to a sidecar that was told to end.
const drainsWithin = 300 * time.Millisecond

// removeEnded takes a sidecar out of the front, unless it has been started again since.
func (f *front) removeEnded(s *sidecar, process *os.Process) {
	s.mu.Lock()
	same := s.process != nil && s.process.Process == process
	s.mu.Unlock()
	if same {
		f.remove(s)
	}
}

// revive starts a sidecar that has ended again, or lets one that stands still go on. One that has not ended yet is waited for.
func (s *sidecar) revive(ctx context.Context, p *program) error {
	s.mu.Lock()
	process, ended, stopped, told := s.process, s.ended, s.stopped, s.told
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
		s.stopped, s.told = false, false
		s.mu.Unlock()
		return s.ready(ctx, ended)
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

const endsWithin = 2 * time.Second

// end ends the process for good. One that goes on after SIGTERM for longer than the platform lets it is killed, and said to hang.
func (s *sidecar) end(p *program) {
	s.mu.Lock()
	process, ended, told, stopped := s.process, s.ended, s.told, s.stopped
	s.told = true
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
	case <-time.After(s.w.plan.Rules.Kill + endsWithin):
		s.w.add(audit.Event{At: s.w.now(), Kind: audit.Died, Sidecar: s.index, Box: -1, Origin: -1, Text: "did not end after SIGTERM, and was killed"})
		syscall.Kill(-process.Process.Pid, syscall.SIGKILL)
		<-ended
	}
}

// sidecarsOf makes the sidecars of a plan.
func (w *world) sidecarsOf(plan *morning.Plan) {
	for i, x := range plan.Senders() {
		s := &sidecar{w: w, index: i, name: x.Name, address: w.sidecarAddress(i), tier: x.Tier, number: x.Number, of: x.Of, late: plan.LateFor(x)}
		w.sidecars = append(w.sidecars, s)
		if x.Box >= 0 {
			w.behind[x.Box] = s
		}
	}
}
