// Package throttle implements client-side throttling: it limits a client's rejected attempts in proportion to its successful ones
// (Beyer, Jones, Petoff, Murphy: Site Reliability Engineering, 2016, chapter 21). It is a token bucket that is refilled by responses,
// and it reads no clock.
//
// A single client that immediately retries a rejected request with the next server is harmless. With many such clients, servers
// without free capacity receive a multiple of the requests, and the factor grows with the number of clients, because each client has
// to discover separately which servers reject requests. The number of tokens that are earned by responses depends on the number of
// responses, not on the number of clients.
package throttle

import "time"

// Throttle limits the attempts of one client. Each attempt costs a token. The zero value has no tokens until the first Update. It
// is not safe for concurrent use.
type Throttle struct {
	tokens, capacity float64
	rate             float64 // tokens added per second, independent of responses
	updatedAt        time.Duration
	initialized      bool // whether Update was called
}

// Update advances the throttle to the time now, and sets the limits that apply from then on. capacity is the maximum number of tokens,
// which bounds the attempts in a burst that gets no response. rate is the number of tokens per second that are added independent of
// responses; with a rate of 0, a client that gets no response would never make another attempt. The first call sets the number of
// tokens to initial, because a new client has earned none; it is at most capacity. No argument may be negative, and now must not
// decrease.
func (t *Throttle) Update(now time.Duration, rate, initial, capacity float64) {
	if t.initialized {
		t.tokens += t.rate * (now - t.updatedAt).Seconds()
	} else {
		t.tokens, t.initialized = initial, true
	}
	t.updatedAt, t.rate, t.capacity = now, rate, capacity
	t.tokens = min(t.tokens, capacity)
}

// Allowed reports whether an attempt may be made now, which takes one token.
func (t *Throttle) Allowed() bool { return t.tokens >= 1 }

// RecordAttempt removes the token of an attempt.
func (t *Throttle) RecordAttempt() { t.tokens-- }

// RecordResponse gives back the token of an attempt that was not rejected, and adds extra tokens for further attempts, up to the
// capacity.
func (t *Throttle) RecordResponse(extra float64) { t.tokens = min(t.tokens+1+extra, t.capacity) }
