package outbound

import (
	"sync/atomic"
	"time"

	"quincegap/internal/mesh/dataplane/outcome"
)

// minTargetsBeforeShutdown is the time that must be left until answersDue, in latency targets of the route, for a request to be accepted
// whose deadline is later than answersDue.
const minTargetsBeforeShutdown = 2

// shutdown is the progress of the process's graceful shutdown, as it concerns clients' requests.
type shutdown struct {
	answersDue atomic.Pointer[time.Duration] // by then, on the hub's clock, every request is answered; nil before ShutDownBy
	rejecting  atomic.Bool                   // new requests are rejected
	due        chan struct{}                 // closed expiryMargin before answersDue: the requests in flight expire then
}

func newShutdown() shutdown { return shutdown{due: make(chan struct{})} }

// ShutDownBy starts the shutdown: every request that was read, or is read from now on, is answered by answersDue on the hub's clock. A
// new one that can't be expected to be served by then is rejected at once; one that is not served by then expires. Only the first call
// has an effect.
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

// RejectNewRequests rejects all requests from now on, except for nested calls of the endpoint on this machine (servesNestedCall), and
// closes clients' connections once no request is in flight on them.
func (p *Proxy) RejectNewRequests() {
	p.shutdown.rejecting.Store(true)
	p.connections.close(closingIdle)
}

// bound bounds a request's deadline by answersDue. It returns outcome.ShuttingDown if the request can't be expected to be served by then.
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
