package promptbook

import (
	"testing"

	"gingerlead/internal/mesh/script"

	qt "github.com/frankban/quicktest"
)

func TestWrittenIsRead(t *testing.T) {
	c := qt.New(t)
	mark := Past{7, Sum{1, 2, 31: 3}}
	b := Ballot{3, "a#1"}
	e := Electorate{3, []string{"x", "y"}, []string{"x"}, []string{"z"}}
	word := Word{7, []byte("body"), []Past{{1, Sum{}}, mark}, []Past{mark}, e}
	q, q2 := Request{Accept, b, Ballot{2, "b"}, word, "x", 4, 5}, Request{}
	c.Assert(script.Read(script.Write(nil, &q), &q2), qt.IsNil)
	c.Assert(q2, qt.DeepEquals, q)
	r, r2 := Reply{Nack, b, 5, Lives{"x": 2, "y": 3}, b, Vote{b, word, true}, e, true, true}, Reply{}
	c.Assert(script.Read(script.Write(nil, &r), &r2), qt.IsNil)
	c.Assert(r2, qt.DeepEquals, r)
	s, s2 := Standing{e, true, 2, Lives{"y": 1}, b}, Standing{}
	c.Assert(script.Read(script.Write(nil, &s), &s2), qt.IsNil)
	c.Assert(s2, qt.DeepEquals, s)
}

// A record written before voters could change has the list of the first start.
func TestOldRecord(t *testing.T) {
	c := qt.New(t)
	old := oldStanding{[]string{"x", "y"}, true, 2, Lives{"y": 1}, Ballot{3, "a#1"}}
	var s Standing
	c.Assert(script.Read(script.Write(nil, &old), &s), qt.IsNil)
	c.Assert(s, qt.DeepEquals, Standing{Electorate{Voters: []string{"x", "y"}}, true, 2, Lives{"y": 1}, Ballot{3, "a#1"}})
}

type oldStanding struct {
	voters   []string
	fit      bool
	life     uint64
	lives    Lives
	promised Ballot
}

func (s *oldStanding) Fields(v *script.Visitor) {
	v.Texts(1, &s.voters)
	v.Bool(2, &s.fit)
	v.Uint(3, &s.life)
	s.lives.fields(v)
	v.Message(5, &s.promised)
}
