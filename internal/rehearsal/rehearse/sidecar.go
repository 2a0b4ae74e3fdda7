package rehearse

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"quincegap/internal/rehearsal/audit"
)

// sidecar is a process of the program that is rehearsed, with its files and its discovery.
type sidecar struct {
	rehearsal         *rehearsal
	index             int
	name              string
	address           string
	tier              int            // that it sends to
	notificationDelay time.Duration  // by how much later than others it is notified of servers
	number            int            // among those of its tier
	count             int            // how many these are
	settingsPath      string         // the file with the platform's settings
	idle              connectionPool // of the server whose calls go through it
	discovery         *discoveryAgent
	consulAgent       *consulAgent // nil where the platform notifies it of servers

	mu       sync.Mutex
	process  *exec.Cmd
	ended    chan struct{} // closed when the process has ended
	stopping bool          // it was asked to end, or stands still, so that its end is no crash
	stopped  bool          // it stands still after SIGSTOP
	starts   int
	pids     []int
	cpu      time.Duration // of processes that have ended
	memory   int64         // of the largest process, in bytes
	lastLine string        // of the log
}

const (
	// readyTimeout is how long a sidecar has until it serves.
	readyTimeout = 10 * time.Second
	// readyInterval is how often it is asked whether it serves.
	readyInterval = 10 * time.Millisecond
)

// createSidecars creates the sidecars of the plan.
func (r *rehearsal) createSidecars() {
	for i, spec := range r.plan.SidecarSpecs() {
		s := &sidecar{
			rehearsal: r, index: i, name: spec.Name, address: r.sidecarAddress(i),
			tier: spec.Tier, number: spec.Number, count: spec.Count, notificationDelay: r.plan.NotificationDelay(spec),
		}
		r.sidecars = append(r.sidecars, s)
		if spec.Server >= 0 {
			r.sidecarOf[spec.Server] = s
		}
	}
}

// start starts the process, and returns when it serves.
func (s *sidecar) start(ctx context.Context, program *program) error {
	s.mu.Lock()
	s.starts++
	starts := s.starts
	s.mu.Unlock()
	if err := s.writeSettings(program.dir, starts); err != nil {
		return err
	}
	args, err := s.writeConfigFile(program.dir)
	if err != nil {
		return err
	}
	logs, err := os.OpenFile(filepath.Join(program.dir, s.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	output, input := io.Pipe()
	cmd := program.command(s.settingsPath, args, input) //nolint:contextcheck // it ends by signals, not with a context
	if err := program.start(cmd); err != nil {
		return errors.Join(fmt.Errorf("%s cannot be started: %w", program.path, err), input.Close(), logs.Close())
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

// await waits for the end of the process, and records it if nobody has asked for it.
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

// exitText returns how a process ended, in words.
func exitText(err error) string {
	if err == nil {
		return "exit code 0"
	}
	return err.Error()
}

// waitReady waits until the sidecar serves.
func (s *sidecar) waitReady(ctx context.Context, ended <-chan struct{}) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		if s.isReady(ctx) {
			s.record(audit.SidecarUp)
			return nil
		}
		select {
		case <-ended:
			return fmt.Errorf("%s ended before it served: %s", s.name, s.lastLogLine())
		case <-ctx.Done():
			return fmt.Errorf("%s does not serve after %v: %s", s.name, readyTimeout, s.lastLogLine())
		case <-time.After(readyInterval):
		}
	}
}

// readinessClient asks sidecars whether they are ready.
var readinessClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 2 * time.Second}

// isReady reports whether GET /ready is answered 200.
func (s *sidecar) isReady(ctx context.Context) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.address+"/ready", nil)
	if err != nil {
		return false
	}
	response, err := readinessClient.Do(request)
	if err != nil {
		return false
	}
	return response.Body.Close() == nil && response.StatusCode == http.StatusOK
}

// serving reports whether there is a process that was neither asked to end nor stopped.
func (s *sidecar) serving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.process != nil && !s.stopping && !s.stopped
}

// record records an event of the sidecar now.
func (s *sidecar) record(kind audit.Kind) {
	s.rehearsal.record(audit.Event{At: s.rehearsal.now(), Kind: kind, Sidecar: s.index, Server: -1, Origin: -1})
}

// recordDeath records that the sidecar ended by itself, or hangs.
func (s *sidecar) recordDeath(text string) {
	s.rehearsal.record(audit.Event{
		At: s.rehearsal.now(), Kind: audit.SidecarDied, Sidecar: s.index, Server: -1, Origin: -1, Text: text,
	})
}
