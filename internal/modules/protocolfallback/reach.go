// Package protocolfallback remembers by which protocol an endpoint can be reached. HTTP/3
// runs over UDP, which networks block more often than TCP, and in silence; a
// sidecar that tried it anew with each attempt would lose a handshake's patience
// each time. The package does no I/O and takes the time as an argument.
package protocolfallback

import "time"

// Settings are the pauses after HTTP/3 has failed.
type Settings struct {
	InitialBackoff time.Duration // after the first failure; each further one in a row doubles it
	MaxBackoff     time.Duration
}

// maxAddresses bounds what is remembered. Addresses beyond it are tried each time.
const maxAddresses = 20000

// failure is what is known of an address that has failed.
type failure struct {
	retryAt    time.Duration // not tried before
	backoff    time.Duration
	attempting bool // one attempt is finding out
}

// Tracker is what is known of all addresses. The zero value with its Settings is ready for use.
type Tracker struct {
	Settings Settings
	failures map[string]*failure
}

// ShouldAttempt tells whether HTTP/3 is to be tried with an address now. After a pause one attempt finds out, while all
// others go on without; Worked or Failed has to follow it.
func (t *Tracker) ShouldAttempt(now time.Duration, address string) bool {
	w := t.failures[address]
	if w == nil {
		return true
	}
	if now < w.retryAt || w.attempting {
		return false
	}
	w.attempting = true
	return true
}

// RecordSuccess tells that a connection came about.
func (t *Tracker) RecordSuccess(address string) { delete(t.failures, address) }

// RecordFailure tells that none did. It returns how long HTTP/3 is not tried, and whether that is news: several
// attempts may have waited for the same connection.
func (t *Tracker) RecordFailure(now time.Duration, address string) (pause time.Duration, news bool) {
	w := t.failures[address]
	if w == nil {
		if t.failures == nil {
			t.failures = map[string]*failure{}
		}
		if len(t.failures) >= maxAddresses {
			return 0, false
		}
		w = &failure{}
		t.failures[address] = w
	} else if now < w.retryAt {
		return w.retryAt - now, false
	}
	w.backoff = min(max(2*w.backoff, t.Settings.InitialBackoff), t.Settings.MaxBackoff)
	w.retryAt, w.attempting = now+w.backoff, false
	return w.backoff, true
}

// RecordInconclusive tells that an attempt ended before it was known whether a connection would come about.
func (t *Tracker) RecordInconclusive(address string) {
	if w := t.failures[address]; w != nil {
		w.attempting = false
	}
}

// Forget drops what is known of an address that is listed no more.
func (t *Tracker) Forget(address string) { delete(t.failures, address) }
