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

// Effect tells how far requests of a class may be repeated.
type Effect string

// The effects a class can have.
const (
	Safe   Effect = "safe"   // may run any number of times
	Keyed  Effect = "keyed"  // repeats are dropped within Scope for Window
	Unsafe Effect = "unsafe" // must not run twice
)

// Scope is the group of endpoints that drops repeats of a keyed request.
type Scope string

// The scopes of a keyed class.
const (
	ScopeAll  Scope = "all"
	ScopeZone Scope = "zone"
	ScopeCell Scope = "cell"
)

// Class describes one class of request.
type Class struct {
	Name      string
	Aim       time.Duration // an answer within this earns full worth
	Deadline  time.Duration // the client's total wait, over all its tries
	Worth     float64       // worth of one answer
	LateWorth float64       // share of Worth for an answer after Aim
	Effect    Effect
	Scope     Scope         // for Keyed
	Window    time.Duration // for Keyed: how long repeats are dropped
	Stream    bool          // answers stream; Begun is reported
}

// Tenant is one of several customers that share the service.
type Tenant struct {
	Name      string
	QuotaPerS float64 // requests a second, over all instances, within its share
}

// Settings is what an instance is told at its start.
type Settings struct {
	Instances int           // instances in this tier
	Ordinal   int           // this instance's number among them, from 0
	Stage     int           // index of the tier this instance sends into
	Tiers     int           // how many tiers there are; a call may wait in each from Stage on
	Quantum   time.Duration // smallest time between two rounds of events
	// SubsetMost is the most endpoints that this instance keeps to, 0 for no bound but that of its tier.
	// Where all instances together keep to fewer than are listed, the others get no calls.
	SubsetMost int

	Classes        []Class
	Tenants        []Tenant
	WorthByWork    bool    // worth counts for each unit of work, not for each request
	GoalWhole      float64 // weight of all worth served in what the site counts,
	GoalWorstClass float64 // and of the part of the worst-served class that is
	OverShareWorth float64 // worth of a request beyond its tenant's share, as a share of its class's

	// What the site permits.
	MayCancel      bool
	MayProbe       bool
	MayTell        bool
	SecondCopies   bool // two attempts of a request may be out at once
	MaxAttempts    int  // sends for each request; 0 for no limit
	MaxRetryAfter  time.Duration
	ConnectTimeout time.Duration

	// Where the list of endpoints comes from.
	MustAsk  bool          // changes come only after Watch or Fetch
	AskEvery time.Duration // without asking for this long an instance counts as told

	// PassesDeadline says that a call to the next tier carries the time its
	// caller has left; false that it carries its class's whole deadline.
	PassesDeadline bool
	MarksRetry     bool // clients flag their repeats

	// Cold endpoints: the share of capacity they start with, the time until
	// they are warm, and the load (a multiple of present capacity, held for
	// Fall) under which they fall over.
	ColdFrom    float64
	Cold        time.Duration
	TipMultiple float64
	Fall        time.Duration
}

// figure is a number that is set, and the least it may be.
type figure struct {
	key   string
	value float64
	least float64
}

// checkFigures names the first that is too low.
func checkFigures(figures []figure) error {
	for _, f := range figures {
		if f.value < f.least {
			return fmt.Errorf("settings: %s: below %v", f.key, f.least)
		}
	}
	return nil
}

// checkNames names what of a class under a key is unknown; figures gives its numbers.
func (c *Class) checkNames(key string) error {
	switch {
	case c.Effect != Safe && c.Effect != Keyed && c.Effect != Unsafe:
		return fmt.Errorf("settings: %seffect: unknown effect %q", key, c.Effect)
	case c.Effect == Keyed && c.Scope != ScopeAll && c.Scope != ScopeZone && c.Scope != ScopeCell:
		return fmt.Errorf("settings: %sscope: unknown scope %q", key, c.Scope)
	}
	return nil
}

func (c *Class) figures(key string) []figure {
	return []figure{{key + "aim", float64(c.Aim), 0}, {key + "deadline", float64(c.Deadline), 0},
		{key + "window", float64(c.Window), 0}}
}

// check names the first setting that cannot be acted on.
func (s *Settings) check() error {
	if len(s.Classes) == 0 {
		return fmt.Errorf("settings: classes: none given")
	}
	figures := []figure{
		{"instances", float64(s.Instances), 1}, {"ordinal", float64(s.Ordinal), 0},
		{"subsetMost", float64(s.SubsetMost), 0},
		{"quantum", float64(s.Quantum), 0},
		{"goalWhole", s.GoalWhole, 0}, {"goalWorstClass", s.GoalWorstClass, 0},
		{"cold", float64(s.Cold), 0}, {"coldFrom", s.ColdFrom, 0}, {"tipMultiple", s.TipMultiple, 0},
		{"fall", float64(s.Fall), 0}, {"askEvery", float64(s.AskEvery), 0},
		{"maxRetryAfter", float64(s.MaxRetryAfter), 0}, {"connectTimeout", float64(s.ConnectTimeout), 0},
	}
	for i, t := range s.Tenants {
		figures = append(figures, figure{fmt.Sprintf("tenants[%d].quotaPerS", i), t.QuotaPerS, 0})
	}
	for i, c := range s.Classes {
		key := fmt.Sprintf("classes[%d].", i)
		if err := c.checkNames(key); err != nil {
			return err
		}
		figures = append(figures, c.figures(key)...)
	}
	if err := checkFigures(figures); err != nil {
		return err
	}
	if s.ColdFrom > 1 {
		return fmt.Errorf("settings: coldFrom: %v is not a share", s.ColdFrom)
	}
	return nil
}

