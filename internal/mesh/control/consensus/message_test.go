package consensus

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"quincegap/internal/mesh/transport/codec"
)

func TestWrittenIsRead(t *testing.T) {
	c := qt.New(t)
	mark := VersionDigest{7, Digest{1, 2, 7: 3}}
	b := Ballot{3, "a#1"}
	e := VoterSet{3, []string{"x", "y"}, []string{"x"}, []string{"z"}}
	value := Value{7, []byte("body"), []VersionDigest{{2, Digest{}}, mark}, 1, []VersionDigest{mark}, e}
	q, q2 := Request{Accept, b, Ballot{2, "b"}, value, "x", 4, 5, e, 6, "y"}, Request{}
	c.Assert(codec.Unmarshal(codec.MarshalAppend(nil, &q), &q2), qt.IsNil)
	c.Assert(q2, qt.DeepEquals, q)
	r, r2 := Reply{Rejected, b, 5, DiskIncarnations{"x": 2, "y": 3}, b, Vote{b, value, true}, e, true, true, 7, []string{"w"}}, Reply{}
	c.Assert(codec.Unmarshal(codec.MarshalAppend(nil, &r), &r2), qt.IsNil)
	c.Assert(r2, qt.DeepEquals, r)
	s, s2 := ReplicaState{e, true, 2, DiskIncarnations{"y": 1}, b, 8}, ReplicaState{}
	c.Assert(codec.Unmarshal(codec.MarshalAppend(nil, &s), &s2), qt.IsNil)
	c.Assert(s2, qt.DeepEquals, s)
}

// A record written before voters could change has the list of the first start.
func TestOldRecord(t *testing.T) {
	c := qt.New(t)
	old := oldStanding{[]string{"x", "y"}, true, 2, DiskIncarnations{"y": 1}, Ballot{3, "a#1"}}
	var s ReplicaState
	c.Assert(codec.Unmarshal(codec.MarshalAppend(nil, &old), &s), qt.IsNil)
	c.Assert(s, qt.DeepEquals, ReplicaState{VoterSet{Voters: []string{"x", "y"}}, true, 2, DiskIncarnations{"y": 1}, Ballot{3, "a#1"}, 0})
}

type oldStanding struct {
	voters   []string
	fit      bool
	life     uint64
	lives    DiskIncarnations
	promised Ballot
}

func (o *oldStanding) Fields(v *codec.Visitor) {
	v.Strings(1, &o.voters)
	v.Bool(2, &o.fit)
	v.Uint64(3, &o.life)
	o.lives.fields(v)
	v.Message(5, &o.promised)
}
