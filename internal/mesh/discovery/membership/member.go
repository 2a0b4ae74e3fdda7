// Package membership is the view that each process keeps of the others: partial in large systems, and shuffled with neighbours.
// It does no I/O; time, randomness and messages are arguments, and time is that of a steady clock with any start.
package membership

import (
	"time"

	"quincegap/internal/mesh/transport/codec"
)

// Role is what a member does.
type Role uint8

// The roles.
const (
	RoleAccess Role = iota // a sidecar beside an endpoint
	RoleCore               // holds the configuration
)

// Member is one life of one process.
type Member struct {
	Incarnation  uint64 // random, new at each start
	Address      string // ip:port where its peers reach it
	Zone         string
	Region       string
	Role         Role
	Service      string // of the endpoint beside it
	AppAddress   string // that endpoint's address
	Heartbeat    uint64 // its own counter, which it raises at each pace
	Seed         bool
	HeartbeatAge time.Duration // how long ago its heartbeat was new, as far as the sender knows
}

// Fields names them.
func (m *Member) Fields(v *codec.Visitor) {
	v.Fixed64(1, &m.Incarnation)
	v.String(2, &m.Address)
	v.String(3, &m.Zone)
	v.String(4, &m.Region)
	role := uint64(m.Role)
	v.Uint64(5, &role)
	m.Role = Role(role)
	v.String(6, &m.Service)
	v.String(7, &m.AppAddress)
	v.Uint64(8, &m.Heartbeat)
	v.Bool(9, &m.Seed)
	age := uint64((max(m.HeartbeatAge, 0) + time.Millisecond - 1) / time.Millisecond)
	v.Uint64(10, &age)
	if v.Reading() {
		m.HeartbeatAge = time.Duration(min(age, uint64(time.Hour/time.Millisecond))) * time.Millisecond
	}
}

// sameRecord reports whether two records of a life say the same, but for what is newer.
func sameRecord(a, b Member) bool {
	a.Heartbeat, a.HeartbeatAge = b.Heartbeat, b.HeartbeatAge
	return a == b
}

// Tombstones reports that a life ended; it holds while no heartbeat above this one is known.
type Tombstone struct {
	Incarnation uint64
	Address     string
	Heartbeat   uint64
}

// Fields names them.
func (t *Tombstone) Fields(v *codec.Visitor) {
	v.Fixed64(1, &t.Incarnation)
	v.String(2, &t.Address)
	v.Uint64(3, &t.Heartbeat)
}

// Shuffle is a part of one member's view, for a neighbour.
type Shuffle struct {
	From           Member
	Members        []Member
	Tombstones     []Tombstone
	Reply          bool
	ConfigVersion  uint64      // newest configuration that the sender holds; this package only carries it
	ZoneDigest     uint64      // digest of the sender's zone
	SharedDigest   uint64      // and of those that every view is to hold
	AgreementAges  []byte      // for each zone in order, how long ago a member there agreed on its members, in halves of a second
	Unreachable    []Tombstone // lives that the sender can't reach; a receiver that can has them raise their heartbeats
	RaiseHeartbeat bool        // the receiver raises its heartbeat
}

// Fields names them.
func (s *Shuffle) Fields(v *codec.Visitor) {
	v.Message(1, &s.From)
	codec.Messages(v, 2, &s.Members)
	codec.Messages(v, 3, &s.Tombstones)
	v.Bool(4, &s.Reply)
	v.Uint64(5, &s.ConfigVersion)
	v.Fixed64(6, &s.ZoneDigest)
	v.Fixed64(7, &s.SharedDigest)
	v.Bytes(8, &s.AgreementAges)
	codec.Messages(v, 9, &s.Unreachable)
	v.Bool(10, &s.RaiseHeartbeat)
}

// Config are the settings; what is zero has its default.
type Config struct {
	GossipInterval          time.Duration // between two shuffles that are begun here
	QuietGossipInterval     time.Duration // the same when there has been no news for long and neighbours agree
	QuietAfter              time.Duration // without news, until shuffles carry no more than digests
	ReconnectInterval       time.Duration // between two tries of a seed or of one that was dropped, however long ago
	RecentReconnectInterval time.Duration // the same of one that was dropped within RecentReconnectWindow
	RecentReconnectWindow   time.Duration
	SuspicionTimeout        time.Duration // age of a heartbeat from which its member is suspected,
	FailureTimeout          time.Duration // and dropped, if it is of the own zone or there are few others;
	RemoteFailureTimeout    time.Duration // when there are many or it is quiet, news of other zones takes longer, and their own members tell who is gone
	DisconnectGrace         time.Duration // from a broken connection until the member is dropped, unless its heartbeat advances
	FreezeThreshold         time.Duration // a call of Tick that comes so late means that this process was frozen
	MaxLocalMembers         int           // members kept of the own zone,
	MaxMembersPerRemoteZone int           // of each other zone,
	MaxCoreMembers          int           // and core members
	MaxMembersPerShuffle    int           // members in a shuffle
	MaxTombstonesPerShuffle int           // Gone in a shuffle
	MaxTombstones           int           // lives remembered as ended
	MonitoredPeers          int           // members that this one keeps a connection to, in its zone and once more among all
	BootstrapThreshold      int           // fewer others than this: seeds are asked at each pace
}

// WithDefaults are the bounds with their defaults.
func (c Config) WithDefaults() Config {
	setDefault(&c.GossipInterval, 500*time.Millisecond)
	setDefault(&c.QuietGossipInterval, time.Second)
	setDefault(&c.QuietAfter, 3*time.Second)
	setDefault(&c.ReconnectInterval, 5*time.Second)
	setDefault(&c.RecentReconnectInterval, time.Second)
	setDefault(&c.RecentReconnectWindow, 2*time.Minute)
	setDefault(&c.SuspicionTimeout, 6*time.Second)
	setDefault(&c.FailureTimeout, 10*time.Second)
	setDefault(&c.RemoteFailureTimeout, 6*c.FailureTimeout)
	setDefault(&c.DisconnectGrace, 2*time.Second)
	setDefault(&c.FreezeThreshold, 3*time.Second)
	setDefault(&c.MaxLocalMembers, 256)
	setDefault(&c.MaxMembersPerRemoteZone, 32)
	setDefault(&c.MaxCoreMembers, 64)
	setDefault(&c.MaxMembersPerShuffle, 40)
	setDefault(&c.MaxTombstonesPerShuffle, 16)
	setDefault(&c.MaxTombstones, 256)
	setDefault(&c.MonitoredPeers, 3)
	setDefault(&c.BootstrapThreshold, 4)
	return c
}

func setDefault[T comparable](x *T, to T) {
	var zero T
	if *x == zero {
		*x = to
	}
}
