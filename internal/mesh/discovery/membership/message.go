package membership

import "quincegap/internal/mesh/transport/codec"

// Tombstone reports that an incarnation ended. A heartbeat of the incarnation that is higher than Heartbeat refutes it.
type Tombstone struct {
	Incarnation uint64
	Address     string
	Heartbeat   uint64
}

// Fields implements codec.Message.
func (t *Tombstone) Fields(v *codec.Visitor) {
	v.Fixed64(1, &t.Incarnation)
	v.String(2, &t.Address)
	v.Uint64(3, &t.Heartbeat)
}

// Suspicion reports that the sender can't reach an incarnation. Heartbeat is the highest one of the incarnation that the sender knows.
// Unlike a tombstone, a suspicion removes no member: a receiver that can reach the member asks it to raise its heartbeat above this one.
type Suspicion struct {
	Incarnation uint64
	Address     string
	Heartbeat   uint64
}

// Fields implements codec.Message. The encoding is the same as that of a Tombstone.
func (s *Suspicion) Fields(v *codec.Visitor) { (*Tombstone)(s).Fields(v) }

// Shuffle is a message that carries a part of the sender's view to a peer.
type Shuffle struct {
	From           Member // record of the sender
	Members        []Member
	Tombstones     []Tombstone
	Reply          bool        // the shuffle is the reply to another one, and gets no reply itself
	ConfigVersion  uint64      // version of the configuration applied at the sender; this package only transmits it
	ZoneDigest     uint64      // digest of the members of the sender's zone (View.digests)
	SharedDigest   uint64      // digest of the members that every view must hold (View.digests)
	AgreementAges  []byte      // time since the members of each zone last agreed, by sorted zone, in units of agreementAgeUnit
	Unreachable    []Suspicion // members that the sender can't reach
	RaiseHeartbeat bool        // the receiver must raise its heartbeat, because some process can't reach it
}

// Fields implements codec.Message.
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
