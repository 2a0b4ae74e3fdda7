package rehearse

import (
	"context"
	"os"
	"syscall"
	"time"

	"quincegap/internal/rehearsal/audit"
)

// terminationMargin is the time beyond the platform's kill delay after which a terminating sidecar counts as hanging.
const terminationMargin = 2 * time.Second

// signal sends the named signal to the process, if there is one. A signal that ends or suspends the process also schedules the sidecar's
// removal from the rotation, and SIGTERM is followed by SIGKILL after the platform's kill delay.
func (s *sidecar) signal(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.process == nil || s.process.Process == nil {
		return
	}
	process, ended := s.process.Process, s.ended
	switch name {
	case "SIGHUP":
		sendSignal(process, syscall.SIGHUP)
	case "SIGSTOP":
		s.record(audit.SidecarKilled)
		s.stopped, s.stopping = true, true
		sendSignal(process, syscall.SIGSTOP)
		time.AfterFunc(failureNotice, func() { s.rehearsal.rotation.remove(s) })
	case "SIGKILL":
		s.record(audit.SidecarKilled)
		s.stopping = true
		sendSignal(process, syscall.SIGKILL)
		time.AfterFunc(failureNotice, func() { s.rehearsal.rotation.removeEnded(s, process) })
	case "SIGTERM":
		s.record(audit.SidecarStopping)
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

// sendSignal sends a signal to a process. Errors are ignored: the process may have ended already, and its exit is awaited elsewhere.
func sendSignal(process *os.Process, signal syscall.Signal) { _ = process.Signal(signal) }

// killWithServer kills the sidecar of a server that is being restarted. The sidecar may be suspended since the server became silent.
func (s *sidecar) killWithServer() {
	s.signal("SIGKILL")
	s.mu.Lock()
	s.stopped = false
	s.mu.Unlock()
}

// restart starts a new process, or resumes the current one if it is suspended. It first waits for the exit of a process that is
// terminating, and does nothing if the sidecar serves already.
func (s *sidecar) restart(ctx context.Context, program *program) error {
	s.mu.Lock()
	process, ended, stopped, stopping := s.process, s.ended, s.stopped, s.stopping
	s.mu.Unlock()
	if process != nil && !stopping {
		select {
		case <-ended: // the process crashed, which is recorded already
		default:
			return nil // the sidecar already serves
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
	return s.start(ctx, program)
}

// terminate ends the process permanently and waits for its exit. A process that runs on after SIGTERM for longer than the platform's
// kill delay and terminationMargin is recorded as hanging and killed.
func (s *sidecar) terminate() {
	s.mu.Lock()
	process, ended, stopping, stopped := s.process, s.ended, s.stopping, s.stopped
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
	} else if !stopping {
		sendSignal(process.Process, syscall.SIGTERM)
	}
	select {
	case <-ended:
	case <-time.After(s.rehearsal.plan.Rules.KillDelay + terminationMargin):
		s.recordDeath("did not end after SIGTERM, and was killed")
		_ = syscall.Kill(-process.Process.Pid, syscall.SIGKILL) // the whole process group; it may have ended already
		<-ended
	}
}
