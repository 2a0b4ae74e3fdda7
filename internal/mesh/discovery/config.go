package discovery

import (
	"cmp"
	"time"
)

// Config holds the settings of the package's types. A zero field stands for its default.
type Config struct {
	// LeaseDuration is the duration of the lease under which a publisher announces a record. The publisher renews the lease after a third of
	// the duration. Default 9 s. A shorter lease detects a failed sidecar sooner; with a longer one, records survive a longer partition.
	LeaseDuration time.Duration

	// TombstoneRetention is the time for which an endpoint that ended is retained. Default 1 min. It must be longer than any record takes to
	// arrive: a record that arrives later restores the endpoint until its lease expires.
	TombstoneRetention time.Duration

	// MaxTombstones bounds the number of retained endpoints that ended. Default 4,096. Once a tombstone is discarded, a subscriber whose
	// version is older than the endpoint's last change gets the complete list.
	MaxTombstones int

	// TakeoverTimeout is the time without a renewal after which an endpoint is presumed crashed if another endpoint at its address was
	// renewed more recently than that. Default half of LeaseDuration.
	TakeoverTimeout time.Duration

	// FreezeThreshold is the time between two calls of Registry.Expire above which this process is assumed to have been frozen. Renewals may
	// then have arrived without being processed yet. Default 3 s. It must be well above the regular time between calls.
	FreezeThreshold time.Duration

	// RetryInterval is the time after which an unacknowledged announcement or an unanswered request is sent again. Default 300 ms. It should
	// be longer than a round trip.
	RetryInterval time.Duration

	// PollInterval is the time between two requests of a subscriber to an owner that answers. Default 2 s. The owner also notifies the
	// subscriber of each change, so a longer interval delays only changes whose notifications were lost.
	PollInterval time.Duration

	// SubscriptionLease is the time after a subscriber's last request during which an owner notifies it. Default 6 s, which is three polls.
	SubscriptionLease time.Duration

	// OwnersQueried is the number of owners of each service that a subscriber polls. Default 2: if a single polled owner failed, changes
	// would be delayed until the failure is detected.
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
