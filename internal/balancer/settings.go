package balancer

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// Idempotency says how far the requests of a class may be repeated.
type Idempotency string

// The idempotency of a class. The values are those of settings files.
const (
	Idempotent        Idempotency = "safe"   // may run any number of times
	IdempotentWithKey Idempotency = "keyed"  // repeats are dropped within KeyScope for KeyWindow
	NonIdempotent     Idempotency = "unsafe" // must not run twice
)

// KeyScope is the group of endpoints that drops the repeats of a request with an idempotency key.
type KeyScope string

// The scopes of an idempotency key. The values are those of settings files.
const (
	KeyScopeAll  KeyScope = "all"
	KeyScopeZone KeyScope = "zone"
	KeyScopeCell KeyScope = "cell"
)

// Class describes one class of request.
type Class struct {
	Name           string
	LatencyTarget  time.Duration // an answer within it has the full value (SLO)
	Deadline       time.Duration // the client's total wait, over all its attempts
	Value          float64       // of one answer
	LateValueShare float64       // part of Value that an answer after LatencyTarget has
	Idempotency    Idempotency
	KeyScope       KeyScope      // for IdempotentWithKey
	KeyWindow      time.Duration // for IdempotentWithKey: how long repeats are dropped
	Streaming      bool          // responses stream: HandleResponseStart is called
}

// Tenant is one of several customers that share the service.
type Tenant struct {
	Name           string
	QuotaPerSecond float64 // requests, over all instances, that are within its share
}

// Settings is what an instance is started with.
type Settings struct {
	Instances int           // instances in this tier
	Ordinal   int           // this instance's number among them, from 0
	Tier      int           // index of the tier that this instance calls, from 0
	Tiers     int           // how many tiers there are; a request may wait in each from Tier on
	Quantum   time.Duration // shortest time between two rounds of events
	// MaxSubsetSize is the most endpoints that this instance calls, 0 for no bound but that of its tier.
	// Where all instances together call fewer than are listed, the others get no requests.
	MaxSubsetSize int

	Classes             []Class
	Tenants             []Tenant
	ValuePerWorkUnit    bool    // a class's Value is that of a unit of work, not of a request
	TotalValueWeight    float64 // weight of the value of all answers in what is optimized
	WorstClassWeight    float64 // weight of the answered share of the worst-served class in what is optimized
	OverQuotaValueShare float64 // part of its class's Value that a request beyond its tenant's quota has

	// What the environment permits.
	MayCancel       bool
	MayHealthCheck  bool
	MayMessagePeers bool
	HedgedRequests  bool // two attempts of a request may be in flight at once
	MaxAttempts     int  // of a request; 0 for no limit
	MaxRetryAfter   time.Duration
	ConnectTimeout  time.Duration

	// Where the list of endpoints comes from.
	MustSubscribe       bool          // changes come only after WatchEndpoints or FetchEndpoints
	ResubscribeInterval time.Duration // an instance that has not asked for this long counts as notified

	// PropagatesDeadline says that a request to the next tier carries the time that its caller has left; false that it
	// carries its class's whole deadline.
	PropagatesDeadline bool
	ClientsMarkRetries bool // clients flag their retries

	// Slow start: the share of their capacity that endpoints begin with, and the time until they have all of it.
	SlowStartMinShare float64
	SlowStartWindow   time.Duration
	// An endpoint that is still in slow start fails under OverloadMultiple times its capacity of that time, held for
	// OverloadDuration.
	OverloadMultiple float64
	OverloadDuration time.Duration
}

// minimum is a number that is set, and the least it may be.
type minimum struct {
	key   string
	value float64
	min   float64
}

// checkMinimums names the first that is too low.
func checkMinimums(minimums []minimum) error {
	for _, m := range minimums {
		if m.value < m.min {
			return fmt.Errorf("settings: %s: below %v", m.key, m.min)
		}
	}
	return nil
}

// checkEnums names, after a prefix, the first field of the class whose value is unknown.
func (c *Class) checkEnums(prefix string) error {
	switch c.Idempotency {
	case Idempotent, NonIdempotent:
		return nil
	case IdempotentWithKey:
	default:
		return fmt.Errorf("settings: %seffect: unknown effect %q", prefix, c.Idempotency)
	}
	switch c.KeyScope {
	case KeyScopeAll, KeyScopeZone, KeyScopeCell:
		return nil
	}
	return fmt.Errorf("settings: %sscope: unknown scope %q", prefix, c.KeyScope)
}

// minimums are the numbers of the class that have a least value, named after a prefix.
func (c *Class) minimums(prefix string) []minimum {
	return []minimum{
		{prefix + "aim", float64(c.LatencyTarget), 0},
		{prefix + "deadline", float64(c.Deadline), 0},
		{prefix + "window", float64(c.KeyWindow), 0},
	}
}

// classKey is the prefix by which error texts name the fields of a class.
func classKey(index int) string { return fmt.Sprintf("classes[%d].", index) }

// check names the first setting that cannot be acted on, by the name that settings files have for it.
func (s *Settings) check() error {
	if len(s.Classes) == 0 {
		return fmt.Errorf("settings: classes: none given")
	}
	minimums := []minimum{
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
		minimums = append(minimums, minimum{fmt.Sprintf("tenants[%d].quotaPerS", i), t.QuotaPerSecond, 0})
	}
	for i, c := range s.Classes {
		if err := c.checkEnums(classKey(i)); err != nil {
			return err
		}
		minimums = append(minimums, c.minimums(classKey(i))...)
	}
	if err := checkMinimums(minimums); err != nil {
		return err
	}
	if s.SlowStartMinShare > 1 {
		return fmt.Errorf("settings: coldFrom: %v is not a share", s.SlowStartMinShare)
	}
	return nil
}

// maxAttempts is how often a request may be sent.
func (s *Settings) maxAttempts(r *Request) int {
	limit := math.MaxInt
	if s.MaxAttempts > 0 {
		limit = s.MaxAttempts
	}
	if r.MaxAttempts > 0 {
		limit = min(limit, r.MaxAttempts)
	}
	return limit
}

// InstanceGroup is the instances of a tier as a membership view has them, in place of the numbers in Settings.
type InstanceGroup struct {
	Instances int // that take this tier's requests; at least 1
	Ordinal   int // this one's number among them, from 0
	// MaxInstances is how many there may be at most, as far as this one can tell: what all together must not exceed, such
	// as tenants' quotas and attempts at endpoints in slow start, is divided by it. At least Instances; 0 for that.
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
