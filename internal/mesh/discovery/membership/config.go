package membership

import (
	"cmp"
	"time"
)

// Config holds the settings of a View. A zero field stands for its default.
type Config struct {
	// GossipInterval is the time between two regular shuffles of a process while there are updates, with a random jitter of 15%. The
	// process raises its heartbeat at each regular shuffle. Default 500 ms. A shorter interval spreads updates sooner, and raises the
	// traffic in proportion.
	GossipInterval time.Duration

	// QuietGossipInterval is the maximum of the gossip interval, which grows while the view is quiet. Default 1 s. A longer interval saves
	// traffic, but delays the detection of a failed member whose connections all broke at the same time.
	QuietGossipInterval time.Duration

	// QuietAfter is the time without any update or disagreement after which a view counts as quiet. Default 3 s. It must be longer than an
	// update takes to reach all members, because quiet views send no members even if they still differ. A longer time prolongs the traffic
	// of full shuffles after each update.
	QuietAfter time.Duration

	// ReconnectInterval is the time between two attempts to reach a seed or any departed member, however long ago it departed. Default 5 s.
	// It grows with the gossip interval while the view is quiet. After a network partition ends, it bounds the time until the separated
	// processes find each other.
	ReconnectInterval time.Duration

	// RecentReconnectInterval is the time between two attempts to reach a member that departed within RecentReconnectWindow. Default 1 s.
	// During a partition each attempt costs one failed connection.
	RecentReconnectInterval time.Duration

	// RecentReconnectWindow is the time after a member's departure during which RecentReconnectInterval applies to it. Default 2 min.
	// After that, only ReconnectInterval applies.
	RecentReconnectWindow time.Duration

	// SuspicionTimeout is the age of a heartbeat at which its member becomes suspected. Default 6 s. For members to which
	// RemoteFailureTimeout applies, it is scaled by RemoteFailureTimeout/FailureTimeout. Each regular shuffle also goes to one suspected
	// member.
	SuspicionTimeout time.Duration

	// FailureTimeout is the age of a heartbeat at which its member departs. Default 10 s. It detects failures that break no connection.
	// A shorter timeout removes slow members; a longer one delays the removal of ended members from the view.
	FailureTimeout time.Duration

	// RemoteFailureTimeout replaces FailureTimeout for members of other zones if the view is large, or once a peer has had the same digests
	// as this process: heartbeats of such members then take longer to arrive, and members of their own zone report those that ended.
	// Default six times FailureTimeout.
	RemoteFailureTimeout time.Duration

	// DisconnectGrace is the time from a broken connection until the member departs, unless its heartbeat advances. Default 2 s, which is
	// enough for other members to contact it. With a shorter time, more broken connections are mistaken for the end of a process.
	DisconnectGrace time.Duration

	// FreezeThreshold is the time between two calls of Tick above which this process is assumed to have been frozen. An old heartbeat then
	// doesn't mean that its member has failed. Default 3 s. It must be well above the regular time between calls, and below
	// SuspicionTimeout.
	FreezeThreshold time.Duration

	// MaxLocalMembers bounds the number of sidecars of this process's zone in a view. Default 256.
	MaxLocalMembers int

	// MaxMembersPerRemoteZone bounds the number of sidecars of each other zone in a view, and the number of members of each zone that can
	// be registry owners. Default 32. It must be the same in all processes; otherwise they would choose different owners.
	MaxMembersPerRemoteZone int

	// MaxCoreMembers bounds the number of core members in a view, of all zones together. Default 64.
	MaxCoreMembers int

	// MaxMembersPerShuffle bounds the number of members in a shuffle. Default 40. A view counts as large if it has more than twice as many
	// members; a view with more members than this is sent mostly within its zone.
	MaxMembersPerShuffle int

	// MaxTombstonesPerShuffle bounds the number of tombstones in a shuffle, and separately the number of unreachable members. Default 16.
	MaxTombstonesPerShuffle int

	// MaxTombstones bounds the number of retained tombstones, and separately the number of retained addresses of departed members.
	// Default 256.
	MaxTombstones int

	// MonitoredPeers is the number of peers in the process's zone that the process monitors while the view is quiet. It monitors the same
	// number of eligible registry owners. It shuffles with the monitored peers in turn, which keeps the connections to them open.
	// Default 3. At least that many processes notice when a member ends.
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
