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
	word := Word{7, []byte("body"), []Past{{1, Sum{}}, mark}, []Past{mark}}
	q, q2 := Request{Accept, b, Ballot{2, "b"}, word, "x", 4}, Request{}
	c.Assert(script.Read(script.Write(nil, &q), &q2), qt.IsNil)
	c.Assert(q2, qt.DeepEquals, q)
	r, r2 := Reply{Nack, b, 5, Lives{"x": 2, "y": 3}, b, Vote{b, word, true}, []string{"x", "y"}}, Reply{}
	c.Assert(script.Read(script.Write(nil, &r), &r2), qt.IsNil)
	c.Assert(r2, qt.DeepEquals, r)
	s, s2 := Standing{[]string{"x", "y"}, true, 2, Lives{"y": 1}, b}, Standing{}
	c.Assert(script.Read(script.Write(nil, &s), &s2), qt.IsNil)
	c.Assert(s2, qt.DeepEquals, s)
}
