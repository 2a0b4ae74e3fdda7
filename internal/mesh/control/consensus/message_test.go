package consensus

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"quincegap/internal/mesh/transport/codec"
)

// Decoding an encoded message restores every field. The literals have no field names, so that the test does not compile until
// it sets a new field.
func TestMessagesAreDecoded(t *testing.T) {
	c := qt.New(t)
	entry := VersionDigest{7, Digest{1, 2, 7: 3}}
	ballot := Ballot{3, "a#1"}
	voters := VoterSet{3, []string{"x", "y"}, []string{"x"}, []string{"z"}}
	value := Value{7, []byte("body"), []VersionDigest{{2, Digest{}}, entry}, 1, []VersionDigest{entry}, voters}

	request := Request{Accept, ballot, Ballot{2, "b"}, value, "x", 4, 5, voters, 6, "y"}
	var decodedRequest Request
	c.Assert(codec.Unmarshal(codec.MarshalAppend(nil, &request), &decodedRequest), qt.IsNil)
	c.Assert(decodedRequest, qt.DeepEquals, request)

	incarnations := DiskIncarnations{"x": 2, "y": 3}
	reply := Reply{Rejected, ballot, 5, incarnations, ballot, Vote{ballot, value, true}, voters, true, true, 7, []string{"w"}}
	var decodedReply Reply
	c.Assert(codec.Unmarshal(codec.MarshalAppend(nil, &reply), &decodedReply), qt.IsNil)
	c.Assert(decodedReply, qt.DeepEquals, reply)

	state := ReplicaState{voters, true, 2, DiskIncarnations{"y": 1}, ballot, 8}
	var decodedState ReplicaState
	c.Assert(codec.Unmarshal(codec.MarshalAppend(nil, &state), &decodedState), qt.IsNil)
	c.Assert(decodedState, qt.DeepEquals, state)
}

// A record from a release whose voters could not change is decoded with the voter set of the first start.
func TestOldRecord(t *testing.T) {
	c := qt.New(t)
	old := legacyReplicaState{[]string{"x", "y"}, true, 2, DiskIncarnations{"y": 1}, Ballot{3, "a#1"}}
	var state ReplicaState
	c.Assert(codec.Unmarshal(codec.MarshalAppend(nil, &old), &state), qt.IsNil)
	c.Assert(state, qt.DeepEquals, ReplicaState{VoterSet{Voters: []string{"x", "y"}}, true, 2, DiskIncarnations{"y": 1}, Ballot{3, "a#1"}, 0})
}

// legacyReplicaState is a ReplicaState in the format of releases whose voters could not change.
type legacyReplicaState struct {
	voters           []string
	ready            bool
	diskIncarnation  uint64
	diskIncarnations DiskIncarnations
	promised         Ballot
}

func (l *legacyReplicaState) Fields(visitor *codec.Visitor) {
	visitor.Strings(1, &l.voters)
	visitor.Bool(2, &l.ready)
	visitor.Uint64(3, &l.diskIncarnation)
	l.diskIncarnations.fields(visitor) // field 4
	visitor.Message(5, &l.promised)
}
