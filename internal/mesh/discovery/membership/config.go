package membership

import (
	"cmp"
	"time"
)

// Config holds the settings of a View. A field that is zero has its default.
type Config struct {
	// GossipInterval is the time between two shuffles that a process begins by itself, give or take 15%, while there are updates; it raises
	// its heartbeat at each. Default 500 ms. A shorter one spreads updates sooner, at as much more traffic.
	GossipInterval time.Duration

	// QuietGossipInterval is what the interval grows to while the view is quiet. Default 1 s. A longer one saves traffic, but a member
	// whose connections all broke at once is missed later.
	QuietGossipInterval time.Duration

	// QuietAfter is how long there must have been no update and no disagreement until a view is quiet. Default 3 s. It is to be longer
	// than an update takes to reach all members: shorter, and views that still differ send no members; longer, and full shuffles go on.
	QuietAfter time.Duration

	// ReconnectInterval is the time between two attempts to reach a seed or any departed member, however long ago it departed. Default 5 s;
	// longer while the view is quiet, as gossip is. It bounds how long two partitions that can reach each other again stay apart.
	ReconnectInterval time.Duration

	// RecentReconnectInterval is the same for members that departed within RecentReconnectWindow. Default 1 s. Each attempt during a
	// partition costs one connection that fails.
	RecentReconnectInterval time.Duration

	// RecentReconnectWindow is how long a departed member is a recent one. Default 2 min; after it ReconnectInterval applies.
	RecentReconnectWindow time.Duration

	// SuspicionTimeout is the age of a heartbeat from which its member is suspected; it scales with RemoteFailureTimeout for members to
	// which that applies. Default 6 s. Suspected members are asked in turns of their own.
	SuspicionTimeout time.Duration

	// FailureTimeout is the age of a heartbeat from which its member departs. Default 10 s. It is the backstop where no connection breaks: a
	// shorter one has slow members depart, a longer one keeps members that ended.
	FailureTimeout time.Duration

	// RemoteFailureTimeout replaces FailureTimeout for members of other zones, in a large view and once any peer's digests agreed with the
	// own ones: updates of them take longer then, and their own zone reports who ended. Default six times FailureTimeout.
	RemoteFailureTimeout time.Duration

	// DisconnectGrace is the time from a broken connection until the member departs, unless its heartbeat advances. Default 2 s, enough for
	// other members to ask it. A shorter one takes a broken connection for the end of a process more often.
	DisconnectGrace time.Duration

	// FreezeThreshold is a time between two calls of Tick that means that this process was frozen, so that old heartbeats say nothing of
	// their members. Default 3 s. It must be well above the time between calls and below SuspicionTimeout.
	FreezeThreshold time.Duration

	// MaxLocalMembers bounds the sidecars that are kept of the own zone. Default 256.
	MaxLocalMembers int

	// MaxMembersPerRemoteZone bounds the sidecars that are kept of each other zone; only these can be registry owners. It must be the same in
	// all processes, as it decides who the owners are. Default 32.
	MaxMembersPerRemoteZone int

	// MaxCoreMembers bounds the core members that are kept, of whatever zone. Default 64.
	MaxCoreMembers int

	// MaxMembersPerShuffle bounds the members in a shuffle. Default 40. A view of more than twice as many is large: gossip stays mostly
	// within its zone.
	MaxMembersPerShuffle int

	// MaxTombstonesPerShuffle bounds the tombstones in a shuffle, and the unreachable members in it. Default 16.
	MaxTombstonesPerShuffle int

	// MaxTombstones bounds the tombstones that are remembered, and the addresses of departed members. Default 256.
	MaxTombstones int

	// MonitoredPeers is how many peers a process shuffles with in turn while the view is quiet, so that connections to them are kept: so
	// many of its zone and once more so many among all. Default 3. At least as many processes notice when one ends.
	MonitoredPeers int

	// BootstrapThreshold is the number of other members below which a seed is asked with each shuffle. Default 4.
	BootstrapThreshold int
}

// WithDefaults returns the settings with each zero field replaced by its default.
func (c Config) WithDefaults() Config {
	c.GossipInterval = cmp.Or(c.GossipInterval, 500*time.Millisecond)
	c.QuietGossipInterval = cmp.Or(c.QuietGossipInterval, time.Second)
	c.QuietAfter = cmp.Or(c.QuietAfter, 3*time.Second)
	c.ReconnectInterval = cmp.Or(c.ReconnectInterval, 5*time.Second)
	c.RecentReconnectInterval = cmp.Or(c.RecentReconnectInterval, time.Second)
	c.RecentReconnectWindow = cmp.Or(c.RecentReconnectWindow, 2*time.Minute)
	c.SuspicionTimeout = cmp.Or(c.SuspicionTimeout, 6*time.Second)
	c.FailureTimeout = cmp.Or(c.FailureTimeout, 10*time.Second)
	c.RemoteFailureTimeout = cmp.Or(c.RemoteFailureTimeout, 6*c.FailureTimeout)
	c.DisconnectGrace = cmp.Or(c.DisconnectGrace, 2*time.Second)
	c.FreezeThreshold = cmp.Or(c.FreezeThreshold, 3*time.Second)
	c.MaxLocalMembers = cmp.Or(c.MaxLocalMembers, 256)
	c.MaxMembersPerRemoteZone = cmp.Or(c.MaxMembersPerRemoteZone, 32)
	c.MaxCoreMembers = cmp.Or(c.MaxCoreMembers, 64)
	c.MaxMembersPerShuffle = cmp.Or(c.MaxMembersPerShuffle, 40)
	c.MaxTombstonesPerShuffle = cmp.Or(c.MaxTombstonesPerShuffle, 16)
	c.MaxTombstones = cmp.Or(c.MaxTombstones, 256)
	c.MonitoredPeers = cmp.Or(c.MonitoredPeers, 3)
	c.BootstrapThreshold = cmp.Or(c.BootstrapThreshold, 4)
	return c
}
