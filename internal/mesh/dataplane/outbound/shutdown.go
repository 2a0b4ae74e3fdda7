package outbound

import (
	"net/http"
	"time"

	"quincegap/internal/mesh/control/configuration"
	"quincegap/internal/mesh/dataplane/outcome"
)

const (
	closeInterval = 20 * time.Millisecond // between two looks at idle connections, while the process ends
	fittingAims   = 2                     // a request is taken before the end if that many times its route's target fit
)

// shutdownPlan is what the end of this process means for clients' requests.
type shutdownPlan struct {
	lastAnswer time.Duration // on the steady clock: every request has its outcome by then
}

// EndBy says that this process is about to end: each request that it has read, or reads from now on, has its answer by lastAnswer
// (on the steady clock). One that can't be expected to be served by then is refused at once; one that is not served by then is
// given up.
func (d *Proxy) EndBy(lastAnswer time.Duration) {
	if !d.shutdown.CompareAndSwap(nil, &shutdownPlan{lastAnswer}) {
		return
	}
	time.AfterFunc(lastAnswer-lapseMargin-d.Now(), func() {
		d.ending.Store(true)
		d.reads.stop()
		close(d.lastAnswer)
	})
}

// Refuse has every request that comes from now on refused, but for calls of the endpoint here (servesCall), and connections closed once
// they have no request under way.
func (d *Proxy) Refuse() {
	d.ending.Store(true)
	d.closeConnections(closingIdle)
}

// servesCall tells whether a request is served although this process refuses others: a call of the endpoint here while it works on
// requests. Without it a request that was taken before would fail.
func (d *Proxy) servesCall(conf *configuration.Config, q *http.Request) bool {
	select {
	case <-d.lastAnswer:
		return false
	default:
		return isCall(conf, q) && d.o.Inbound.Busy() > 0
	}
}

// CloseConnections closes the connections that have no request under way, also those that never had one. It is to be called once
// nobody accepts connections any more; Connections tells how many are left.
func (d *Proxy) CloseConnections() { d.closeConnections(closingAll) }

// fitBeforeEnd bounds a request's deadline by the end of this process; it returns outcome.Ending for a request that does not fit.
func (d *Proxy) fitBeforeEnd(r *request, now time.Duration) outcome.Kind {
	plan := d.shutdown.Load()
	if plan == nil || r.deadline <= plan.lastAnswer {
		return 0
	}
	if r.route.Target <= 0 || now+fittingAims*r.route.Target > plan.lastAnswer {
		return outcome.Ending
	}
	r.deadline = plan.lastAnswer
	return 0
}
