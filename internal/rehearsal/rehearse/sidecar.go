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

// sidecar is one instance of the program under test, with its processes, files and discovery.
type sidecar struct {
	rehearsal         *rehearsal
	index             int
	name              string
	address           string
	tier              int            // index of the tier that it sends requests to
	notificationDelay time.Duration  // additional delay before it is notified of server changes
	number            int            // position among the sidecars of its tier
	count             int            // number of sidecars of its tier
	settingsPath      string         // path of the file with the platform's settings
	idle              connectionPool // idle connections of the server whose calls it forwards
	discovery         *discoveryAgent
	consulAgent       *consulAgent // Consul agent; nil if the platform notifies the sidecar of servers

	mu       sync.Mutex
	process  *exec.Cmd     // latest process; nil before the first start
	ended    chan struct{} // closed when the latest process has ended
	stopping bool          // whether it was told to terminate or is suspended, so that its exit is not a crash
	stopped  bool          // whether it is suspended by SIGSTOP
	starts   int
	pids     []int
	cpu      time.Duration // total CPU time of the processes that have ended
	memory   int64         // peak memory of the largest ended process, in bytes
	lastLine string        // last line of the log that is not empty
}

const (
	// readyTimeout bounds the time from the start of a sidecar until it serves.
	readyTimeout = 10 * time.Second
	// readyInterval is the interval between two readiness checks.
	readyInterval = 10 * time.Millisecond
)

// createSidecars creates the sidecars of the plan without starting them.
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

// start writes the sidecar's files, starts a process, and returns when it serves. It fails if the process cannot start, or exits or is
// not ready within readyTimeout.
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
	cmd := program.command(s.settingsPath, args, input) //nolint:contextcheck // the process ends by signals, not with a context
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

// await waits until the process exits, records its resource use, and records a crash if the exit was unexpected.
func (s *sidecar) await(cmd *exec.Cmd, output io.Closer, ended chan<- struct{}) {
	defer close(ended)
	err := cmd.Wait()
	_ = output.Close() // closing an in-memory pipe never fails
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

// exitText describes how a process exited, given the error of Wait.
func exitText(err error) string {
	if err == nil {
		return "exit code 0"
	}
	return err.Error()
}

// waitReady waits until the sidecar serves. It fails if the process exits or is not ready within readyTimeout.
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

// readinessClient is the HTTP client for readiness checks; it opens a new connection for each.
var readinessClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 2 * time.Second}

// isReady reports whether the sidecar answers GET /ready with status 200.
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

// serving reports whether a process was started that was neither told to terminate nor suspended since.
func (s *sidecar) serving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.process != nil && !s.stopping && !s.stopped
}

// record records an event of the sidecar at the current time.
func (s *sidecar) record(kind audit.Kind) {
	s.rehearsal.record(audit.Event{At: s.rehearsal.now(), Kind: kind, Sidecar: s.index, Server: -1, Origin: -1})
}

// recordDeath records that the sidecar exited unexpectedly or hangs; text says how.
func (s *sidecar) recordDeath(text string) {
	s.rehearsal.record(audit.Event{
		At: s.rehearsal.now(), Kind: audit.SidecarDied, Sidecar: s.index, Server: -1, Origin: -1, Text: text,
	})
}
