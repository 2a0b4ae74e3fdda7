package membership

import "quincegap/internal/mesh/transport/codec"

// Tombstone reports that an incarnation ended. It is refuted by a heartbeat of the incarnation above the tombstone's.
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

// Suspicion reports that the sender can't reach an incarnation, and the newest heartbeat of it that the sender knows. Unlike a tombstone
// it removes no member: a receiver that can reach the member asks it to raise its heartbeat above this one.
type Suspicion struct {
	Incarnation uint64
	Address     string
	Heartbeat   uint64
}

// Fields implements codec.Message. The fields are those of a Tombstone.
func (s *Suspicion) Fields(v *codec.Visitor) { (*Tombstone)(s).Fields(v) }

// Shuffle is a part of one member's view, for a peer.
type Shuffle struct {
	From           Member // the sender
	Members        []Member
	Tombstones     []Tombstone
	Reply          bool        // the shuffle answers another one, and isn't answered itself
	ConfigVersion  uint64      // of the configuration that is applied at the sender; this package only carries it
	ZoneDigest     uint64      // of the members of the sender's zone (View.digests)
	SharedDigest   uint64      // of the members that every view is to hold (View.digests)
	AgreementAges  []byte      // for each zone, sorted: how long ago its members last agreed, in units of agreementAgeUnit
	Unreachable    []Suspicion // members that the sender can't reach
	RaiseHeartbeat bool        // the receiver is to raise its heartbeat, as some process can't reach it
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
