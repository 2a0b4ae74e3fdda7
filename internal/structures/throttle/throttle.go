// Package throttle bounds the attempts that come to nothing by those that do not: client-side throttling, as in Site Reliability
// Engineering (Beyer, Jones, Petoff, Murphy 2016), chapter 21, kept as a count of attempts that may yet come to nothing. It reads
// no clock.
//
// What it is for: clients that each go on at once with the next server when one rejects them are harmless alone. Many of them
// before servers that are full send these several times what they were asked for, the more the more clients there are, for each
// finds out for itself which servers are full. Counts that are earned by responses add up to the responses, whatever the number
// of clients.
package throttle

import "time"

// Throttle is one client's. The zero value is ready for use: its first Update fills it. It is not safe for concurrent use.
type Throttle struct {
	tokens, capacity float64 // attempts that may come to nothing
	rate             float64 // of tokens that are earned by time alone, a second
	updatedAt        time.Duration
	initialized      bool
}

// Update brings the throttle up to a time and sets what it goes by from then on: how many attempts may come to nothing without a
// response in between (capacity), and how many more each second allows by itself (rate), without which a client that has no
// responses would never ask again. The first call allows as many as first says: who has just started has earned nothing yet. All
// are 0 or above; the time must not go back.
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

// RecordAttempt counts an attempt, which may come to nothing.
func (t *Throttle) RecordAttempt() { t.tokens-- }

// RecordResponse counts an attempt that came to something, and how many more that allows besides itself.
func (t *Throttle) RecordResponse(more float64) { t.tokens = min(t.tokens+1+more, t.capacity) }