// most is how often a request may be sent.
func (s *Settings) most(q *Request) int {
	most := math.MaxInt
	for _, n := range []int{s.MaxAttempts, q.Attempts} {
		if n > 0 {
			most = min(most, n)
		}
	}
	return most
}

// Group is the instances of a tier as a view of them has it, in place of the numbers in Settings.
type Group struct {
	Instances int // that take this tier's requests; at least 1
	Ordinal   int // this one's number among them, from 0
	// Sharing is how many there may be at most, as far as this one can tell: what all together must not go
	// beyond, such as tenants' quotas and attempts at endpoints that may be cold, is divided by it. At least
	// Instances; 0 for that.
	Sharing int
	// Members are numbers of theirs that all agree on, in any order, and Self this one's. Subsets of many
	// endpoints then move by no more than a change of the group takes. Nil: they go by Ordinal.
	Members []uint64
	Self    uint64
}

func (g *Group) check() error {
	switch {
	case g.Instances < 1:
		return fmt.Errorf("group: %d instances", g.Instances)
	case g.Ordinal < 0 || g.Ordinal >= g.Instances:
		return fmt.Errorf("group: %d is no number among %d instances, counted from 0", g.Ordinal, g.Instances)
	case g.Members != nil && (len(g.Members) != g.Instances || !slices.Contains(g.Members, g.Self)):
		return fmt.Errorf("group: %d members for %d instances, or this one is not among them",
			len(g.Members), g.Instances)
	}
	return nil
}

// Request is one client request as it arrives.
type Request struct {
	ID     RequestID
	Class  int
	Tenant int
	Key    string        // what the request concerns; may be empty
	Left   time.Duration // time until the client gives this try up
	Hint   time.Duration // expected work, where given
	Repeat bool          // the client marks it as a repeat
	Write  bool
	Idle   int // callers' connections to this instance that stand idle beside its own

	Not      *EndpointID   // it goes to another first, nil for any
	Times    float64       // how much more it is worth than others of its class, 0 for as much
	Attempts int           // sends, 0 for as many as the site allows
	Each     time.Duration // of one attempt, 0 for no time of its own

	Earlier Earlier
}

// Earlier is what is remembered of a request: an attempt of an earlier try of it, or in an earlier life of
// this instance. The zero value says nothing.
type Earlier struct {
	MayRun     bool
	Served     bool // an answer to it was served
	Zone, Cell int  // of the endpoint, when it was sent
	At         time.Duration
}

// Status is how an attempt or a probe ended.
type Status int

// The outcomes of an attempt.
const (
	OK            Status = iota
	Error                // answered with an error; may have run
	Full                 // turned away unseen
	Timeout              // no answer in time; may have run
	ConnectFailed        // no connection in time; never ran
	Reset                // the connection broke; may have run
	Cancelled            // withdrawn; may have run
	Moot                 // never sent
	Spoilt               // what came is of no use, or its connection alone broke; may have run
)

// NeverRan reports whether the outcome proves that the attempt did not run.
func (s Status) NeverRan() bool { return s == Full || s == ConnectFailed || s == Moot }

// Load is an endpoint's load report; a field that was not reported is negative.
type Load struct {
	InFlight float64
	Queue    float64
	Util     float64
	Service  time.Duration // recent service time, without waiting
}

// Outcome is the end of one attempt.
type Outcome struct {
	ID       RequestID
	Endpoint EndpointID
	Attempt  int
	Final    bool // the request is finished, by this outcome or before it
	Elapsed  time.Duration
	Status   Status
	Load     *Load         // nil without a report
	Last     bool          // nothing more may go out of the request, whatever its class allows
	Pause    time.Duration // before what goes out of it again
}

// Probed is the result of a probe.
type Probed struct {
	Endpoint EndpointID
	Status   Status
	Elapsed  time.Duration
	Load     *Load // nil without a report
}

// State is an endpoint's state in the list.
type State int

// The states of a listed endpoint.
const (
	Ready    State = iota
	Draining       // finishing its work; send it nothing new
	Gone           // removed; only in deltas
)

// Entry is one line of the endpoint list.
type Entry struct {
	Endpoint EndpointID
	Zone     int
	Kind     int
	Cell     int
	State    State
	Weight   float64
	Started  time.Duration // latest start, on the event clock; 0 for long past
}

// ListKind tells how a list is to be read.
type ListKind int

// The kinds of list.
const (
	Delta  ListKind = iota // only entries that changed
	Whole                  // every endpoint there is
	Cached                 // every endpoint, as this instance last knew them
	Failed                 // the request for a list failed; the old one stands
)

// List is what discovery tells about the endpoints.
type List struct {
	Kind    ListKind
	Version uint64
	Entries []Entry
}

// Host carries out a Balancer's actions. It is called only from within the
// Balancer's event methods and must not call back into the Balancer.
type Host interface {
	Send(id RequestID, to EndpointID, timeout time.Duration) // timeout 0: until the client gives up
	Refuse(id RequestID, retryAfter time.Duration)           // final answer: try again, it is harmless
	Fail(id RequestID)                                       // final answer: failed, promising nothing
	Cancel(id RequestID, attempt int)
	SetTimer(token uint64, after time.Duration)
	Probe(to EndpointID)
	Tell(peer int, data []byte) // peer -1: every peer
	Watch(on bool)
	Fetch()
	CloseIdle(to EndpointID)
	Log(text string)
}
