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
	Serve          bool          // false: nothing of it is served
	Timeout        time.Duration // the whole time of a request
	AttemptTimeout time.Duration // of one attempt
	MaxAttempts    int           // at most, the first one included
	MaxOpen        int           // requests at once
	RetryShare     float64       // further attempts earned by each answered request; negative for no budget
	RetryReserve   int           // and how many of these may be saved up
	RetryAfter     time.Duration // Retry-After of what Open or Serve turns away

	RetryBackoff time.Duration // before a second attempt, doubled for each further one
	Value        float64       // beside others of its class; 0 for as much
	retryable    uint          // that allow another attempt, a bit each; 0 for all

	HedgeQuantile float64 // the quantile of the time of answers after which a second copy is made; 0 for none
	HedgeShare    float64 // of requests, at most, that get one
}

// State is how a route stands. It outlives a reload under the same name, and is not safe for concurrent use.
type State struct {
	Open        int     // requests that have come in and not ended
	Rejected    uint64  // by Open and Serve
	retryTokens float64 // further attempts that may be made
	filled      bool
	Denied      uint64  // further attempts that the budget did not cover
	Hedges      uint64  // second copies that were made
	hedgeTokens float64 // that may be made
	latencies   latencyHistogram
}

// Admit tells whether a request may come in; one that may has to Leave.
func (r *Route) Admit() bool {
	if !r.Settings.Serve || r.Settings.MaxOpen > 0 && r.State.Open >= r.Settings.MaxOpen {
		r.State.Rejected++
		return false
	}
	r.State.Open++
	r.earnHedge()
	return true
}

// Done notes that a request has ended.
func (r *Route) Done() { r.State.Open-- }

// Answered notes that a request was answered, which earns a share of a further attempt.
func (r *Route) Answered() {
	if r.Settings.RetryShare >= 0 {
		r.fillRetries()
		r.State.retryTokens = min(r.State.retryTokens+r.Settings.RetryShare, float64(r.Settings.RetryReserve))
	}
}

// fillRetries starts a budget full, and cuts it where a reload made it smaller.
func (r *Route) fillRetries() {
	if !r.State.filled {
		r.State.filled, r.State.retryTokens = true, float64(r.Settings.RetryReserve)
	}
	r.State.retryTokens = min(r.State.retryTokens, float64(r.Settings.RetryReserve))
}

// TakeRetry takes a further attempt out of the budget, and tells whether it covered one. Who makes none after all has to give
// it back by Unused.
func (r *Route) TakeRetry() bool {
	if r.Settings.RetryShare < 0 {
		return true
	}
	if r.fillRetries(); r.State.retryTokens < 1 {
		r.State.Denied++
		return false
	}
	r.State.retryTokens--
	return true
}

// ReturnRetry gives back what Repeat took.
func (r *Route) ReturnRetry() {
	if r.Settings.RetryShare >= 0 {
		r.fillRetries()
		r.State.retryTokens = min(r.State.retryTokens+1, float64(r.Settings.RetryReserve))
	}
}

// retryable are the words for how an attempt ended without an answer.
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

// AllowsRetry tells whether the route allows another attempt after an outcome. Whether the class does is not its to say.
func (s *Settings) AllowsRetry(status balancer.Status) bool {
	return s.retryable == 0 || s.retryable&(1<<status) > 0
}

// RetryOutcomes are the words for those that allow another attempt.
func (s *Settings) RetryOutcomes() string {
	var all []string
	for _, o := range outcomes {
		if slices.ContainsFunc(o.of, s.AllowsRetry) {
			all = append(all, o.word)
		}
	}
	return strings.Join(all, ", ")
}

// Backoff is how long to wait after an attempt, numbered from 1, before the next: twice as long each time, and between
// half of that and one and a half times as much, by a random number from 0 to 1, so that what failed together does not
// come again together.
func (s *Settings) Backoff(attempt int, random float64) time.Duration {
	if s.RetryBackoff <= 0 {
		return 0
	}
	return time.Duration(float64(s.RetryBackoff) * float64(int64(1)<<min(max(attempt-1, 0), 10)) * (0.5 + random))
}
