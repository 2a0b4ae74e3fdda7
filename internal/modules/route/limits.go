package route

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"quincegap/internal/balancer"
)

// Settings are what a route sets for its requests. Zero values set nothing.
type Settings struct {
	Serve    bool          // false: nothing of it is served
	Time     time.Duration // the whole time of a request
	Attempt  time.Duration // of one attempt
	Attempts int           // at most, the first one included
	Open     int           // requests at once
	Again    float64       // further attempts earned by each answered request; negative for no budget
	Reserve  int           // and how many of these may be saved up
	ComeBack time.Duration // Retry-After of what Open or Serve turns away

	Pause    time.Duration // before a second attempt, doubled for each further one
	Worth    float64       // beside others of its class; 0 for as much
	outcomes uint          // that allow another attempt, a bit each; 0 for all

	CopyAfter float64 // the quantile of the time of answers after which a second copy is made; 0 for none
	CopyShare float64 // of requests, at most, that get one
}

// State is how a route stands. It outlives a reload under the same name, and is not safe for concurrent use.
type State struct {
	Open    int     // requests that have come in and not ended
	Refused uint64  // by Open and Serve
	saved   float64 // further attempts that may be made
	begun   bool
	Denied  uint64  // further attempts that the budget did not cover
	Copies  uint64  // second copies that were made
	copies  float64 // that may be made
	took    spread
}

// Enter tells whether a request may come in; one that may has to Leave.
func (r *Route) Enter() bool {
	if !r.Settings.Serve || r.Settings.Open > 0 && r.State.Open >= r.Settings.Open {
		r.State.Refused++
		return false
	}
	r.State.Open++
	r.asked()
	return true
}

// Leave notes that a request has ended.
func (r *Route) Leave() { r.State.Open-- }

// Answered notes that a request was answered, which earns a share of a further attempt.
func (r *Route) Answered() {
	if r.Settings.Again >= 0 {
		r.fill()
		r.State.saved = min(r.State.saved+r.Settings.Again, float64(r.Settings.Reserve))
	}
}

// fill starts a budget full, and cuts it where a reload made it smaller.
func (r *Route) fill() {
	if !r.State.begun {
		r.State.begun, r.State.saved = true, float64(r.Settings.Reserve)
	}
	r.State.saved = min(r.State.saved, float64(r.Settings.Reserve))
}

// Repeat takes a further attempt out of the budget, and tells whether it covered one. Who makes none after all has to give
// it back by Unused.
func (r *Route) Repeat() bool {
	if r.Settings.Again < 0 {
		return true
	}
	if r.fill(); r.State.saved < 1 {
		r.State.Denied++
		return false
	}
	r.State.saved--
	return true
}

// Unused gives back what Repeat took.
func (r *Route) Unused() {
	if r.Settings.Again >= 0 {
		r.fill()
		r.State.saved = min(r.State.saved+1, float64(r.Settings.Reserve))
	}
}

// outcomes are the words for how an attempt ended without an answer.
var outcomes = []struct {
	word string
	of   []balancer.Status
}{
	{"turned-away", []balancer.Status{balancer.StatusRejected}},
	{"unconnected", []balancer.Status{balancer.StatusConnectFailed, balancer.StatusNotSent}},
	{"failed", []balancer.Status{balancer.StatusError, balancer.StatusInvalidResponse}},
	{"broken", []balancer.Status{balancer.StatusReset}},
	{"late", []balancer.Status{balancer.StatusTimeout, balancer.StatusCancelled}},
}

// readOutcomes reads words with commas between.
func readOutcomes(text string) (bits uint, fault string) {
	words, fault := readWords(text)
	if fault != "" {
		return 0, fault
	}
next:
	for _, word := range words {
		for _, o := range outcomes {
			if o.word == word {
				for _, s := range o.of {
					bits |= 1 << s
				}
				continue next
			}
		}
		var known []string
		for _, o := range outcomes {
			known = append(known, o.word)
		}
		return 0, fmt.Sprintf("%q is no outcome: %s are", word, strings.Join(known, ", "))
	}
	return bits, ""
}

// Allows tells whether the route allows another attempt after an outcome. Whether the class does is not its to say.
func (s *Settings) Allows(status balancer.Status) bool {
	return s.outcomes == 0 || s.outcomes&(1<<status) > 0
}

// Outcomes are the words for those that allow another attempt.
func (s *Settings) Outcomes() string {
	var all []string
	for _, o := range outcomes {
		if slices.ContainsFunc(o.of, s.Allows) {
			all = append(all, o.word)
		}
	}
	return strings.Join(all, ", ")
}

// PauseAfter is how long to wait after an attempt, numbered from 1, before the next: twice as long each time, and between
// half of that and one and a half times as much, by a random number from 0 to 1, so that what failed together does not
// come again together.
func (s *Settings) PauseAfter(attempt int, random float64) time.Duration {
	if s.Pause <= 0 {
		return 0
	}
	return time.Duration(float64(s.Pause) * float64(int64(1)<<min(max(attempt-1, 0), 10)) * (0.5 + random))
}
