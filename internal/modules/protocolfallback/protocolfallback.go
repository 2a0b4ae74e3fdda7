// Package protocolfallback tracks at which endpoints HTTP/3 has failed, so that requests to them fall back to TCP for a while. HTTP/3
// runs over UDP, which networks block more often than TCP, and without an error; a sidecar that tried it with each attempt would lose
// the time of a handshake each time. The package does no I/O and takes the time as an argument.
//
// The states of an address:
//
//	            RecordFailure
//	untried ───────────────────► backing off ──── the backoff is over ───► one attempt tries it
//	   ▲                              ▲                                        │        │
//	   │                              └───── RecordFailure, with twice ────────┘        │
//	   │                                     the backoff                                │
//	   └──── RecordSuccess, Forget ─────────────────────────────────────────────────────┘
//
// It does not open connections, and does not decide what is sent again: the caller does.
package protocolfallback

import "time"

// Settings are the backoffs after HTTP/3 has failed at an address. Both are above 0.
type Settings struct {
	InitialBackoff time.Duration // after the first failure; each further one in a row doubles it
	MaxBackoff     time.Duration
}

// maxAddresses bounds the addresses that are tracked. At others HTTP/3 is tried with each attempt.
const maxAddresses = 20000

// failure is the state of an address at which HTTP/3 has failed.
type failure struct {
	retryAt    time.Duration // when HTTP/3 may be tried again
	backoff    time.Duration
	attempting bool // an attempt tries it
}

// Tracker tracks all addresses. A zero Tracker with its Settings is ready for use. It is not safe for concurrent use.
type Tracker struct {
	Settings Settings
	failures map[string]*failure // by address
}

// ShouldAttempt reports whether HTTP/3 is to be tried at an address now. After a backoff only one attempt tries it, while all others
// use TCP. If the result is true, RecordSuccess, RecordFailure or RecordInconclusive has to follow.
func (t *Tracker) ShouldAttempt(now time.Duration, address string) bool {
	f := t.failures[address]
	if f == nil {
		return true
	}
	if now < f.retryAt || f.attempting {
		return false
	}
	f.attempting = true
	return true
}

// RecordSuccess records that a connection was established.
func (t *Tracker) RecordSuccess(address string) { delete(t.failures, address) }

// RecordFailure records that no connection could be established. It returns how long HTTP/3 is not tried, and whether this failure is
// the first to say so: several attempts may have waited for the same connection.
func (t *Tracker) RecordFailure(now time.Duration, address string) (backoff time.Duration, first bool) {
	f := t.failures[address]
	if f != nil && now < f.retryAt {
		return f.retryAt - now, false
	}
	if f == nil {
		if len(t.failures) >= maxAddresses {
			return 0, false
		}
		f = t.add(address)
	}
	f.backoff = min(max(2*f.backoff, t.Settings.InitialBackoff), t.Settings.MaxBackoff)
	f.retryAt, f.attempting = now+f.backoff, false
	return f.backoff, true
}

func (t *Tracker) add(address string) *failure {
	if t.failures == nil {
		t.failures = map[string]*failure{}
	}
	f := &failure{}
	t.failures[address] = f
	return f
}

// RecordInconclusive records that an attempt ended before a connection was established or had failed.
func (t *Tracker) RecordInconclusive(address string) {
	if f := t.failures[address]; f != nil {
		f.attempting = false
	}
}

// Forget drops the state of an address that is no longer listed.
func (t *Tracker) Forget(address string) { delete(t.failures, address) }
