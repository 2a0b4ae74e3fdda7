package consensus

import (
	"cmp"

	"quincegap/internal/mesh/transport/codec"
)

// Ballot orders attempts (the proposal number of Paxos). No two attempts have the same one: Proposer names a process and
// its incarnation, and Number grows within that incarnation. The zero Ballot is below all others and is never used.
type Ballot struct {
	Number   uint64
	Proposer string
}

// Compare returns -1, 0 or 1 as b is lower than, the same as, or higher than other.
func (b Ballot) Compare(other Ballot) int {
	return cmp.Or(cmp.Compare(b.Number, other.Number), cmp.Compare(b.Proposer, other.Proposer))
}

// Fields implements codec.Message.
func (b *Ballot) Fields(visitor *codec.Visitor) {
	visitor.Uint64(1, &b.Number)
	visitor.String(2, &b.Proposer)
}
