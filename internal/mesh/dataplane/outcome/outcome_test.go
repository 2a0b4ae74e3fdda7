package outcome

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// The table of docs/control-safety.md, section 5, cell by cell.
func TestWhenARequestMayBeRetried(t *testing.T) {
	c := qt.New(t)
	type cell struct{ repeatable, once Next }
	want := map[Kind]cell{
		AtCapacity:      {Retry, Retry},
		Draining:        {Retry, Retry},
		Misdirected:     {Retry, Retry},
		Unreachable:     {Retry, Retry},
		Rejected:        {Retry, Retry},
		Expired:         {Retry, Retry},
		Cancelled:       {Retry, Retry},
		Overloaded:      {Retry, Retry},
		ConnectionLost:  {RetryIdempotent, Stop},
		EndpointReset:   {RetryIdempotent, Stop},
		InvalidResponse: {RetryIdempotent, Stop},
		TimedOut:        {RetryIdempotent, Stop},
		QuotaExceeded:   {Stop, Stop},
		NotReady:        {Stop, Stop},
		ShuttingDown:    {Stop, Stop},
		NoRoute:         {Stop, Stop},
		Unauthorized:    {Stop, Stop},
		Malformed:       {Stop, Stop},
		BodyTooLarge:    {Stop, Stop},
		HeaderTooLarge:  {Stop, Stop},
		BodyTimeout:     {Stop, Stop},
		Kind(999):       {RetryIdempotent, Stop}, // of a later version
	}
	c.Assert(len(want), qt.Equals, len(table)) // Answered is below, and one kind is of no table
	for k, x := range want {
		c.Check(k.Next(0, true), qt.Equals, x.repeatable, qt.Commentf("%s", k))
		c.Check(k.Next(0, false), qt.Equals, x.once, qt.Commentf("%s", k))
	}
	for status, x := range map[int]cell{
		200: {Deliver, Deliver}, 302: {Deliver, Deliver}, 404: {Deliver, Deliver}, 499: {Deliver, Deliver},
		500: {RetryIdempotent, Deliver}, 504: {RetryIdempotent, Deliver},
	} {
		c.Check(Answered.Next(status, true), qt.Equals, x.repeatable, qt.Commentf("%d", status))
		c.Check(Answered.Next(status, false), qt.Equals, x.once, qt.Commentf("%d", status))
	}
}

// A request that may run once at most is sent again only if the attempt has surely not run, whatever the kind.
func TestOnlyWhatWasNotExecutedIsRetried(t *testing.T) {
	c := qt.New(t)
	for k := Kind(0); k < 64; k++ {
		for status := 100; status < 600; status++ {
			next := k.Next(status, false)
			c.Assert(next == RetryIdempotent, qt.IsFalse, qt.Commentf("%s %d", k, status))
			c.Assert(next == Retry && !k.NotExecuted(), qt.IsFalse, qt.Commentf("%s %d", k, status))
		}
	}
}
