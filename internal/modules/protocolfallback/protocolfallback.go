// Package protocolfallback tracks the endpoints at which HTTP/3 has failed, so that requests to them fall back to TCP for a while.
// HTTP/3 runs over UDP, which networks block more often than TCP, and without an error. A sidecar that tried it with each attempt would
// lose the time of a handshake each time. The package does no I/O and takes the time as an argument.
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
// The caller opens the connections and decides which requests are sent again.
package protocolfallback

import "time"

// Settings are the bounds on the backoff after HTTP/3 has failed at an address. Both are above 0.
type Settings struct {
	InitialBackoff time.Duration // backoff after the first failure; each further failure in a row doubles it
	MaxBackoff     time.Duration // longest backoff
}

// maxAddresses bounds the number of tracked addresses. At further addresses, each attempt tries HTTP/3.
const maxAddresses = 20000

// fallbackState is the state of an address at which HTTP/3 has failed.
type fallbackState struct {
	retryAt    time.Duration // time from which HTTP/3 may be tried again
	backoff    time.Duration // length of the latest backoff
	attempting bool          // an attempt is trying HTTP/3
}

// Tracker tracks the addresses at which HTTP/3 has failed. A zero Tracker with Settings is ready for use. It is not safe for concurrent
// use.
type Tracker struct {
	Settings  Settings
	fallbacks map[string]*fallbackState // addresses at which HTTP/3 has failed
}

// ShouldAttempt reports whether HTTP/3 is to be tried at an address now. After a backoff only one attempt tries HTTP/3, while all others
// use TCP. If the result is true, the caller has to call RecordSuccess, RecordFailure or RecordInconclusive afterwards.
func (t *Tracker) ShouldAttempt(now time.Duration, address string) bool {
	state := t.fallbacks[address]
	if state == nil {
		return true
	}
	if now < state.retryAt || state.attempting {
		return false
	}
	state.attempting = true
	return true
}

// RecordSuccess records that an HTTP/3 connection was established.
func (t *Tracker) RecordSuccess(address string) { delete(t.fallbacks, address) }

// RecordFailure records that no HTTP/3 connection could be established. It returns how long HTTP/3 will not be tried. first is true if
// this failure started the backoff, and false for further attempts that had waited for the same connection and for an address that is
// not tracked.
func (t *Tracker) RecordFailure(now time.Duration, address string) (backoff time.Duration, first bool) {
	state := t.fallbacks[address]
	if state != nil && now < state.retryAt {
		return state.retryAt - now, false
	}
	if state == nil {
		if len(t.fallbacks) >= maxAddresses {
			return 0, false
		}
		state = t.add(address)
	}
	state.backoff = min(max(2*state.backoff, t.Settings.InitialBackoff), t.Settings.MaxBackoff)
	state.retryAt, state.attempting = now+state.backoff, false
	return state.backoff, true
}

func (t *Tracker) add(address string) *fallbackState {
	if t.fallbacks == nil {
		t.fallbacks = map[string]*fallbackState{}
	}
	state := &fallbackState{}
	t.fallbacks[address] = state
	return state
}

// RecordInconclusive records that an attempt ended before its HTTP/3 connection was established or failed.
func (t *Tracker) RecordInconclusive(address string) {
	if state := t.fallbacks[address]; state != nil {
		state.attempting = false
	}
}

// Forget drops the state of an address that is no longer listed.
func (t *Tracker) Forget(address string) { delete(t.fallbacks, address) }
