package outcome

// firstServerError is the lowest HTTP status by which an endpoint reports a failure of its own.
const firstServerError = 500

// Next is what may follow an attempt. Whether the next attempt is taken out of the retry budget depends on whether the last one has reached
// an endpoint (outbound.serviceBalancer.allowNextAttempt), not on Next.
type Next uint8

// What may follow an attempt.
const (
	Stop            Next = iota // no retry: the request is answered by the table
	Deliver                     // the endpoint's answer is passed on to the client
	Retry                       // the request was not executed: it may be retried
	RetryIdempotent             // the request may have been executed, and is idempotent: it may be retried
)

// String returns a name for tests and logs.
func (n Next) String() string { return [...]string{"stop", "deliver", "send again", "repeat"}[n] }

// Next returns what may follow an attempt that ended with this kind. status is the HTTP status of the endpoint's answer, 0 without one. The
// page control-safety.md, section 5, has the rule as a table.
func (k Kind) Next(status int, idempotent bool) Next {
	e := k.Entry()
	switch {
	case k == Answered && (status < firstServerError || !idempotent):
		return Deliver
	case !e.EndsAttempt:
		return Stop
	case e.NotExecuted:
		return Retry
	case idempotent:
		return RetryIdempotent
	}
	return Stop
}
