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
	Full        // the endpoint has no room in time
	Leaving     // the endpoint drains
	Mistaken    // another endpoint, or none, is at that place now
	Unreachable // no connection came about, or the request did not go out whole
	TurnedAway  // the endpoint itself said that it did not run it
	Late        // its time was up before it began
	Withdrawn   // given up by the caller before it began
	Overloaded  // nobody can serve it in time
	Quota       // beyond its tenant's limit
	Unready     // this process has no configuration yet
	Ending      // this process is about to end

	// May have run.
	Lost   // the connection to the other sidecar ended after the request had gone out
	Spoilt // what came back is not its answer
	Silent // no answer in time

	// The request itself.
	NoRoute
	NoKey
	Malformed
	TooLarge
	HeadTooLarge
	Slow // it did not come whole in time; not run

	// May have run, too.
	Broken // the endpoint broke its connection; its sidecar stands
)

// Entry is a kind's line of the table.
type Entry struct {
	Name    string
	Status  int           // of the answer
	NotRun  bool          // surely not, and never will
	Blame   bool          // the endpoint, or its sidecar, may be down: it is isolated
	Attempt bool          // an attempt can end so; the others are ends of requests that were not sent to any endpoint
	Back    time.Duration // when a client that is refused should ask again; 0 for kinds that are not worth asking again
}

var table = map[Kind]Entry{
	Answered:     {"answered", 200, false, false, true, 0},
	Full:         {"full", 503, true, false, true, 250 * time.Millisecond},
	Leaving:      {"leaving", 503, true, false, true, 100 * time.Millisecond},
	Mistaken:     {"mistaken", 503, true, true, true, 100 * time.Millisecond},
	Unreachable:  {"unreachable", 503, true, true, true, 200 * time.Millisecond},
	TurnedAway:   {"turned away", 503, true, false, true, 250 * time.Millisecond},
	Late:         {"late", 503, true, false, true, 300 * time.Millisecond},
	Withdrawn:    {"withdrawn", 503, true, false, true, 300 * time.Millisecond},
	Overloaded:   {"overloaded", 503, true, false, true, 300 * time.Millisecond},
	Quota:        {"quota", 429, true, false, false, time.Second},
	Unready:      {"unready", 503, true, false, false, 300 * time.Millisecond},
	Ending:       {"ending", 503, true, false, false, 900 * time.Millisecond},
	Lost:         {"lost", 502, false, true, true, 0},
	Broken:       {"broken", 502, false, false, true, 0},
	Spoilt:       {"spoilt", 502, false, false, true, 0},
	Silent:       {"silent", 504, false, false, true, 0},
	NoRoute:      {"no route", 404, true, false, false, 0},
	NoKey:        {"no key", 401, true, false, false, 0},
	Malformed:    {"malformed", 400, true, false, false, 0},
	TooLarge:     {"too large", 413, true, false, false, 0},
	HeadTooLarge: {"head too large", 431, true, false, false, 0},
	Slow:         {"slow", 408, true, false, false, 0},
}

// Entry is a kind's line; one that is not of the list, from a later version, counts as may have run.
func (k Kind) Entry() Entry {
	if e, ok := table[k]; ok {
		return e
	}
	return Entry{Name: "unknown", Status: 502, Attempt: true}
}

func (k Kind) String() string { return k.Entry().Name }

// NotRun tells whether a request that ended so has surely not run, and never will.
func (k Kind) NotRun() bool { return k.Entry().NotRun }

// Back is when a client that is refused should ask again, for kinds that are worth asking again; 0 for others.
func (k Kind) Back() time.Duration { return k.Entry().Back }

// Next is what may follow an attempt.
type Next uint8

// What may follow. Whether another attempt is made is for the decision module, within this.
const (
	Stop      Next = iota // no further attempt: the request is answered by the table
	Deliver               // the endpoint's answer is the request's
	SendAgain             // the attempt has not run: any request may be sent again
	Repeat                // it ran or may have run: another attempt may run it once more, within the budget of repeats
)

func (n Next) String() string { return [...]string{"stop", "deliver", "send again", "repeat"}[n] }

// Next is the one rule of when a request may be tried again: by how an attempt ended, the status of the endpoint's answer if there is
// one, and whether the request may run more than once. docs/control-safety.md has it as a table.
func (k Kind) Next(status int, repeatable bool) Next {
	e := k.Entry()
	switch {
	case k == Answered && (status < 500 || !repeatable):
		return Deliver
	case !e.Attempt:
		return Stop
	case e.NotRun:
		return SendAgain
	case repeatable:
		return Repeat
	}
	return Stop
}
