package outcome

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// The table of docs/control-safety.md, section 5, cell by cell.
func TestWhenARequestMayBeTriedAgain(t *testing.T) {
	c := qt.New(t)
	type cell struct{ repeatable, once Next }
	want := map[Kind]cell{
		Full:         {SendAgain, SendAgain},
		Leaving:      {SendAgain, SendAgain},
		Mistaken:     {SendAgain, SendAgain},
		Unreachable:  {SendAgain, SendAgain},
		TurnedAway:   {SendAgain, SendAgain},
		Late:         {SendAgain, SendAgain},
		Withdrawn:    {SendAgain, SendAgain},
		Overloaded:   {SendAgain, SendAgain},
		Lost:         {Repeat, Stop},
		Broken:       {Repeat, Stop},
		Spoilt:       {Repeat, Stop},
		Silent:       {Repeat, Stop},
		Quota:        {Stop, Stop},
		Unready:      {Stop, Stop},
		Ending:       {Stop, Stop},
		NoRoute:      {Stop, Stop},
		NoKey:        {Stop, Stop},
		Malformed:    {Stop, Stop},
		TooLarge:     {Stop, Stop},
		HeadTooLarge: {Stop, Stop},
		Slow:         {Stop, Stop},
		Kind(999):    {Repeat, Stop}, // of a later version
	}
	c.Assert(len(want), qt.Equals, len(table)) // Answered is below, and one kind is of no table
	for k, x := range want {
		c.Check(k.Next(0, true), qt.Equals, x.repeatable, qt.Commentf("%s", k))
		c.Check(k.Next(0, false), qt.Equals, x.once, qt.Commentf("%s", k))
	}
	for status, x := range map[int]cell{
		200: {Deliver, Deliver}, 302: {Deliver, Deliver}, 404: {Deliver, Deliver}, 499: {Deliver, Deliver},
		500: {Repeat, Deliver}, 504: {Repeat, Deliver},
	} {
		c.Check(Answered.Next(status, true), qt.Equals, x.repeatable, qt.Commentf("%d", status))
		c.Check(Answered.Next(status, false), qt.Equals, x.once, qt.Commentf("%d", status))
	}
}

// A request that may run once at most is sent again only if the attempt has surely not run, whatever the kind.
func TestOnlyWhatHasNotRunIsSentAgain(t *testing.T) {
	c := qt.New(t)
	for k := Kind(0); k < 64; k++ {
		for status := 100; status < 600; status++ {
			next := k.Next(status, false)
			c.Assert(next == Repeat, qt.IsFalse, qt.Commentf("%s %d", k, status))
			c.Assert(next == SendAgain && !k.NotRun(), qt.IsFalse, qt.Commentf("%s %d", k, status))
		}
	}
}
