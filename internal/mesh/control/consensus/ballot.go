package consensus

import (
	"cmp"

	"quincegap/internal/mesh/transport/codec"
)

// Ballot identifies and orders the rounds of all proposers (the proposal number of Paxos). No two rounds have the same
// ballot: Proposer names a process and its incarnation, and Number grows within that incarnation. The zero Ballot is below
// all others and is never used by a round.
type Ballot struct {
	Number   uint64
	Proposer string
}

// Compare returns -1, 0 or 1 if b is lower than, equal to, or higher than other.
func (b Ballot) Compare(other Ballot) int {
	return cmp.Or(cmp.Compare(b.Number, other.Number), cmp.Compare(b.Proposer, other.Proposer))
}

// Fields implements codec.Message.
func (b *Ballot) Fields(visitor *codec.Visitor) {
	visitor.Uint64(1, &b.Number)
	visitor.String(2, &b.Proposer)
}
