package consensus

import "quincegap/internal/mesh/transport/codec"

// Vote is a value that was accepted under a ballot. A Learned vote was not accepted by the voter that holds it: the voter
// lost its disk, or is new, and read the vote from other voters. A proposer must respect a learned vote as it does any other,
// but a learned vote does not count towards a majority for its ballot.
type Vote struct {
	Ballot  Ballot
	Value   Value
	Learned bool
}

// Fields implements codec.Message.
func (v *Vote) Fields(visitor *codec.Visitor) {
	visitor.Message(1, &v.Ballot)
	visitor.Message(2, &v.Value)
	visitor.Bool(3, &v.Learned)
}
