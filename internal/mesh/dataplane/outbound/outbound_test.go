package outbound

import (
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"

	"gingerlead"
	"gingerlead/internal/mesh/dataplane/inbound"
	"gingerlead/internal/mesh/dataplane/outcome"
	"gingerlead/internal/mesh/transport"
	"gingerlead/internal/mesh/transport/codec"
)

// What has surely not run is that to the module too, whether or not it was withdrawn, and only a lost link or nobody there blames
// the endpoint: its own sidecar vouches for it.
func TestEveryEndIsToldToTheModule(t *testing.T) {
	c := qt.New(t)
	for k := outcome.Answered; k <= outcome.Broken; k++ {
		for _, quit := range []bool{false, true} {
			st := status(&inbound.Outcome{Kind: k, Status: 200}, quit)
			attempt := k < outcome.Quota && k != outcome.Answered || k == outcome.Lost || k == outcome.Spoilt || k == outcome.Silent || k == outcome.Broken
			if attempt {
				c.Check(st.NeverRan(), qt.Equals, k.NotRun(), qt.Commentf("%s, withdrawn %v", k, quit))
			}
			blames := st == gingerlead.Reset || st == gingerlead.ConnectFailed
			if attempt && !quit {
				c.Check(blames, qt.Equals, k.Entry().Blame, qt.Commentf("%s", k))
			}
		}
	}
	c.Assert(status(&inbound.Outcome{Kind: outcome.Answered, Status: 500}, false), qt.Equals, gingerlead.Error)
}

func TestOutcomeOfAnAsk(t *testing.T) {
	c := qt.New(t)
	whole := codec.Write(nil, &inbound.Outcome{Kind: outcome.Leaving})
	for _, x := range []struct {
		body []byte
		err  error
		kind outcome.Kind
	}{
		{whole, nil, outcome.Leaving},
		{nil, nil, outcome.Full},
		{[]byte{0xff}, nil, outcome.Spoilt},
		{nil, &transport.ConnectionError{Sent: true}, outcome.Lost},
		{nil, &transport.ConnectionError{}, outcome.Unreachable},
		{nil, errors.New("anything else"), outcome.Lost},
	} {
		c.Check(parseOutcome(x.body, x.err).Kind, qt.Equals, x.kind)
	}
}

// The table has a line for every kind; only what has surely not run is promised so, and a promise says when to come back.
func TestTableIsWhole(t *testing.T) {
	c := qt.New(t)
	for k := outcome.Answered; k <= outcome.Broken; k++ {
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
	c.Assert(outcome.Kind(999).NotRun(), qt.IsFalse)
}
