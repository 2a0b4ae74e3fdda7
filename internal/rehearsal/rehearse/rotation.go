package rehearse

import (
	"os"
	"slices"
	"sync"
	"time"
)

// rotation distributes external callers over the sidecars of the first tier in turn. It removes a failed sidecar only after a delay.
type rotation struct {
	idle    connectionPool // idle connections of external callers
	mu      sync.Mutex
	serving []*sidecar
	next    int
}

const (
	// failureNotice is the delay until the rotation removes a sidecar that was killed or suspended.
	failureNotice = 2 * time.Second
	// drainNotice is the delay until the rotation removes a sidecar that was told to terminate.
	drainNotice = 300 * time.Millisecond
)

// add adds a sidecar at the end, or moves it there if it is already included.
func (r *rotation) add(s *sidecar) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.removeLocked(s)
	r.serving = append(r.serving, s)
}

// remove removes a sidecar.
func (r *rotation) remove(s *sidecar) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.removeLocked(s)
}

// removeEnded removes a sidecar, unless a new process has replaced the given one.
func (r *rotation) removeEnded(s *sidecar, process *os.Process) {
	s.mu.Lock()
	same := s.process != nil && s.process.Process == process
	s.mu.Unlock()
	if same {
		r.remove(s)
	}
}

// removeLocked is remove with r.mu held.
func (r *rotation) removeLocked(removed *sidecar) {
	r.serving = slices.DeleteFunc(slices.Clone(r.serving), func(s *sidecar) bool { return s == removed })
}

// pick returns the next sidecar in turn, or nil if the rotation is empty.
func (r *rotation) pick() *sidecar {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.serving) == 0 {
		return nil
	}
	r.next++
	return r.serving[r.next%len(r.serving)]
}

// ifServing returns the sidecar if the rotation includes it, otherwise nil.
func (r *rotation) ifServing(s *sidecar) *sidecar {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !slices.Contains(r.serving, s) {
		return nil
	}
	return s
}
