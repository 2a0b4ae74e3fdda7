package route

import "time"

// Settings are what a route sets for its requests. Zero values set nothing, except of Serve.
type Settings struct {
	Serve      bool          // false: nothing of it is served
	MaxOpen    int           // requests at once
	RetryAfter time.Duration // the header of that name, of requests that MaxOpen or Serve rejects

	Timeout        time.Duration // of a whole request
	AttemptTimeout time.Duration
	MaxAttempts    int     // the first one included
	Value          float64 // beside others of its class; 0 for as much

	RetryShare   float64       // retries earned by each answered request; negative for no budget
	RetryReserve int           // how many of these may be saved up
	RetryBackoff time.Duration // before a second attempt, doubled for each further one
	retryable    uint          // outcomes that allow a retry, one bit for each balancer.Status; 0 for all

	HedgeQuantile float64 // of the time of answers, after which a hedged request is made; 0 for none
	HedgeShare    float64 // of requests, at most, that get one
}

// State is what a route counts. It outlives a reload under the same name, and is not safe for concurrent use.
type State struct {
	Open     int    // requests that have come in and not ended
	Rejected uint64 // by MaxOpen and Serve
	Denied   uint64 // retries that the budget did not cover
	Hedges   uint64 // hedged requests that were made

	retryTokens float64 // retries that may be made
	filled      bool    // the budget has been filled for the start
	hedgeTokens float64 // hedged requests that may be made
	latencies   latencyHistogram
}

// Admit tells whether a request may come in. Done has to be called for each one that may.
func (r *Route) Admit() bool {
	full := r.Settings.MaxOpen > 0 && r.State.Open >= r.Settings.MaxOpen
	if !r.Settings.Serve || full {
		r.State.Rejected++
		return false
	}
	r.State.Open++
	r.earnHedge()
	return true
}

// Done notes that a request has ended.
func (r *Route) Done() { r.State.Open-- }
