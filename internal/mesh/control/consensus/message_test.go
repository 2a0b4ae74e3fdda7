package consensus

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"quincegap/internal/mesh/transport/codec"
)

func TestMessagesAreDecoded(t *testing.T) {
	c := qt.New(t)
	entry := VersionDigest{7, Digest{1, 2, 7: 3}}
	ballot := Ballot{3, "a#1"}
	voters := VoterSet{3, []string{"x", "y"}, []string{"x"}, []string{"z"}}
	value := Value{7, []byte("body"), []VersionDigest{{2, Digest{}}, entry}, 1, []VersionDigest{entry}, voters}
	request, requestRead := Request{Accept, ballot, Ballot{2, "b"}, value, "x", 4, 5, voters, 6, "y"}, Request{}
	c.Assert(codec.Unmarshal(codec.MarshalAppend(nil, &request), &requestRead), qt.IsNil)
	c.Assert(requestRead, qt.DeepEquals, request)
	reply, replyRead := Reply{Rejected, ballot, 5, DiskIncarnations{"x": 2, "y": 3}, ballot, Vote{ballot, value, true}, voters, true, true, 7, []string{"w"}}, Reply{}
	c.Assert(codec.Unmarshal(codec.MarshalAppend(nil, &reply), &replyRead), qt.IsNil)
	c.Assert(replyRead, qt.DeepEquals, reply)
	state, stateRead := ReplicaState{voters, true, 2, DiskIncarnations{"y": 1}, ballot, 8}, ReplicaState{}
	c.Assert(codec.Unmarshal(codec.MarshalAppend(nil, &state), &stateRead), qt.IsNil)
	c.Assert(stateRead, qt.DeepEquals, state)
}

// A record written before voters could change has the voter set of the first start.
func TestOldRecord(t *testing.T) {
	c := qt.New(t)
	old := legacyReplicaState{[]string{"x", "y"}, true, 2, DiskIncarnations{"y": 1}, Ballot{3, "a#1"}}
	var state ReplicaState
	c.Assert(codec.Unmarshal(codec.MarshalAppend(nil, &old), &state), qt.IsNil)
	c.Assert(state, qt.DeepEquals, ReplicaState{VoterSet{Voters: []string{"x", "y"}}, true, 2, DiskIncarnations{"y": 1}, Ballot{3, "a#1"}, 0})
}

type legacyReplicaState struct {
	voters           []string
	ready            bool
	diskIncarnation  uint64
	diskIncarnations DiskIncarnations
	promised         Ballot
}

func (o *legacyReplicaState) Fields(visitor *codec.Visitor) {
	visitor.Strings(1, &o.voters)
	visitor.Bool(2, &o.ready)
	visitor.Uint64(3, &o.diskIncarnation)
	o.diskIncarnations.fields(visitor)
	visitor.Message(5, &o.promised)
}
