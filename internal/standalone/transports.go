package standalone

import (
	"log"
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/modules/protocolfallback"
	"quincegap/internal/network/exchange"
)

// transports are the protocols to endpoints. The loop owns them.
type transports struct {
	fallback  exchange.Transport // it reaches every endpoint
	preferred exchange.Transport // it is tried before, where tracker says so; nil for none
	tracker   protocolfallback.Tracker
}

// choose gives the transport for an attempt.
func (t *transports) choose(now time.Duration, e *exchange.Endpoint) exchange.Transport {
	if t.preferred != nil && t.tracker.ShouldAttempt(now, e.Address) {
		return t.preferred
	}
	return t.fallback
}

// fallbackAfter takes how an attempt ended, and gives the transport by which it has to be made once more; nil for none.
// Nothing of it was sent then, so it is the same attempt still.
func (t *transports) fallbackAfter(now time.Duration, a *attempt, result exchange.Result) exchange.Transport {
	if t.preferred == nil || a.transport != t.preferred {
		return nil
	}
	switch {
	case result.Unreachable || result.Blocked:
		if pause, changed := t.tracker.RecordFailure(now, a.Endpoint.Address); changed {
			log.Printf("http3: no connection to %s; HTTP/1.1 for %v", a.Endpoint.Address, pause)
		}
		if result.Unreachable {
			return t.fallback
		}
	case result.Status == balancer.StatusNotSent:
		t.tracker.RecordInconclusive(a.Endpoint.Address)
	default:
		t.tracker.RecordSuccess(a.Endpoint.Address)
	}
	return nil
}

// closeIdle closes the connections to an endpoint that no attempt uses.
func (t *transports) closeIdle(e *exchange.Endpoint) {
	t.fallback.CloseIdle(e)
	if t.preferred != nil {
		t.preferred.CloseIdle(e)
	}
}

// sweep closes connections that have been idle for too long.
func (t *transports) sweep(now time.Time) {
	t.fallback.Sweep(now)
	if t.preferred != nil {
		t.preferred.Sweep(now)
	}
}

// forget drops what is known of an endpoint that is listed no more.
func (t *transports) forget(e *exchange.Endpoint) { t.tracker.Forget(e.Address) }
