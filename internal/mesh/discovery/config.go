package discovery

import (
	"cmp"
	"time"
)

// Config holds the settings of all parts. A field that is zero has its default.
type Config struct {
	// LeaseDuration is how long a record lasts at a registry unless it is renewed, which its publisher does three times in that time.
	// Default 9 s. A shorter one notices a failed sidecar sooner; a longer one lasts through a longer partition.
	LeaseDuration time.Duration

	// TombstoneRetention is how long an endpoint that ended is remembered. Default 1 min. It is to be longer than any record may be on its
	// way.
	TombstoneRetention time.Duration

	// MaxTombstones bounds the endpoints that ended and are remembered. Default 4,096. Once one is forgotten, subscribers that
	// are behind its last change take the complete list.
	MaxTombstones int

	// TakeoverTimeout is how long an endpoint must not have been renewed until it yields to another one at its address that is.
	// Default half of LeaseDuration.
	TakeoverTimeout time.Duration

	// FreezeThreshold is a time between two calls of Registry.Expire that means that this process was frozen, so that renewals may lie
	// unread. Default 3 s. It must be well above the time between calls.
	FreezeThreshold time.Duration

	// RetryInterval is the time until what wasn't acknowledged or answered is sent again. Default 300 ms. It is to be longer than a round
	// trip.
	RetryInterval time.Duration

	// PollInterval is the time between two requests of a subscriber to an owner that answers. Default 2 s. Changes are notified in between:
	// a longer one only delays a change whose notification was dropped.
	PollInterval time.Duration

	// SubscriptionLease is how long a request keeps a subscriber at an owner. Default 6 s, three polls.
	SubscriptionLease time.Duration

	// OwnersQueried is how many owners of each service a subscriber asks. Default 2: with one, its failure delays changes until it is
	// noticed.
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
