// Package throttle bounds the attempts that come to nothing by those that do not:
// client-side throttling, as in Site Reliability Engineering (Beyer, Jones, Petoff,
// Murphy 2016), chapter 21, kept as a count of attempts that may yet come to nothing.
// It decides nothing and reads no clock.
//
// What it is for: clients that each go on at once with the next server when one turns
// them away are harmless alone. Many of them before servers that are full send these
// several times what they were asked for, the more the more clients there are, for each
// finds out for itself which servers are full. Counts that are earned by answers add up
// to the answers, whatever the number of clients.
package throttle

import "time"

// Throttle is one client's. The zero value is ready for use: its first Bound fills it.
type Throttle struct {
	tokens, capacity, rate float64
	updatedAt              time.Duration
	initialized            bool
}

// Update brings the throttle up to a time and sets what it goes by from then on: how many
// attempts may come to nothing without an answer in between (most), and how many more each second
// allows by itself (rate), without which a client that has no answers would never ask again.
// The first call allows as many as first says: who has just started has earned nothing yet. All are
// 0 or above; the time must not go back.
func (t *Throttle) Update(now time.Duration, rate, first, most float64) {
	if !t.initialized {
		t.tokens, t.initialized = first, true
	} else {
		t.tokens += t.rate * (now - t.updatedAt).Seconds()
	}
	t.updatedAt, t.rate, t.capacity = now, rate, most
	t.tokens = min(t.tokens, most)
}

// Allowed tells whether an attempt may be made.
func (t *Throttle) Allowed() bool { return t.tokens >= 1 }

// RecordAttempt notes an attempt, which may come to nothing.
func (t *Throttle) RecordAttempt() { t.tokens-- }

// RecordResponse notes that an attempt came to something, and how many more that allows besides itself.
func (t *Throttle) RecordResponse(more float64) { t.tokens = min(t.tokens+1+more, t.capacity) }
