package route

import "time"

// Settings are the settings of a route for its requests. Unless the comment of a field says otherwise, zero means that the setting of the
// class or the site applies. Rules has the defaults.
type Settings struct {
	Serve      bool          // whether requests are served; if false, all are rejected
	MaxOpen    int           // maximum number of open requests; further ones are rejected
	RetryAfter time.Duration // Retry-After of requests that are rejected because of MaxOpen or Serve

	Timeout        time.Duration // time limit of a request with all of its attempts
	AttemptTimeout time.Duration // time limit of one attempt
	MaxAttempts    int           // maximum number of attempts of a request, including the first one
	Value          float64       // value relative to other requests of the class; 0 means 1

	RetryShare   float64       // retries that each answered request adds to the budget; 0 adds none, negative for no budget
	RetryReserve int           // maximum number of retries in the budget, which is also its initial value
	RetryBackoff time.Duration // mean wait before the second attempt; doubled for each further one
	retryable    uint          // bit mask over balancer.Status of the outcomes after which a retry is allowed; 0 for all

	HedgeQuantile float64 // quantile of the latencies after which a request is hedged; 0 for never
	HedgeShare    float64 // maximum share of the requests that are hedged
}

// State is the state of a route. A reload retains it for the route with the same name. It is not safe for concurrent use.
type State struct {
	Open     int    // number of requests that were admitted and have not ended
	Rejected uint64 // number of requests that were rejected because of MaxOpen or Serve
	Denied   uint64 // number of retries that were denied because the budget was empty
	Hedges   uint64 // number of requests that were hedged

	retryTokens float64 // number of retries that the budget covers
	retryFilled bool    // the retry budget has got its initial value
	hedgeTokens float64 // number of hedged requests that the budget covers
	latencies   latencyHistogram
}

// Admit reports whether a request is admitted. Done must be called when an admitted request has ended.
func (r *Route) Admit() bool {
	full := r.Settings.MaxOpen > 0 && r.State.Open >= r.Settings.MaxOpen
	if !r.Settings.Serve || full {
		r.State.Rejected++
		return false
	}
	r.State.Open++
	r.addHedgeTokens()
	return true
}

// Done records that an admitted request has ended.
func (r *Route) Done() { r.State.Open-- }
