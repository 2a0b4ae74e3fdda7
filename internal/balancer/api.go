// Package balancer makes the decisions of a load balancer for services that
// call services: which endpoint gets a call, when a call is tried again, held,
// refused or failed, and how the endpoint list is followed.
//
// This file is the interface: the settings a Balancer is started with, the
// values its events carry, and the actions it takes through a Host. Decisions
// are in balancer.go (the flow of events, and when lists are asked for),
// admission.go, limits.go, pick.go, health.go and retry.go; state.go, fleet.go
// and classes.go hold what they rest on. The package does no input or output,
// reads no clock and starts no goroutine: the program that embeds it hands over
// each event with the time, counted from an arbitrary start, and carries out the
// actions in the order they are asked for.
package balancer

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// RequestID names a request; the Balancer returns it unchanged.
type RequestID string

// EndpointID names an endpoint; it stays the same when its process restarts.
type EndpointID uint32

// Idempotency tells how far requests of a class may be repeated.
type Idempotency string

// The effects a class can have.
const (
	Idempotent        Idempotency = "safe"   // may run any number of times
	IdempotentWithKey Idempotency = "keyed"  // repeats are dropped within Scope for Window
	NonIdempotent     Idempotency = "unsafe" // must not run twice
)

// KeyScope is the group of endpoints that drops repeats of a keyed request.
type KeyScope string

// The scopes of a keyed class.
const (
	KeyScopeAll  KeyScope = "all"
	KeyScopeZone KeyScope = "zone"
	KeyScopeCell KeyScope = "cell"
)

// Class describes one class of request.
type Class struct {
	Name           string
	LatencyTarget  time.Duration // an answer within this earns full worth
	Deadline       time.Duration // the client's total wait, over all its tries
	Value          float64       // worth of one answer
	LateValueShare float64       // share of Worth for an answer after Aim
	Idempotency    Idempotency
	KeyScope       KeyScope      // for Keyed
	KeyWindow      time.Duration // for Keyed: how long repeats are dropped
	Streaming      bool          // answers stream; Begun is reported
}

// Tenant is one of several customers that share the service.
type Tenant struct {
	Name           string
	QuotaPerSecond float64 // requests a second, over all instances, within its share
}

// Settings is what an instance is told at its start.
type Settings struct {
	Instances int           // instances in this tier
	Ordinal   int           // this instance's number among them, from 0
	Tier      int           // index of the tier this instance sends into
	Tiers     int           // how many tiers there are; a call may wait in each from Stage on
	Quantum   time.Duration // smallest time between two rounds of events
	// MaxSubsetSize is the most endpoints that this instance keeps to, 0 for no bound but that of its tier.
	// Where all instances together keep to fewer than are listed, the others get no calls.
	MaxSubsetSize int

	Classes             []Class
	Tenants             []Tenant
	ValuePerWorkUnit    bool    // worth counts for each unit of work, not for each request
	TotalValueWeight    float64 // weight of all worth served in what the site counts,
	WorstClassWeight    float64 // and of the part of the worst-served class that is
	OverQuotaValueShare float64 // worth of a request beyond its tenant's share, as a share of its class's

	// What the site permits.
	MayCancel       bool
	MayHealthCheck  bool
	MayMessagePeers bool
	HedgedRequests  bool // two attempts of a request may be out at once
	MaxAttempts     int  // sends for each request; 0 for no limit
	MaxRetryAfter   time.Duration
	ConnectTimeout  time.Duration

	// Where the list of endpoints comes from.
	MustSubscribe       bool          // changes come only after Watch or Fetch
	ResubscribeInterval time.Duration // without asking for this long an instance counts as told

	// PropagatesDeadline says that a call to the next tier carries the time its
	// caller has left; false that it carries its class's whole deadline.
	PropagatesDeadline bool
	ClientsMarkRetries bool // clients flag their repeats

	// Cold endpoints: the share of capacity they start with, the time until
	// they are warm, and the load (a multiple of present capacity, held for
	// Fall) under which they fall over.
	SlowStartMinShare float64
	SlowStartWindow   time.Duration
	OverloadMultiple  float64
	OverloadDuration  time.Duration
}

// minimum is a number that is set, and the least it may be.
type minimum struct {
	key   string
	value float64
	min   float64
}

