package standalone

import (
	"log"
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/modules/protocolfallback"
	"quincegap/internal/network/exchange"
)

// transports has the transports to endpoints. The loop owns it.
type transports struct {
	fallback  exchange.Transport       // transport for HTTP/1.1, which every endpoint supports
	preferred exchange.Transport       // transport for HTTP/3; nil for none
	tracker   protocolfallback.Tracker // decides at which endpoints preferred is tried
}

// choose returns the transport for an attempt.
func (t *transports) choose(now time.Duration, e *exchange.Endpoint) exchange.Transport {
	if t.preferred != nil && t.tracker.ShouldAttempt(now, e.Address) {
		return t.preferred
	}
	return t.fallback
}

// fallbackAfter is called with the result of an attempt. It returns the transport through which the attempt must be sent again; nil for
// none. In that case no part of the attempt has been sent, so it counts as the same attempt.
func (t *transports) fallbackAfter(now time.Duration, ended *attempt, result exchange.Result) exchange.Transport {
	if t.preferred == nil || ended.transport != t.preferred {
		return nil
	}
	switch {
	case result.Unreachable || result.Blocked:
		if pause, changed := t.tracker.RecordFailure(now, ended.Endpoint.Address); changed {
			log.Printf("http3: no connection to %s; using HTTP/1.1 for %v", ended.Endpoint.Address, pause)
		}
		if result.Unreachable {
			return t.fallback
		}
	case result.Status == balancer.StatusNotSent:
		t.tracker.RecordInconclusive(ended.Endpoint.Address)
	default:
		t.tracker.RecordSuccess(ended.Endpoint.Address)
	}
	return nil
}

// closeIdle closes the idle connections to an endpoint.
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

// forget deletes the state of an endpoint that is no longer listed.
func (t *transports) forget(e *exchange.Endpoint) { t.tracker.Forget(e.Address) }
