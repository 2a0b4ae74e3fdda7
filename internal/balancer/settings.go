package balancer

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// Idempotency says whether requests of a class may be repeated.
type Idempotency string

// The kinds of idempotency of a class. The values are those of settings files.
const (
	Idempotent        Idempotency = "safe"   // a request may run any number of times
	IdempotentWithKey Idempotency = "keyed"  // repeats of a request are recognized within KeyScope for KeyWindow
	NonIdempotent     Idempotency = "unsafe" // a request must not run twice
)

// KeyScope is the group of endpoints that recognizes the repeat of a request by its idempotency key.
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
	LatencyTarget  time.Duration // time within which an answer has the full value (SLO)
	Deadline       time.Duration // longest time that the client waits, over all its attempts
	Value          float64       // value of one answer
	LateValueShare float64       // share of Value that an answer after LatencyTarget has
	Idempotency    Idempotency
	KeyScope       KeyScope      // group of endpoints that recognizes repeats, for IdempotentWithKey
	KeyWindow      time.Duration // time for which repeats are recognized, for IdempotentWithKey
	Streaming      bool          // responses are streamed, and HandleResponseStart is called for each
}

// Tenant is one of the customers that share the service.
type Tenant struct {
	Name           string
	QuotaPerSecond float64 // quota of requests per second at all instances together
}

// Settings holds the settings of an instance.
type Settings struct {
	Instances int           // number of instances in this tier
	Ordinal   int           // index of this instance in the tier, from 0
	Tier      int           // index of the tier that this instance calls, from 0
	Tiers     int           // number of tiers; a request may wait in tier Tier and in each later one
	Quantum   time.Duration // shortest time between two rounds of events
	// MaxSubsetSize is the largest number of endpoints that this instance calls, 0 for no limit. If all instances together call
	// fewer endpoints than are listed, the others get no requests.
	MaxSubsetSize int

	Classes             []Class
	Tenants             []Tenant
	ValuePerWorkUnit    bool    // the Value of a class is the value of a unit of work, not of a request
	TotalValueWeight    float64 // weight of the total value of all answers in the optimized value
	WorstClassWeight    float64 // weight of the worst-served class's answered share in the optimized value
	OverQuotaValueShare float64 // share of its class's Value that a request over its tenant's quota has

	// Permissions and limits of the environment.
	MayCancel       bool
	MayHealthCheck  bool
	MayMessagePeers bool
	HedgedRequests  bool // two attempts of a request may be in flight at the same time
	MaxAttempts     int  // maximum number of attempts of each request; 0 for no limit
	MaxRetryAfter   time.Duration
	ConnectTimeout  time.Duration

	// The source of the endpoint list.
	MustSubscribe       bool          // changes arrive only after WatchEndpoints or FetchEndpoints
	ResubscribeInterval time.Duration // time after which the source treats an instance without a subscription or fetch as notified

	// PropagatesDeadline reports whether a request to the next tier carries the remaining time of its caller, rather than the full
	// Deadline of its class.
	PropagatesDeadline bool
	ClientsMarkRetries bool // clients mark their retries (Request.Retry)

	// NonIdempotentTrials allows a NonIdempotent request as the trial of an ejected endpoint, if no other request has been the trial for as
	// long as the trial was delayed. Without it, an endpoint that gets no other requests stays ejected until a list shows its restart.
	NonIdempotentTrials bool

	// Slow start: the share of its capacity that an endpoint begins with, and the time until it has its full capacity.
	SlowStartMinShare float64
	SlowStartWindow   time.Duration
	// An endpoint in slow start fails at OverloadMultiple times its current capacity, if that lasts for OverloadDuration.
	OverloadMultiple float64
	OverloadDuration time.Duration
}

// minimum is a setting with its value and the least valid value.
type minimum struct {
	key   string
	value float64
	min   float64
}

// checkMinimums returns an error that names the first setting below its minimum.
func checkMinimums(minimums []minimum) error {
	for _, m := range minimums {
		if m.value < m.min {
			return fmt.Errorf("settings: %s: below %v", m.key, m.min)
		}
	}
	return nil
}

// checkEnums returns an error that names the first enum field of the class with an unknown value. The name begins with the prefix.
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

// minimums returns the numeric fields of the class with their least valid values. The names begin with the prefix.
func (c *Class) minimums(prefix string) []minimum {
	return []minimum{
		{prefix + "aim", float64(c.LatencyTarget), 0},
		{prefix + "deadline", float64(c.Deadline), 0},
		{prefix + "window", float64(c.KeyWindow), 0},
	}
}

// classKey returns the prefix of the names of a class's fields in error texts.
func classKey(index int) string { return fmt.Sprintf("classes[%d].", index) }

// check returns an error that names the first invalid setting by its key in settings files, or nil if all are valid.
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

// maxAttempts returns the maximum number of attempts of a request: the lower of the limits of the settings and the request.
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

// InstanceGroup describes the instances of a tier according to a membership view. It replaces Instances and Ordinal of Settings.
type InstanceGroup struct {
	Instances int // number of instances that serve requests of this tier; at least 1
	Ordinal   int // index of this instance in the tier, from 0
	// MaxInstances is the largest number of instances that may exist, as far as this one knows. Limits that all instances share,
	// such as tenants' quotas and attempts at endpoints in slow start, are divided by it. If it is below Instances, Instances is
	// used.
	MaxInstances int
	// Members are the ids of the instances, in any order, and Self is the id of this one. All instances must use the same ids. With
	// Members, a change of the group changes large subsets no more than necessary. If Members is nil, subsets depend on Ordinal.
	Members []uint64
	Self    uint64
}

// check returns an error that says what is invalid in the group, or nil if it is valid.
func (i *InstanceGroup) check() error {
	switch {
	case i.Instances < 1:
		return fmt.Errorf("group: %d instances, want at least 1", i.Instances)
	case i.Ordinal < 0 || i.Ordinal >= i.Instances:
		return fmt.Errorf("group: ordinal %d is out of range for %d instances, counted from 0", i.Ordinal, i.Instances)
	case i.Members != nil && (len(i.Members) != i.Instances || !slices.Contains(i.Members, i.Self)):
		return fmt.Errorf("group: %d members for %d instances, or self is not among the members",
			len(i.Members), i.Instances)
	}
	return nil
}
