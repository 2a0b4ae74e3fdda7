// Package throttle implements client-side throttling: it limits a client's rejected attempts in proportion to its successful ones
// (Beyer, Jones, Petoff, Murphy: Site Reliability Engineering, 2016, chapter 21). It is a token bucket that responses refill, and
// it reads no clock.
//
// A client that retries a rejected request at once with the next server does no harm alone. With many such clients, servers without
// capacity receive a multiple of the requests, and the factor grows with the number of clients, as each client finds out by itself
// which servers reject. Tokens that are earned by responses sum up to the number of responses, however many clients there are.
package throttle

import "time"

// Throttle limits the attempts of one client. Each attempt costs a token. The zero value has no tokens until the first Update. It
// is not safe for concurrent use.
type Throttle struct {
	tokens, capacity float64
	rate             float64 // tokens a second that are earned by time alone
	updatedAt        time.Duration
	initialized      bool // Update was called
}

// Update advances the throttle to the time now, and sets the limits from then on. capacity bounds the tokens, and so the attempts
// without any response. rate is the tokens a second that are added without a response; with a rate of 0, a client that gets no
// response would never try again. The first call sets the tokens to first, since a new client has earned none. No argument may be
// negative, and now must not decrease.
func (t *Throttle) Update(now time.Duration, rate, first, capacity float64) {
	if t.initialized {
		t.tokens += t.rate * (now - t.updatedAt).Seconds()
	} else {
		t.tokens, t.initialized = first, true
	}
	t.updatedAt, t.rate, t.capacity = now, rate, capacity
	t.tokens = min(t.tokens, capacity)
}

// Allowed reports whether an attempt may be made.
func (t *Throttle) Allowed() bool { return t.tokens >= 1 }

// RecordAttempt takes the token of an attempt.
func (t *Throttle) RecordAttempt() { t.tokens-- }

// RecordResponse returns the token of an attempt that was not rejected, and adds extra tokens for further attempts.
func (t *Throttle) RecordResponse(extra float64) { t.tokens = min(t.tokens+1+extra, t.capacity) }
