package outbound

import (
	"net/http"
	"time"

	"quincegap/internal/mesh/control/configuration"
	"quincegap/internal/mesh/dataplane/outcome"
)

const (
	shutdownSweepInterval    = 20 * time.Millisecond // between two looks at idle connections, while the process ends
	minTargetsBeforeShutdown = 2                     // a request is taken before the end if that many times its route's target fit
)

// shutdownPlan is what the end of this process means for clients' requests.
type shutdownPlan struct {
	answersDue time.Duration // on the steady clock: every request has its outcome by then
}

// ShutDownBy says that this process is about to end: each request that it has read, or reads from now on, has its answer by answersDue
// (on the steady clock). One that can't be expected to be served by then is refused at once; one that is not served by then is
// given up.
func (p *Proxy) ShutDownBy(lastAnswer time.Duration) {
	if !p.shutdownPlan.CompareAndSwap(nil, &shutdownPlan{lastAnswer}) {
		return
	}
	time.AfterFunc(lastAnswer-expiryMargin-p.Now(), func() {
		p.shuttingDown.Store(true)
		p.bodyReads.stop()
		close(p.shutdownDue)
	})
}

// RejectNewRequests has every request that comes from now on refused, but for calls of the endpoint here (servesNestedCall), and connections closed once
// they have no request under way.
func (p *Proxy) RejectNewRequests() {
	p.shuttingDown.Store(true)
	p.closeConnections(closingIdle)
}

// servesNestedCall tells whether a request is served although this process refuses others: a call of the endpoint here while it works on
// requests. Without it a request that was taken before would fail.
func (p *Proxy) servesNestedCall(conf *configuration.Config, q *http.Request) bool {
	select {
	case <-p.shutdownDue:
		return false
	default:
		return isNestedCall(conf, q) && p.options.Inbound.Pending() > 0
	}
}

// CloseConnections closes the connections that have no request under way, also those that never had one. It is to be called once
// nobody accepts connections any more; Connections tells how many are left.
func (p *Proxy) CloseConnections() { p.closeConnections(closingAll) }

// boundByShutdown bounds a request's deadline by the end of this process; it returns outcome.Ending for a request that does not fit.
func (p *Proxy) boundByShutdown(r *request, now time.Duration) outcome.Kind {
	plan := p.shutdownPlan.Load()
	if plan == nil || r.deadline <= plan.answersDue {
		return 0
	}
	if r.route.Target <= 0 || now+minTargetsBeforeShutdown*r.route.Target > plan.answersDue {
		return outcome.ShuttingDown
	}
	r.deadline = plan.answersDue
	return 0
}
