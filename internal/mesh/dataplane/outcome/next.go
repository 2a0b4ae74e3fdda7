package outcome

// firstServerError is the lowest HTTP status with which an endpoint reports its own failure.
const firstServerError = 500

// Next is what may follow an attempt. Whether the next attempt is charged to the retry budget does not depend on Next, but on whether the
// last attempt reached an endpoint (outbound.serviceBalancer.allowNextAttempt).
type Next uint8

// What may follow an attempt.
const (
	Stop            Next = iota // no retry; the client gets the answer that the outcome's Entry defines
	Deliver                     // the endpoint's answer is passed on to the client
	Retry                       // a retry is allowed because the request was not executed
	RetryIdempotent             // a retry is allowed because the request, which may have been executed, is idempotent
)

// String returns a name for tests and logs.
func (n Next) String() string { return [...]string{"stop", "deliver", "send again", "repeat"}[n] }

// Next returns what may follow an attempt that ended with this kind. status is the HTTP status of the endpoint's answer, or 0 if there was
// no answer. Section 5 of control-safety.md has the rule as a table.
func (k Kind) Next(status int, idempotent bool) Next {
	entry := k.Entry()
	switch {
	case k == Answered && (status < firstServerError || !idempotent):
		return Deliver
	case !entry.EndsAttempt:
		return Stop
	case entry.NotExecuted:
		return Retry
	case idempotent:
		return RetryIdempotent
	}
	return Stop
}
