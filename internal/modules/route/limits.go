package route

import "time"

// Settings are the settings of a route for its requests. Zero values, except of Serve, leave what the class or the site has. Rules has
// their defaults.
type Settings struct {
	Serve      bool          // false: all requests are rejected
	MaxOpen    int           // requests at once; further ones are rejected
	RetryAfter time.Duration // the header of rejections by MaxOpen or Serve

	Timeout        time.Duration // of a request with all of its attempts
	AttemptTimeout time.Duration
	MaxAttempts    int     // including the first one
	Value          float64 // relative to other requests of the class; 0 for 1

	RetryShare   float64       // retries earned by each answered request; negative for no budget
	RetryReserve int           // how many retries may be saved up
	RetryBackoff time.Duration // before the second attempt; doubled for each further one
	retryable    uint          // the outcomes after which a retry is allowed, one bit for each balancer.Status; 0 for all

	HedgeQuantile float64 // of the latencies, after which a request is hedged; 0 for never
	HedgeShare    float64 // of the requests that may be hedged
}

// State is the state of a route. It is kept over a reload under the same name, and is not safe for concurrent use.
type State struct {
	Open     int    // requests that were admitted and have not ended
	Rejected uint64 // requests, by MaxOpen and Serve
	Denied   uint64 // retries that the budget did not cover
	Hedges   uint64 // requests that were hedged

	retryTokens float64 // the budget for retries
	filled      bool    // the budget was filled at the start
	hedgeTokens float64 // the budget for hedged requests
	latencies   latencyHistogram
}

// Admit reports whether a request is admitted. Done has to be called when an admitted one has ended.
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

// Done records that an admitted request has ended.
func (r *Route) Done() { r.State.Open-- }
