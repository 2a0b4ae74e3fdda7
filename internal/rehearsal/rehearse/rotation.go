package rehearse

import (
	"os"
	"slices"
	"sync"
	"time"
)

// rotation distributes callers over the sidecars of the first tier. It notices only after a while that one has died.
type rotation struct {
	idle    connectionPool // of callers from outside
	mu      sync.Mutex
	serving []*sidecar
	next    int
}

const (
	// failureNotice is how long the rotation goes on sending to a sidecar that was killed or stands still.
	failureNotice = 2 * time.Second
	// drainNotice is how long new connections come to a sidecar that was asked to end.
	drainNotice = 300 * time.Millisecond
)

// add adds a sidecar, as the last one.
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

// removeEnded removes a sidecar, unless it has been started again since.
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

// pick returns the next sidecar; nil if none serves.
func (r *rotation) pick() *sidecar {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.serving) == 0 {
		return nil
	}
	r.next++
	return r.serving[r.next%len(r.serving)]
}

// ifServing returns a sidecar if it is in the rotation, else nil.
func (r *rotation) ifServing(s *sidecar) *sidecar {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !slices.Contains(r.serving, s) {
		return nil
	}
	return s
}
