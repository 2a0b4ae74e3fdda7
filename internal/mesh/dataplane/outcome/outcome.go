package outcome

import "time"

// Kind is how a request, or one attempt of it, ended.
type Kind uint64

// None is the zero Kind: a request without an outcome yet. It is never sent.
const None Kind = 0

// The kinds. Their numbers go over the wire between sidecars and never change.
const (
	Answered Kind = 1 + iota // the endpoint has answered; the answer may be a failure

	// The request was not executed, and will not be.

	AtCapacity    // the endpoint will have no free slot in time
	Draining      // the endpoint is draining and accepts no new requests
	Misdirected   // the endpoint is not, or no longer, at that sidecar
	Unreachable   // no connection could be established, or the request was not sent completely
	Rejected      // the endpoint itself has reported that it did not execute the request
	Expired       // the request's deadline passed before it was sent to an endpoint
	Cancelled     // the caller cancelled the request before it was sent to an endpoint
	Overloaded    // no endpoint of the service can serve the request in time
	QuotaExceeded // the tenant's rate limit is reached
	NotReady      // this process has no configuration yet
	ShuttingDown  // this process is shutting down

	// The request may have been executed.

	ConnectionLost  // the connection to the peer sidecar ended after the request had been sent
	InvalidResponse // the response is not a valid answer to this request
	TimedOut        // no answer arrived in time

	// The request itself is faulty; it was not executed.

	NoRoute        // no route matches the request's host and path
	Unauthorized   // the request has no tenant's key, and its route is not public
	Malformed      // the request can't be parsed, or lacks an attempt ID
	BodyTooLarge   // the request's body exceeds the configured bound
	HeaderTooLarge // the request's header exceeds the configured bound
	BodyTimeout    // the request's body was not received completely in time

	// The request may have been executed. The kind is numbered last because it was added last.

	EndpointReset // the endpoint closed the connection before it answered
)

// unknownStatus is the HTTP status for kinds that only later versions know. It does not promise that the request was not executed.
const unknownStatus = 502

// Entry has the properties of a Kind.
type Entry struct {
	Name   string // name in logs; never changes
	Status int    // HTTP status of the client's answer; for Answered the endpoint's own status is used instead

	// NotExecuted states that no endpoint has executed the request, and that none will.
	NotExecuted bool

	// SuspectsEndpoint states that the endpoint or its sidecar may be down. outbound.balancerStatus maps these kinds to the statuses for
	// which the balancer ejects an endpoint; a test checks that the two agree.
	SuspectsEndpoint bool

	// EndsAttempt states that an attempt can have this outcome. The other kinds are outcomes of requests that were sent to no endpoint.
	EndsAttempt bool

	// RetryAfter is the minimum time that a rejected client should wait before it retries; 0 for kinds without a Retry-After.
	RetryAfter time.Duration
}

var table = map[Kind]Entry{
	Answered: {Name: "answered", Status: 200, EndsAttempt: true},

	AtCapacity: {Name: "full", Status: 503, NotExecuted: true, EndsAttempt: true, RetryAfter: 250 * time.Millisecond},
	Draining:   {Name: "leaving", Status: 503, NotExecuted: true, EndsAttempt: true, RetryAfter: 100 * time.Millisecond},
	Misdirected: {
		Name: "mistaken", Status: 503, NotExecuted: true, SuspectsEndpoint: true, EndsAttempt: true,
		RetryAfter: 100 * time.Millisecond,
	},
	Unreachable: {
		Name: "unreachable", Status: 503, NotExecuted: true, SuspectsEndpoint: true, EndsAttempt: true,
		RetryAfter: 200 * time.Millisecond,
	},
	Rejected:      {Name: "turned away", Status: 503, NotExecuted: true, EndsAttempt: true, RetryAfter: 250 * time.Millisecond},
	Expired:       {Name: "late", Status: 503, NotExecuted: true, EndsAttempt: true, RetryAfter: 300 * time.Millisecond},
	Cancelled:     {Name: "withdrawn", Status: 503, NotExecuted: true, EndsAttempt: true, RetryAfter: 300 * time.Millisecond},
	Overloaded:    {Name: "overloaded", Status: 503, NotExecuted: true, EndsAttempt: true, RetryAfter: 300 * time.Millisecond},
	QuotaExceeded: {Name: "quota", Status: 429, NotExecuted: true, RetryAfter: time.Second},
	NotReady:      {Name: "unready", Status: 503, NotExecuted: true, RetryAfter: 300 * time.Millisecond},
	ShuttingDown:  {Name: "ending", Status: 503, NotExecuted: true, RetryAfter: 900 * time.Millisecond},

	ConnectionLost:  {Name: "lost", Status: 502, SuspectsEndpoint: true, EndsAttempt: true},
	EndpointReset:   {Name: "broken", Status: 502, EndsAttempt: true},
	InvalidResponse: {Name: "spoilt", Status: 502, EndsAttempt: true},
	TimedOut:        {Name: "silent", Status: 504, EndsAttempt: true},

	NoRoute:        {Name: "no route", Status: 404, NotExecuted: true},
	Unauthorized:   {Name: "no key", Status: 401, NotExecuted: true},
	Malformed:      {Name: "malformed", Status: 400, NotExecuted: true},
	BodyTooLarge:   {Name: "too large", Status: 413, NotExecuted: true},
	HeaderTooLarge: {Name: "head too large", Status: 431, NotExecuted: true},
	BodyTimeout:    {Name: "slow", Status: 408, NotExecuted: true},
}

// Entry returns the properties of a kind. A request whose kind is unknown, because a later version sent it, may have been executed.
func (k Kind) Entry() Entry {
	if e, ok := table[k]; ok {
		return e
	}
	return Entry{Name: "unknown", Status: unknownStatus, EndsAttempt: true}
}

// String returns the kind's name.
func (k Kind) String() string { return k.Entry().Name }

// NotExecuted reports whether it is certain that no endpoint has executed, or will execute, a request with this outcome.
func (k Kind) NotExecuted() bool { return k.Entry().NotExecuted }

// RetryAfter returns the minimum time that a rejected client should wait before it retries; 0 for kinds without a Retry-After.
func (k Kind) RetryAfter() time.Duration { return k.Entry().RetryAfter }
