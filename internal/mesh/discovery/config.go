package discovery

import (
	"cmp"
	"time"
)

// Config holds the settings of the package's types. A field that is zero has its default.
type Config struct {
	// LeaseDuration is the lease under which a publisher announces a record; it renews the lease after a third of that. Default 9 s. With a
	// shorter one a failed sidecar is noticed sooner; with a longer one records survive a longer partition.
	LeaseDuration time.Duration

	// TombstoneRetention is how long an endpoint that ended is remembered. Default 1 min. It must be longer than any record takes to
	// arrive: a record that arrives later brings the endpoint back until its lease expires.
	TombstoneRetention time.Duration

	// MaxTombstones bounds the number of endpoints that ended and are remembered. Default 4,096. Once one is forgotten, a subscriber whose
	// version is older than the endpoint's last change gets the complete list.
	MaxTombstones int

	// TakeoverTimeout is how long an endpoint must have been without a renewal until it is taken for crashed because another one at its
	// address is renewed. Default half of LeaseDuration.
	TakeoverTimeout time.Duration

	// FreezeThreshold is the time between two calls of Registry.Expire above which this process is assumed to have been frozen, so that
	// renewals may have arrived and not been processed yet. Default 3 s. It must be well above the regular time between calls.
	FreezeThreshold time.Duration

	// RetryInterval is the time until an announcement that wasn't acknowledged, or a request that wasn't answered, is sent again. Default
	// 300 ms. It is to be longer than a round trip.
	RetryInterval time.Duration

	// PollInterval is the time between two requests of a subscriber to an owner that answers. Default 2 s. The owner also notifies the
	// subscriber of each change, so a longer interval only delays changes whose notifications were lost.
	PollInterval time.Duration

	// SubscriptionLease is how long an owner notifies a subscriber after a request of it. Default 6 s, three polls.
	SubscriptionLease time.Duration

	// OwnersQueried is the number of owners of each service that a subscriber polls. Default 2: with a single one, changes would be delayed
	// after its failure until that is noticed.
	OwnersQueried int
}

// WithDefaults returns the settings with each zero field replaced by its default.
func (c Config) WithDefaults() Config {
	c.LeaseDuration = cmp.Or(c.LeaseDuration, 9*time.Second)
	c.TombstoneRetention = cmp.Or(c.TombstoneRetention, time.Minute)
	c.MaxTombstones = cmp.Or(c.MaxTombstones, 4096)
	c.TakeoverTimeout = cmp.Or(c.TakeoverTimeout, c.LeaseDuration/2)
	c.FreezeThreshold = cmp.Or(c.FreezeThreshold, 3*time.Second)
	c.RetryInterval = cmp.Or(c.RetryInterval, 300*time.Millisecond)
	c.PollInterval = cmp.Or(c.PollInterval, 2*time.Second)
	c.SubscriptionLease = cmp.Or(c.SubscriptionLease, 6*time.Second)
	c.OwnersQueried = cmp.Or(c.OwnersQueried, 2)
	return c
}
