package route

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"quincegap/internal/balancer"
)

// maxBackoffDoublings is how many times a backoff doubles at most.
const maxBackoffDoublings = 10

// Answered records that a request was answered, and adds RetryShare to the retry budget.
func (r *Route) Answered() {
	if r.Settings.RetryShare >= 0 {
		r.fillRetryBudget()
		r.State.retryTokens = min(r.State.retryTokens+r.Settings.RetryShare, float64(r.Settings.RetryReserve))
	}
}

// fillRetryBudget sets the retry budget to RetryReserve at its first call, and reduces it if a reload has lowered RetryReserve.
func (r *Route) fillRetryBudget() {
	if !r.State.retryFilled {
		r.State.retryFilled = true
		r.State.retryTokens = float64(r.Settings.RetryReserve)
	}
	r.State.retryTokens = min(r.State.retryTokens, float64(r.Settings.RetryReserve))
}

// TakeRetry takes one retry out of the budget, and reports whether the budget covered it. If the retry is not sent, ReturnRetry must be
// called.
func (r *Route) TakeRetry() bool {
	if r.Settings.RetryShare < 0 {
		return true
	}
	r.fillRetryBudget()
	if r.State.retryTokens < 1 {
		r.State.Denied++
		return false
	}
	r.State.retryTokens--
	return true
}

// ReturnRetry puts a retry back into the budget that TakeRetry has taken and that was not sent.
func (r *Route) ReturnRetry() {
	if r.Settings.RetryShare >= 0 {
		r.fillRetryBudget()
		r.State.retryTokens = min(r.State.retryTokens+1, float64(r.Settings.RetryReserve))
	}
}

// outcomes are the outcomes of attempts without an answer, by their names in settings files.
var outcomes = []struct {
	name     string
	statuses []balancer.Status
}{
	{"turned-away", []balancer.Status{balancer.StatusRejected}},
	{"unconnected", []balancer.Status{balancer.StatusConnectFailed, balancer.StatusNotSent}},
	{"failed", []balancer.Status{balancer.StatusError, balancer.StatusInvalidResponse}},
	{"broken", []balancer.Status{balancer.StatusReset}},
	{"late", []balancer.Status{balancer.StatusTimeout, balancer.StatusCancelled}},
}

// parseOutcomes parses names of outcomes that are separated by commas, and returns one bit for each status. fault is "" if all are valid.
func parseOutcomes(text string) (bits uint, fault string) {
	names, fault := parseList(text)
	if fault != "" {
		return 0, fault
	}
	for _, name := range names {
		statuses := statusesOf(name)
		if statuses == nil {
			return 0, fmt.Sprintf("%q is not an outcome; the outcomes are %s", name, strings.Join(outcomeNames(), ", "))
		}
		for _, s := range statuses {
			bits |= 1 << s
		}
	}
	return bits, ""
}

// statusesOf returns the statuses of the outcome with a name, or nil if there is no such outcome.
func statusesOf(name string) []balancer.Status {
	for _, o := range outcomes {
		if o.name == name {
			return o.statuses
		}
	}
	return nil
}

// outcomeNames returns the names of all outcomes.
func outcomeNames() (names []string) {
	for _, o := range outcomes {
		names = append(names, o.name)
	}
	return names
}

// AllowsRetry reports whether the route allows a retry after an attempt with a status. The class may still forbid it.
func (s *Settings) AllowsRetry(status balancer.Status) bool {
	return s.retryable == 0 || s.retryable&(1<<status) > 0
}

// RetryOutcomes returns the names of the outcomes after which a retry is allowed, separated by commas.
func (s *Settings) RetryOutcomes() string {
	var names []string
	for _, o := range outcomes {
		if slices.ContainsFunc(o.statuses, s.AllowsRetry) {
			names = append(names, o.name)
		}
	}
	return strings.Join(names, ", ")
}

// Backoff returns how long to wait after an attempt, numbered from 1, before the next one. The mean doubles with each attempt. The
// result is between half and one and a half of the mean, in proportion to random, which is from 0 to 1: this jitter keeps requests that
// failed at the same time from being retried at the same time.
func (s *Settings) Backoff(attempt int, random float64) time.Duration {
	if s.RetryBackoff <= 0 {
		return 0
	}
	doublings := min(max(attempt-1, 0), maxBackoffDoublings)
	return time.Duration(float64(s.RetryBackoff) * float64(int64(1)<<doublings) * (0.5 + random))
}
