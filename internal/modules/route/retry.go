package route

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"quincegap/internal/balancer"
)

// maxBackoffDoublings bounds the growth of a backoff.
const maxBackoffDoublings = 10

// Answered notes that a request was answered, which earns a share of a retry.
func (r *Route) Answered() {
	if r.Settings.RetryShare >= 0 {
		r.fillRetries()
		r.State.retryTokens = min(r.State.retryTokens+r.Settings.RetryShare, float64(r.Settings.RetryReserve))
	}
}

// fillRetries starts a budget full, and cuts it if a reload made it smaller.
func (r *Route) fillRetries() {
	if !r.State.filled {
		r.State.filled = true
		r.State.retryTokens = float64(r.Settings.RetryReserve)
	}
	r.State.retryTokens = min(r.State.retryTokens, float64(r.Settings.RetryReserve))
}

// TakeRetry takes a retry out of the budget, and tells whether it covered one. If none is made after all, ReturnRetry has to give it
// back.
func (r *Route) TakeRetry() bool {
	if r.Settings.RetryShare < 0 {
		return true
	}
	r.fillRetries()
	if r.State.retryTokens < 1 {
		r.State.Denied++
		return false
	}
	r.State.retryTokens--
	return true
}

// ReturnRetry gives back what TakeRetry took.
func (r *Route) ReturnRetry() {
	if r.Settings.RetryShare >= 0 {
		r.fillRetries()
		r.State.retryTokens = min(r.State.retryTokens+1, float64(r.Settings.RetryReserve))
	}
}

// outcomes are the words of a file for how an attempt ended without an answer.
var outcomes = []struct {
	word     string
	statuses []balancer.Status
}{
	{"turned-away", []balancer.Status{balancer.StatusRejected}},
	{"unconnected", []balancer.Status{balancer.StatusConnectFailed, balancer.StatusNotSent}},
	{"failed", []balancer.Status{balancer.StatusError, balancer.StatusInvalidResponse}},
	{"broken", []balancer.Status{balancer.StatusReset}},
	{"late", []balancer.Status{balancer.StatusTimeout, balancer.StatusCancelled}},
}

// readOutcomes reads words with commas between, as one bit for each status.
func readOutcomes(text string) (bits uint, fault string) {
	words, fault := readWords(text)
	if fault != "" {
		return 0, fault
	}
	for _, word := range words {
		statuses := statusesOf(word)
		if statuses == nil {
			return 0, fmt.Sprintf("%q is no outcome: %s are", word, strings.Join(outcomeWords(), ", "))
		}
		for _, s := range statuses {
			bits |= 1 << s
		}
	}
	return bits, ""
}

// statusesOf are the statuses that a word stands for; nil for none.
func statusesOf(word string) []balancer.Status {
	for _, o := range outcomes {
		if o.word == word {
			return o.statuses
		}
	}
	return nil
}

func outcomeWords() (words []string) {
	for _, o := range outcomes {
		words = append(words, o.word)
	}
	return words
}

// AllowsRetry tells whether the route allows another attempt after an outcome. Whether the class does is not its to say.
func (s *Settings) AllowsRetry(status balancer.Status) bool {
	return s.retryable == 0 || s.retryable&(1<<status) > 0
}

// RetryOutcomes are the words for the outcomes that allow another attempt.
func (s *Settings) RetryOutcomes() string {
	var all []string
	for _, o := range outcomes {
		if slices.ContainsFunc(o.statuses, s.AllowsRetry) {
			all = append(all, o.word)
		}
	}
	return strings.Join(all, ", ")
}

// Backoff is how long to wait after an attempt, numbered from 1, before the next: twice as long each time, and between half of that
// and one and a half times as much, by a random number from 0 to 1, so that what failed together does not come again together.
func (s *Settings) Backoff(attempt int, random float64) time.Duration {
	if s.RetryBackoff <= 0 {
		return 0
	}
	doublings := min(max(attempt-1, 0), maxBackoffDoublings)
	return time.Duration(float64(s.RetryBackoff) * float64(int64(1)<<doublings) * (0.5 + random))
}
