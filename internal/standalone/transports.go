package standalone

import (
	"log"
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/modules/protocolfallback"
	"quincegap/internal/network/exchange"
)

// transports are the ways to endpoints. The loop owns them.
type transports struct {
	usual exchange.Transport // it reaches every endpoint
	first exchange.Transport // it is tried before, where reach says so; nil for none
	reach protocolfallback.Tracker
}

// choose gives the way for an attempt.
func (t *transports) choose(now time.Duration, e *exchange.Endpoint) exchange.Transport {
	if t.first != nil && t.reach.ShouldAttempt(now, e.Address) {
		return t.first
	}
	return t.usual
}

// ended takes how an attempt ended, and gives the way by which it has to be made once more; nil for none.
// Nothing of it was sent then, so it is the same attempt still.
func (t *transports) ended(now time.Duration, a *attempt, res exchange.Result) exchange.Transport {
	if t.first == nil || a.by != t.first {
		return nil
	}
	switch {
	case res.Elsewhere || res.Blocked:
		if pause, news := t.reach.RecordFailure(now, a.Endpoint.Address); news {
			log.Printf("http3: no connection to %s; HTTP/1.1 for %v", a.Endpoint.Address, pause)
		}
		if res.Elsewhere {
			return t.usual
		}
	case res.Status == balancer.StatusNotSent:
		t.reach.RecordInconclusive(a.Endpoint.Address)
	default:
		t.reach.RecordSuccess(a.Endpoint.Address)
	}
	return nil
}

func (t *transports) closeIdle(e *exchange.Endpoint) {
	t.usual.CloseIdle(e)
	if t.first != nil {
		t.first.CloseIdle(e)
	}
}

func (t *transports) sweep(now time.Time) {
	t.usual.Sweep(now)
	if t.first != nil {
		t.first.Sweep(now)
	}
}

// forget drops what is known of an endpoint that is listed no more.
func (t *transports) forget(e *exchange.Endpoint) { t.reach.Forget(e.Address) }
