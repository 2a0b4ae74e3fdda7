package membership

import "quincegap/internal/mesh/transport/codec"

// Tombstone reports that an incarnation ended. It holds until a heartbeat above its own is known.
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

// Suspicion reports that the sender can't reach an incarnation, whose newest heartbeat that it knows it gives. Unlike a tombstone it
// ends nothing: whoever can reach that member has it raise its heartbeat above this one.
type Suspicion struct {
	Incarnation uint64
	Address     string
	Heartbeat   uint64
}

// Fields implements codec.Message, in the form of a Tombstone.
func (s *Suspicion) Fields(v *codec.Visitor) { (*Tombstone)(s).Fields(v) }

// Shuffle is an excerpt of one member's view, for a peer.
type Shuffle struct {
	From           Member
	Members        []Member
	Tombstones     []Tombstone
	Reply          bool   // it answers a shuffle, and isn't answered itself
	ConfigVersion  uint64 // newest configuration that the sender holds; this package only carries it
	ZoneDigest     uint64 // of the members of the sender's zone, see agreement
	SharedDigest   uint64 // of the members that every view is to hold
	AgreementAges  []byte // for each zone in order, how long ago a member there agreed on its members; see agreementAgeUnit
	Unreachable    []Suspicion
	RaiseHeartbeat bool // the receiver is to raise its heartbeat, since somebody can't reach it
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
