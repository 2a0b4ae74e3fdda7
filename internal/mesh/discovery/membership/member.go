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
	Access Role = iota // a sidecar beside an endpoint
	Core               // holds the configuration
)

// Member is one life of one process.
type Member struct {
	Life      uint64 // random, new at each start
	Address   string // ip:port where its peers reach it
	Zone      string
	Region    string
	Role      Role
	Service   string // of the endpoint beside it
	App       string // that endpoint's address
	Heartbeat uint64 // its own counter, which it raises at each pace
	Seed      bool
	Age       time.Duration // how long ago its heartbeat was new, as far as the sender knows
}

// Fields names them.
func (m *Member) Fields(v *codec.Visitor) {
	v.Fixed(1, &m.Life)
	v.Text(2, &m.Address)
	v.Text(3, &m.Zone)
	v.Text(4, &m.Region)
	role := uint64(m.Role)
	v.Uint(5, &role)
	m.Role = Role(role)
	v.Text(6, &m.Service)
	v.Text(7, &m.App)
	v.Uint(8, &m.Heartbeat)
	v.Bool(9, &m.Seed)
	age := uint64((max(m.Age, 0) + time.Millisecond - 1) / time.Millisecond)
	v.Uint(10, &age)
	if v.Reading() {
		m.Age = time.Duration(min(age, uint64(time.Hour/time.Millisecond))) * time.Millisecond
	}
}

// alike reports whether two records of a life say the same, but for what is newer.
func alike(a, b Member) bool {
	a.Heartbeat, a.Age = b.Heartbeat, b.Age
	return a == b
}

// Gone reports that a life ended; it holds while no heartbeat above this one is known.
type Gone struct {
	Life      uint64
	Address   string
	Heartbeat uint64
}

// Fields names them.
func (g *Gone) Fields(v *codec.Visitor) {
	v.Fixed(1, &g.Life)
	v.Text(2, &g.Address)
	v.Uint(3, &g.Heartbeat)
}

// Shuffle is a part of one member's view, for a neighbour.
type Shuffle struct {
	From    Member
	Members []Member
	Gone    []Gone
	Reply   bool
	Version uint64 // newest configuration that the sender holds; this package only carries it
	Own     uint64 // digest of the sender's zone
	All     uint64 // and of those that every view is to hold
	Ages    []byte // for each zone in order, how long ago a member there agreed on its members, in halves of a second
	Doubts  []Gone // lives that the sender can't reach; a receiver that can has them raise their heartbeats
	Anew    bool   // the receiver raises its heartbeat
}

// Fields names them.
func (s *Shuffle) Fields(v *codec.Visitor) {
	v.Message(1, &s.From)
	codec.Messages(v, 2, &s.Members)
	codec.Messages(v, 3, &s.Gone)
	v.Bool(4, &s.Reply)
	v.Uint(5, &s.Version)
	v.Fixed(6, &s.Own)
	v.Fixed(7, &s.All)
	v.Bytes(8, &s.Ages)
	codec.Messages(v, 9, &s.Doubts)
	v.Bool(10, &s.Anew)
}

// Bounds are the settings; what is zero has its default.
type Bounds struct {
	Pace      time.Duration // between two shuffles that are begun here
	Slow      time.Duration // the same when there has been no news for long and neighbours agree
	Settle    time.Duration // without news, until shuffles carry no more than digests
	Far       time.Duration // between two tries of a seed or of one that was dropped, however long ago
	Rejoin    time.Duration // the same of one that was dropped within RejoinFor
	RejoinFor time.Duration
	Suspect   time.Duration // age of a heartbeat from which its member is suspected,
	Drop      time.Duration // and dropped, if it is of the own zone or there are few others;
	DropFar   time.Duration // when there are many or it is quiet, news of other zones takes longer, and their own members tell who is gone
	Grace     time.Duration // from a broken connection until the member is dropped, unless its heartbeat advances
	Wake      time.Duration // a call of Tick that comes so late means that this process was frozen
	Own       int           // members kept of the own zone,
	Other     int           // of each other zone,
	Cores     int           // and core members
	Carry     int           // members in a shuffle
	Told      int           // Gone in a shuffle
	Dead      int           // lives remembered as ended
	Watch     int           // members that this one keeps a connection to, in its zone and once more among all
	Small     int           // fewer others than this: seeds are asked at each pace
}

// Filled are the bounds with their defaults.
func (b Bounds) Filled() Bounds {
	fill(&b.Pace, 500*time.Millisecond)
	fill(&b.Slow, time.Second)
	fill(&b.Settle, 3*time.Second)
	fill(&b.Far, 5*time.Second)
	fill(&b.Rejoin, time.Second)
	fill(&b.RejoinFor, 2*time.Minute)
	fill(&b.Suspect, 6*time.Second)
	fill(&b.Drop, 10*time.Second)
	fill(&b.DropFar, 6*b.Drop)
	fill(&b.Grace, 2*time.Second)
	fill(&b.Wake, 3*time.Second)
	fill(&b.Own, 256)
	fill(&b.Other, 32)
	fill(&b.Cores, 64)
	fill(&b.Carry, 40)
	fill(&b.Told, 16)
	fill(&b.Dead, 256)
	fill(&b.Watch, 3)
	fill(&b.Small, 4)
	return b
}

func fill[T comparable](x *T, to T) {
	var zero T
	if *x == zero {
		*x = to
	}
}
