// Package protocolfallback remembers at which endpoints HTTP/3 has failed, so that requests to them fall back to TCP for a while.
// HTTP/3 runs over UDP, which networks block more often than TCP, and without a word; a sidecar that tried it anew with each
// attempt would lose a handshake's time each time. The package does no I/O and takes the time as an argument.
//
// The states of an address:
//
//	            RecordFailure
//	untried ───────────────────► backing off ──── the backoff is over ───► one attempt finds out
//	   ▲                              ▲                                        │        │
//	   │                              └───── RecordFailure, with twice ────────┘        │
//	   │                                     the backoff                                │
//	   └──── RecordSuccess, Forget ─────────────────────────────────────────────────────┘
package protocolfallback

import "time"

// Settings are the backoffs after HTTP/3 has failed at an address.
type Settings struct {
	InitialBackoff time.Duration // after the first failure; each further one in a row doubles it
	MaxBackoff     time.Duration
}

// maxAddresses bounds what is remembered. HTTP/3 is tried each time at addresses beyond it.
const maxAddresses = 20000

// failure is what is known of an address at which HTTP/3 has failed.
type failure struct {
	retryAt    time.Duration // not tried before
	backoff    time.Duration
	attempting bool // one attempt is finding out
}

// Tracker is what is known of all addresses. The zero value with its Settings is ready for use. It is not safe for concurrent
// use.
type Tracker struct {
	Settings Settings
	failures map[string]*failure // by address
}

// ShouldAttempt reports whether HTTP/3 is to be tried at an address now. After a backoff one attempt finds out, while all others
// go on without; RecordSuccess, RecordFailure or RecordInconclusive has to follow it.
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

// RecordSuccess takes in that a connection came about.
func (t *Tracker) RecordSuccess(address string) { delete(t.failures, address) }

// RecordFailure takes in that no connection came about. It returns how long HTTP/3 is not tried, and whether this failure set
// that: several attempts may have waited for the same connection.
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

// RecordInconclusive takes in that an attempt ended before it was known whether a connection would come about.
func (t *Tracker) RecordInconclusive(address string) {
	if f := t.failures[address]; f != nil {
		f.attempting = false
	}
}

// Forget drops what is known of an address that is listed no more.
func (t *Tracker) Forget(address string) { delete(t.failures, address) }
