package membership

import (
	"cmp"
	"time"
)

// Config holds the settings of a View. A field that is zero has its default.
type Config struct {
	// GossipInterval is the time between two regular shuffles of a process, give or take 15%, while there are updates. The process raises
	// its heartbeat at each. Default 500 ms. A shorter one spreads updates sooner, and raises the traffic in proportion.
	GossipInterval time.Duration

	// QuietGossipInterval is the value that the interval grows to while the view is quiet. Default 1 s. A longer one saves traffic, but the
	// failure of a member whose connections all broke at once is noticed later.
	QuietGossipInterval time.Duration

	// QuietAfter is how long there must have been no update and no disagreement before a view counts as quiet. Default 3 s. It must be
	// longer than an update takes to reach all members, since quiet views send no members even if they still differ. A longer one
	// prolongs the traffic of full shuffles after each update.
	QuietAfter time.Duration

	// ReconnectInterval is the time between two attempts to reach a seed or any departed member, however long ago it departed. Default 5 s.
	// It grows with the gossip interval while the view is quiet. It bounds how long two partitions stay apart that can reach each other
	// again.
	ReconnectInterval time.Duration

	// RecentReconnectInterval is the time between two attempts to reach a member that departed within RecentReconnectWindow. Default 1 s.
	// During a partition each attempt costs a connection that fails.
	RecentReconnectInterval time.Duration

	// RecentReconnectWindow is how long after its departure RecentReconnectInterval applies to a member. Default 2 min. After that only
	// ReconnectInterval does.
	RecentReconnectWindow time.Duration

	// SuspicionTimeout is the age of a heartbeat at which its member is suspected. Default 6 s. For members to which RemoteFailureTimeout
	// applies it is longer in the same ratio. Each regular shuffle also goes to one suspected member.
	SuspicionTimeout time.Duration

	// FailureTimeout is the age of a heartbeat at which its member departs. Default 10 s. It detects failures that break no connection.
	// With a shorter one slow members depart; with a longer one members that ended stay in the view.
	FailureTimeout time.Duration

	// RemoteFailureTimeout replaces FailureTimeout for members of other zones if the view is large, or once any peer's digests have been
	// equal to the own ones: heartbeats of such members take longer to arrive then, and members of their own zone report those that ended.
	// Default six times FailureTimeout.
	RemoteFailureTimeout time.Duration

	// DisconnectGrace is the time from a broken connection until the member departs, unless its heartbeat advances. Default 2 s, which is
	// enough for other members to contact it. With a shorter one more broken connections are mistaken for the end of a process.
	DisconnectGrace time.Duration

	// FreezeThreshold is the time between two calls of Tick above which this process is assumed to have been frozen, so that the age of a
	// heartbeat doesn't mean that its member has failed. Default 3 s. It must be well above the regular time between calls, and below
	// SuspicionTimeout.
	FreezeThreshold time.Duration

	// MaxLocalMembers bounds the number of sidecars of the own zone in a view. Default 256.
	MaxLocalMembers int

	// MaxMembersPerRemoteZone bounds the number of sidecars of each other zone in a view, and the number of members of each zone that can
	// be registry owners. Default 32. It must be the same in all processes, as they would choose different owners otherwise.
	MaxMembersPerRemoteZone int

	// MaxCoreMembers bounds the number of core members in a view, of all zones together. Default 64.
	MaxCoreMembers int

	// MaxMembersPerShuffle bounds the number of members in a shuffle. Default 40. A view with more than twice as many members is large, and
	// is sent mostly within its zone.
	MaxMembersPerShuffle int

	// MaxTombstonesPerShuffle bounds the number of tombstones in a shuffle, and that of unreachable members. Default 16.
	MaxTombstonesPerShuffle int

	// MaxTombstones bounds the number of tombstones that are remembered, and that of addresses of departed members. Default 256.
	MaxTombstones int

	// MonitoredPeers is the number of peers that a process shuffles with in turn while the view is quiet, so that connections to them are
	// kept: that many of its zone, and that many of the eligible registry owners. Default 3. At least that many processes notice when a
	// member ends.
	MonitoredPeers int

	// BootstrapThreshold is the number of other members below which each regular shuffle also goes to a seed. Default 4.
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
