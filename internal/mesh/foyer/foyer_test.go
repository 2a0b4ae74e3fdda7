package foyer

import (
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"

	"gingerlead"
	"gingerlead/internal/mesh/cue"
	"gingerlead/internal/mesh/curtain"
	"gingerlead/internal/mesh/script"
	"gingerlead/internal/mesh/stagedoor"
)

// What has surely not run is that to the module too, whether or not it was withdrawn, and only a lost link or nobody there blames
// the endpoint: its own sidecar vouches for it.
func TestEveryEndIsToldToTheModule(t *testing.T) {
	c := qt.New(t)
	for k := curtain.Answered; k <= curtain.Broken; k++ {
		for _, quit := range []bool{false, true} {
			st := status(&stagedoor.Outcome{Kind: k, Status: 200}, quit)
			attempt := k < curtain.Quota && k != curtain.Answered || k == curtain.Lost || k == curtain.Spoilt || k == curtain.Silent || k == curtain.Broken
			if attempt {
				c.Check(st.NeverRan(), qt.Equals, k.NotRun(), qt.Commentf("%s, withdrawn %v", k, quit))
			}
			blames := st == gingerlead.Reset || st == gingerlead.ConnectFailed
			if attempt && !quit {
				c.Check(blames, qt.Equals, k.Entry().Blame, qt.Commentf("%s", k))
			}
		}
	}
	c.Assert(status(&stagedoor.Outcome{Kind: curtain.Answered, Status: 500}, false), qt.Equals, gingerlead.Error)
}

func TestOutcomeOfAnAsk(t *testing.T) {
	c := qt.New(t)
	whole := script.Write(nil, &stagedoor.Outcome{Kind: curtain.Leaving})
	for _, x := range []struct {
		body []byte
		err  error
		kind curtain.Kind
	}{
		{whole, nil, curtain.Leaving},
		{nil, nil, curtain.Full},
		{[]byte{0xff}, nil, curtain.Spoilt},
		{nil, &cue.ErrLost{Sent: true}, curtain.Lost},
		{nil, &cue.ErrLost{}, curtain.Unreachable},
		{nil, errors.New("anything else"), curtain.Lost},
	} {
		c.Check(outcome(x.body, x.err).Kind, qt.Equals, x.kind)
	}
}

// The table has a line for every kind; only what has surely not run is promised so, and a promise says when to come back.
func TestTableIsWhole(t *testing.T) {
	c := qt.New(t)
	for k := curtain.Answered; k <= curtain.Broken; k++ {
		e := k.Entry()
		c.Check(e.Name, qt.Not(qt.Equals), "unknown", qt.Commentf("%d", k))
		promises := e.Status == 429 || e.Status == 503 || e.Status == 408 || e.Status == 421
		if promises {
			c.Check(e.NotRun, qt.IsTrue, qt.Commentf("%s", k))
		}
		if e.Status == 429 || e.Status == 503 {
			c.Check(e.Back > 0, qt.IsTrue, qt.Commentf("%s", k))
		}
	}
	c.Assert(curtain.Kind(999).NotRun(), qt.IsFalse)
}