// checkMinimums names the first that is too low.
func checkMinimums(figures []minimum) error {
	for _, f := range figures {
		if f.value < f.min {
			return fmt.Errorf("settings: %s: below %v", f.key, f.min)
		}
	}
	return nil
}

// checkEnums names what of a class under a key is unknown; figures gives its numbers.
func (c *Class) checkEnums(key string) error {
	switch {
	case c.Idempotency != Idempotent && c.Idempotency != IdempotentWithKey && c.Idempotency != NonIdempotent:
		return fmt.Errorf("settings: %seffect: unknown effect %q", key, c.Idempotency)
	case c.Idempotency == IdempotentWithKey && c.KeyScope != KeyScopeAll && c.KeyScope != KeyScopeZone && c.KeyScope != KeyScopeCell:
		return fmt.Errorf("settings: %sscope: unknown scope %q", key, c.KeyScope)
	}
	return nil
}

func (c *Class) minimums(key string) []minimum {
	return []minimum{
		{key + "aim", float64(c.LatencyTarget), 0},
		{key + "deadline", float64(c.Deadline), 0},
		{key + "window", float64(c.KeyWindow), 0},
	}
}

// check names the first setting that cannot be acted on.
func (s *Settings) check() error {
	if len(s.Classes) == 0 {
		return fmt.Errorf("settings: classes: none given")
	}
	figures := []minimum{
		{"instances", float64(s.Instances), 1},
		{"ordinal", float64(s.Ordinal), 0},
		{"subsetMost", float64(s.MaxSubsetSize), 0},
		{"quantum", float64(s.Quantum), 0},
		{"goalWhole", s.TotalValueWeight, 0},
		{"goalWorstClass", s.WorstClassWeight, 0},
		{"cold", float64(s.SlowStartWindow), 0},
		{"coldFrom", s.SlowStartMinShare, 0},
		{"tipMultiple", s.OverloadMultiple, 0},
		{"fall", float64(s.OverloadDuration), 0},
		{"askEvery", float64(s.ResubscribeInterval), 0},
		{"maxRetryAfter", float64(s.MaxRetryAfter), 0},
		{"connectTimeout", float64(s.ConnectTimeout), 0},
	}
	for i, t := range s.Tenants {
		figures = append(figures, minimum{fmt.Sprintf("tenants[%d].quotaPerS", i), t.QuotaPerSecond, 0})
	}
	for i, c := range s.Classes {
		key := fmt.Sprintf("classes[%d].", i)
		if err := c.checkEnums(key); err != nil {
			return err
		}
		figures = append(figures, c.minimums(key)...)
	}
	if err := checkMinimums(figures); err != nil {
		return err
	}
	if s.SlowStartMinShare > 1 {
		return fmt.Errorf("settings: coldFrom: %v is not a share", s.SlowStartMinShare)
	}
	return nil
}

// capacity is how often a request may be sent.
func (s *Settings) maxAttempts(q *Request) int {
	most := math.MaxInt
	for _, n := range []int{s.MaxAttempts, q.MaxAttempts} {
		if n > 0 {
			most = min(most, n)
		}
	}
	return most
}

// InstanceGroup is the instances of a tier as a view of them has it, in place of the numbers in Settings.
type InstanceGroup struct {
	Instances int // that take this tier's requests; at least 1
	Ordinal   int // this one's number among them, from 0
	// MaxInstances is how many there may be at most, as far as this one can tell: what all together must not go
	// beyond, such as tenants' quotas and attempts at endpoints that may be cold, is divided by it. At least
	// Instances; 0 for that.
	MaxInstances int
	// Members are numbers of theirs that all agree on, in any order, and Self this one's. Subsets of many
	// endpoints then move by no more than a change of the group takes. Nil: they go by Ordinal.
	Members []uint64
	Self    uint64
}

func (i *InstanceGroup) check() error {
	switch {
	case i.Instances < 1:
		return fmt.Errorf("group: %d instances", i.Instances)
	case i.Ordinal < 0 || i.Ordinal >= i.Instances:
		return fmt.Errorf("group: %d is no number among %d instances, counted from 0", i.Ordinal, i.Instances)
	case i.Members != nil && (len(i.Members) != i.Instances || !slices.Contains(i.Members, i.Self)):
		return fmt.Errorf("group: %d members for %d instances, or this one is not among them",
			len(i.Members), i.Instances)
	}
	return nil
}

