package outbound

import (
	"context"
	"sync/atomic"
	"time"

	"quincegap/internal/mesh/dataplane/outcome"
)

// minTargetsBeforeShutdown is the minimum time until answersDue, as a multiple of the route's latency target, at which a request whose
// deadline is later than answersDue is still accepted.
const minTargetsBeforeShutdown = 2

// shutdown is the state of the process's graceful shutdown that concerns clients' requests.
type shutdown struct {
	answersDue    atomic.Pointer[time.Duration] // time on the hub's clock by which every request is answered; nil before ShutDownBy
	rejecting     atomic.Bool                   // whether new requests are rejected
	inFlight      context.Context               // done expiryMargin before answersDue, when the requests in flight expire
	expirePending context.CancelFunc            // ends inFlight
}

func newShutdown() shutdown {
	inFlight, expirePending := context.WithCancel(context.Background())
	return shutdown{inFlight: inFlight, expirePending: expirePending}
}

// ShutDownBy starts the shutdown: every request, whether it was read before or is read later, is answered by answersDue on the hub's clock.
// A new request that can't be expected to be served by then is rejected at once; a request that is not served by then expires. Only the
// first call has an effect.
func (p *Proxy) ShutDownBy(answersDue time.Duration) {
	if !p.shutdown.answersDue.CompareAndSwap(nil, &answersDue) {
		return
	}
	time.AfterFunc(answersDue-expiryMargin-p.Now(), func() {
		p.shutdown.rejecting.Store(true)
		p.bodyReads.stop()
		p.shutdown.expirePending()
	})
}

// RejectNewRequests rejects all requests from now on, except for nested calls of the endpoint on this machine (servesNestedCall), and
// closes clients' connections once no request is in flight on them.
func (p *Proxy) RejectNewRequests() {
	p.shutdown.rejecting.Store(true)
	p.connections.close(closingIdle)
}

// bound moves a request's deadline to answersDue if it is later. It returns outcome.ShuttingDown if the request can't be expected to be
// served by then; else outcome.None.
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
