package outcome

// firstServerError is the lowest HTTP status by which an endpoint reports a failure of its own.
const firstServerError = 500

// Next is what may follow an attempt.
type Next uint8

// What may follow. Whether a retry is made is for the balancer, within this.
const (
	Stop            Next = iota // no retry: the request is answered by the table
	Deliver                     // the endpoint's answer is the request's
	Retry                       // the attempt was not executed: any request may be retried
	RetryIdempotent             // it was, or may have been, executed: a retry may execute it again, within the retry budget
)

// String names what may follow, for tests and logs.
func (n Next) String() string { return [...]string{"stop", "deliver", "send again", "repeat"}[n] }

// Next is the one rule of when a request may be retried: by how an attempt ended, the HTTP status of the endpoint's answer (0 for
// none), and whether the request is idempotent. The page control-safety.md has it as a table.
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
