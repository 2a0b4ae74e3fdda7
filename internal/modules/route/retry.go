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

// Answered records that a request was answered, which earns RetryShare of a retry.
func (r *Route) Answered() {
	if r.Settings.RetryShare >= 0 {
		r.fillRetries()
		r.State.retryTokens = min(r.State.retryTokens+r.Settings.RetryShare, float64(r.Settings.RetryReserve))
	}
}

// fillRetries fills the budget at the start, and reduces it if a reload has lowered RetryReserve.
func (r *Route) fillRetries() {
	if !r.State.filled {
		r.State.filled = true
		r.State.retryTokens = float64(r.Settings.RetryReserve)
	}
	r.State.retryTokens = min(r.State.retryTokens, float64(r.Settings.RetryReserve))
}

// TakeRetry takes a retry out of the budget, and reports whether the budget covered it. If the retry is not sent, ReturnRetry has to be
// called.
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

// ReturnRetry returns a retry that was taken and not sent to the budget.
func (r *Route) ReturnRetry() {
	if r.Settings.RetryShare >= 0 {
		r.fillRetries()
		r.State.retryTokens = min(r.State.retryTokens+1, float64(r.Settings.RetryReserve))
	}
}

// outcomes are the names in settings files of outcomes without an answer.
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

// readOutcomes parses names of outcomes that are separated by commas, and returns one bit for each status.
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

// statusesOf returns the statuses of the outcome with a name; nil if there is none.
func statusesOf(word string) []balancer.Status {
	for _, o := range outcomes {
		if o.word == word {
			return o.statuses
		}
	}
	return nil
}

// outcomeWords returns the names of all outcomes.
func outcomeWords() (words []string) {
	for _, o := range outcomes {
		words = append(words, o.word)
	}
	return words
}

// AllowsRetry reports whether the route allows a retry after an outcome. The class may still forbid it.
func (s *Settings) AllowsRetry(status balancer.Status) bool {
	return s.retryable == 0 || s.retryable&(1<<status) > 0
}

// RetryOutcomes returns the names of the outcomes after which a retry is allowed, separated by commas.
func (s *Settings) RetryOutcomes() string {
	var all []string
	for _, o := range outcomes {
		if slices.ContainsFunc(o.statuses, s.AllowsRetry) {
			all = append(all, o.word)
		}
	}
	return strings.Join(all, ", ")
}

// Backoff returns how long to wait after an attempt, numbered from 1, before the next one. It doubles with each attempt, and has a
// jitter of half of it up or down by a random number from 0 to 1, so that requests that failed together are not retried together.
func (s *Settings) Backoff(attempt int, random float64) time.Duration {
	if s.RetryBackoff <= 0 {
		return 0
	}
	doublings := min(max(attempt-1, 0), maxBackoffDoublings)
	return time.Duration(float64(s.RetryBackoff) * float64(int64(1)<<doublings) * (0.5 + random))
}
