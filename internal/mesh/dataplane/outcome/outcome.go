package outcome

import "time"

// Kind is how a request, or one attempt of it, ended.
type Kind uint64

// None stands for no outcome yet: the request goes on. It is never sent.
const None Kind = 0

// The kinds. Their numbers go over the wire between sidecars and never change.
const (
	Answered Kind = 1 + iota // the endpoint's answer, as it came

	// Not executed, and never will be.

	AtCapacity    // the endpoint has no slot for it in time
	Draining      // the endpoint drains and takes nothing new
	Misdirected   // another endpoint, or none, is at that address now
	Unreachable   // no connection came about, or the request was not sent completely
	Rejected      // the endpoint itself reported that it did not execute the request
	Expired       // its deadline passed before an endpoint began
	Cancelled     // the caller gave it up before an endpoint began
	Overloaded    // no endpoint of the service can serve it in time
	QuotaExceeded // beyond its tenant's rate limit
	NotReady      // this process has no configuration yet
	ShuttingDown  // this process is about to end

	// May have been executed.

	ConnectionLost  // the connection to the peer sidecar ended after the request had been sent
	InvalidResponse // what came back is not an answer to this request
	TimedOut        // no answer in time

	// Faults of the request itself; it was not executed.

	NoRoute        // no route matches its host and path
	Unauthorized   // it bears no key of a tenant, and its route is not public
	Malformed      // it can't be understood
	BodyTooLarge   // its body exceeds the configured limit
	HeaderTooLarge // its header exceeds the configured limit
	BodyTimeout    // its body did not arrive completely in time

	// May have been executed; numbered last as it was added last.

	EndpointReset // the endpoint broke its connection, while its sidecar stands
)

// unknownStatus is the HTTP status for kinds of later versions, which promises nothing.
const unknownStatus = 502

// Entry is what the table says of a Kind.
type Entry struct {
	Name   string // in logs; never changes
	Status int    // HTTP status of the answer

	// NotExecuted: no endpoint has executed the request, and none will.
	NotExecuted bool

	// SuspectsEndpoint: the endpoint, or its sidecar, may be down; the balancer ejects it.
	SuspectsEndpoint bool

	// EndsAttempt: an attempt can end so. The other kinds end requests that were sent to no endpoint.
	EndsAttempt bool

	// RetryAfter is when a rejected client is to ask again; 0 if asking again is not worth it.
	RetryAfter time.Duration
}

var table = map[Kind]Entry{
	Answered: {Name: "answered", Status: 200, EndsAttempt: true},

	AtCapacity:    {Name: "full", Status: 503, NotExecuted: true, EndsAttempt: true, RetryAfter: 250 * time.Millisecond},
	Draining:      {Name: "leaving", Status: 503, NotExecuted: true, EndsAttempt: true, RetryAfter: 100 * time.Millisecond},
	Misdirected:   {Name: "mistaken", Status: 503, NotExecuted: true, SuspectsEndpoint: true, EndsAttempt: true, RetryAfter: 100 * time.Millisecond},
	Unreachable:   {Name: "unreachable", Status: 503, NotExecuted: true, SuspectsEndpoint: true, EndsAttempt: true, RetryAfter: 200 * time.Millisecond},
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

// Entry returns what the table says of a kind. One that is not of the list, from a later version, counts as may have been executed.
func (k Kind) Entry() Entry {
	if e, ok := table[k]; ok {
		return e
	}
	return Entry{Name: "unknown", Status: unknownStatus, EndsAttempt: true}
}

// String returns the kind's name.
func (k Kind) String() string { return k.Entry().Name }

// NotExecuted reports whether no endpoint has executed a request that ended so, and none will.
func (k Kind) NotExecuted() bool { return k.Entry().NotExecuted }

// RetryAfter returns when a rejected client is to ask again; 0 for kinds that are not worth asking again.
func (k Kind) RetryAfter() time.Duration { return k.Entry().RetryAfter }