// HandleRequest is one client request as it arrives.
type Request struct {
	ID              RequestID
	Class           int
	Tenant          int
	Key             string        // what the request concerns; may be empty
	TimeLeft        time.Duration // time until the client gives this try up
	WorkHint        time.Duration // expected work, where given
	Retry           bool          // the client marks it as a repeat
	Write           bool
	IdleConnections int // callers' connections to this instance that stand idle beside its own

	Exclude        *EndpointID   // it goes to another first, nil for any
	ValueFactor    float64       // how much more it is worth than others of its class, 0 for as much
	MaxAttempts    int           // sends, 0 for as many as the site allows
	AttemptTimeout time.Duration // of one attempt, 0 for no time of its own

	Prior PriorAttempt
}

// PriorAttempt is what is remembered of a request: an attempt of an earlier try of it, or in an earlier life of
// this instance. The zero value says nothing.
type PriorAttempt struct {
	MayHaveRun bool
	Served     bool // an answer to it was served
	Zone, Cell int  // of the endpoint, when it was sent
	SentAt     time.Duration
}

// Status is how an attempt or a probe ended.
type Status int

// The outcomes of an attempt.
const (
	StatusOK              Status = iota
	StatusError                  // answered with an error; may have run
	StatusRejected               // turned away unseen
	StatusTimeout                // no answer in time; may have run
	StatusConnectFailed          // no connection in time; never ran
	StatusReset                  // the connection broke; may have run
	StatusCancelled              // withdrawn; may have run
	StatusNotSent                // never sent
	StatusInvalidResponse        // what came is of no use, or its connection alone broke; may have run
)

// NeverRan reports whether the outcome proves that the attempt did not run.
func (s Status) NeverRan() bool {
	return s == StatusRejected || s == StatusConnectFailed || s == StatusNotSent
}

// Load is an endpoint's load report; a field that was not reported is negative.
type Load struct {
	InFlight    float64
	Queue       float64
	Utilization float64
	ServiceTime time.Duration // recent service time, without waiting
}

// HandleOutcome is the end of one attempt.
type Outcome struct {
	ID       RequestID
	Endpoint EndpointID
	Attempt  int
	Final    bool // the request is finished, by this outcome or before it
	Elapsed  time.Duration
	Status   Status
	Load     *Load         // nil without a report
	NoRetry  bool          // nothing more may go out of the request, whatever its class allows
	Backoff  time.Duration // before what goes out of it again
}

// HandleHealthCheck is the result of a probe.
type HealthCheckResult struct {
	Endpoint EndpointID
	Status   Status
	Elapsed  time.Duration
	Load     *Load // nil without a report
}

// EndpointState is an endpoint's state in the list.
type EndpointState int

// The states of a listed endpoint.
const (
	EndpointReady    EndpointState = iota
	EndpointDraining               // finishing its work; send it nothing new
	EndpointRemoved                // removed; only in deltas
)

// ListEntry is one line of the endpoint list.
type ListEntry struct {
	Endpoint    EndpointID
	Zone        int
	MachineKind int
	Cell        int
	State       EndpointState
	Weight      float64
	StartedAt   time.Duration // latest start, on the event clock; 0 for long past
}

// ListKind tells how a list is to be read.
type ListKind int

// The kinds of list.
const (
	ListDelta  ListKind = iota // only entries that changed
	ListFull                   // every endpoint there is
	ListCached                 // every endpoint, as this instance last knew them
	ListFailed                 // the request for a list failed; the old one stands
)

// EndpointList is what discovery tells about the endpoints.
type EndpointList struct {
	Kind    ListKind
	Version uint64
	Entries []ListEntry
}

// Host carries out a Balancer's actions. It is called only from within the
// Balancer's event methods and must not call back into the Balancer.
type Host interface {
	Send(id RequestID, to EndpointID, timeout time.Duration) // timeout 0: until the client gives up
	Reject(id RequestID, retryAfter time.Duration)           // final answer: try again, it is harmless
	Fail(id RequestID)                                       // final answer: failed, promising nothing
	Cancel(id RequestID, attempt int)
	SetTimer(token uint64, after time.Duration)
	HealthCheck(to EndpointID)
	SendToPeer(peer int, data []byte) // peer -1: every peer
	WatchEndpoints(on bool)
	FetchEndpoints()
	CloseIdleConnections(to EndpointID)
	Log(text string)
}
