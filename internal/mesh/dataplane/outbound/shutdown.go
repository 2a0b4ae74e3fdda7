package outbound

import (
	"sync/atomic"
	"time"

	"quincegap/internal/mesh/dataplane/outcome"
)

// minTargetsBeforeShutdown is the time, in latency targets of its route, that must be left until answersDue for a request to be taken whose
// own deadline is later.
const minTargetsBeforeShutdown = 2

// shutdown is what the end of this process means for clients' requests.
type shutdown struct {
	answersDue atomic.Pointer[time.Duration] // on the steady clock: every request has its answer by then; nil for no end planned
	rejecting  atomic.Bool                   // no new request is taken
	due        chan struct{}                 // closed expiryMargin before answersDue: requests that wait expire then
}

func newShutdown() shutdown { return shutdown{due: make(chan struct{})} }

// ShutDownBy says that this process is about to end: each request that it has read, or reads from now on, has its answer by answersDue
// (on the steady clock). One that can't be expected to be served by then is rejected at once; one that is not served by then expires.
func (p *Proxy) ShutDownBy(answersDue time.Duration) {
	if !p.shutdown.answersDue.CompareAndSwap(nil, &answersDue) {
		return
	}
	time.AfterFunc(answersDue-expiryMargin-p.Now(), func() {
		p.shutdown.rejecting.Store(true)
		p.bodyReads.stop()
		close(p.shutdown.due)
	})
}

// RejectNewRequests has every request that comes from now on rejected, but for nested calls of the endpoint here (servesNestedCall),
// and connections closed once they have no request under way.
func (p *Proxy) RejectNewRequests() {
	p.shutdown.rejecting.Store(true)
	p.connections.close(closingIdle)
}

// bound bounds a request's deadline by the end of this process; it returns outcome.ShuttingDown for a request that does not fit.
func (s *shutdown) bound(r *request, now time.Duration) outcome.Kind {
	answersDue := s.answersDue.Load()
	if answersDue == nil || r.deadline <= *answersDue {
		return outcome.None
	}
	if r.route.Target <= 0 || now+minTargetsBeforeShutdown*r.route.Target > *answersDue {
		return outcome.ShuttingDown
	}
	r.deadline = *answersDue
	return outcome.None
}
