// Package outcome holds the closed list of how a request can end, the table from each end to its answer, and the one rule of what may
// follow an attempt (Next). Every part of the system names an end by one of these, and the sidecar beside the client answers by
// the table alone.
package outcome

import "time"

// Kind is how a request, or one attempt of it, ended.
type Kind uint64

// The kinds. Their numbers are spoken between processes and never change.
const (
	Answered Kind = 1 + iota // the endpoint's answer, as it came

	// Surely not run, and now never will be.
	AtCapacity    // the endpoint has no room in time
	Draining      // the endpoint drains
	Misdirected   // another endpoint, or none, is at that place now
	Unreachable   // no connection came about, or the request did not go out whole
	Rejected      // the endpoint itself said that it did not run it
	Expired       // its time was up before it began
	Cancelled     // given up by the caller before it began
	Overloaded    // nobody can serve it in time
	QuotaExceeded // beyond its tenant's limit
	NotReady      // this process has no configuration yet
	ShuttingDown  // this process is about to end

	// May have run.
	ConnectionLost  // the connection to the other sidecar ended after the request had gone out
	InvalidResponse // what came back is not its answer
	TimedOut        // no answer in time

	// The request itself.
	NoRoute
	Unauthorized
	Malformed
	BodyTooLarge
	HeaderTooLarge
	BodyTimeout // it did not come whole in time; not run

	// May have run, too.
	EndpointReset // the endpoint broke its connection; its sidecar stands
)

// Entry is a kind's line of the table.
type Entry struct {
	Name             string
	Status           int           // of the answer
	NotExecuted      bool          // surely not, and never will
	SuspectsEndpoint bool          // the endpoint, or its sidecar, may be down: it is isolated
	EndsAttempt      bool          // an attempt can end so; the others are ends of requests that were not sent to any endpoint
	RetryAfter       time.Duration // when a client that is refused should ask again; 0 for kinds that are not worth asking again
}

var table = map[Kind]Entry{
	Answered:        {"answered", 200, false, false, true, 0},
	AtCapacity:      {"full", 503, true, false, true, 250 * time.Millisecond},
	Draining:        {"leaving", 503, true, false, true, 100 * time.Millisecond},
	Misdirected:     {"mistaken", 503, true, true, true, 100 * time.Millisecond},
	Unreachable:     {"unreachable", 503, true, true, true, 200 * time.Millisecond},
	Rejected:        {"turned away", 503, true, false, true, 250 * time.Millisecond},
	Expired:         {"late", 503, true, false, true, 300 * time.Millisecond},
	Cancelled:       {"withdrawn", 503, true, false, true, 300 * time.Millisecond},
	Overloaded:      {"overloaded", 503, true, false, true, 300 * time.Millisecond},
	QuotaExceeded:   {"quota", 429, true, false, false, time.Second},
	NotReady:        {"unready", 503, true, false, false, 300 * time.Millisecond},
	ShuttingDown:    {"ending", 503, true, false, false, 900 * time.Millisecond},
	ConnectionLost:  {"lost", 502, false, true, true, 0},
	EndpointReset:   {"broken", 502, false, false, true, 0},
	InvalidResponse: {"spoilt", 502, false, false, true, 0},
	TimedOut:        {"silent", 504, false, false, true, 0},
	NoRoute:         {"no route", 404, true, false, false, 0},
	Unauthorized:    {"no key", 401, true, false, false, 0},
	Malformed:       {"malformed", 400, true, false, false, 0},
	BodyTooLarge:    {"too large", 413, true, false, false, 0},
	HeaderTooLarge:  {"head too large", 431, true, false, false, 0},
	BodyTimeout:     {"slow", 408, true, false, false, 0},
}

// Entry is a kind's line; one that is not of the list, from a later version, counts as may have run.
func (k Kind) Entry() Entry {
	if e, ok := table[k]; ok {
		return e
	}
	return Entry{Name: "unknown", Status: 502, EndsAttempt: true}
}

func (k Kind) String() string { return k.Entry().Name }

// NotExecuted tells whether a request that ended so has surely not run, and never will.
func (k Kind) NotExecuted() bool { return k.Entry().NotExecuted }

// RetryAfter is when a client that is refused should ask again, for kinds that are worth asking again; 0 for others.
func (k Kind) RetryAfter() time.Duration { return k.Entry().RetryAfter }

// Next is what may follow an attempt.
type Next uint8

// What may follow. Whether another attempt is made is for the decision module, within this.
const (
	Stop            Next = iota // no further attempt: the request is answered by the table
	Deliver                     // the endpoint's answer is the request's
	Retry                       // the attempt has not run: any request may be sent again
	RetryIdempotent             // it ran or may have run: another attempt may run it once more, within the budget of repeats
)

func (n Next) String() string { return [...]string{"stop", "deliver", "send again", "repeat"}[n] }

// Next is the one rule of when a request may be tried again: by how an attempt ended, the status of the endpoint's answer if there is
// one, and whether the request may run more than once. docs/control-safety.md has it as a table.
func (k Kind) Next(status int, repeatable bool) Next {
	e := k.Entry()
	switch {
	case k == Answered && (status < 500 || !repeatable):
		return Deliver
	case !e.EndsAttempt:
		return Stop
	case e.NotExecuted:
		return Retry
	case repeatable:
		return RetryIdempotent
	}
	return Stop
}
