package outcome

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// The table of the page control-safety.md, section 5, cell by cell.
func TestWhenARequestMayBeRetried(t *testing.T) {
	type cell struct{ idempotent, once Next }
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
	c := qt.New(t)
	c.Assert(len(want), qt.Equals, len(table)) // Answered is below, and one kind is of no table
	for kind, next := range want {
		t.Run(kind.String(), func(t *testing.T) {
			c := qt.New(t)
			c.Check(kind.Next(0, true), qt.Equals, next.idempotent)
			c.Check(kind.Next(0, false), qt.Equals, next.once)
		})
	}
	for status, next := range map[int]cell{
		200: {Deliver, Deliver},
		302: {Deliver, Deliver},
		404: {Deliver, Deliver},
		499: {Deliver, Deliver},
		500: {RetryIdempotent, Deliver},
		504: {RetryIdempotent, Deliver},
	} {
		t.Run(fmt.Sprintf("answered %d", status), func(t *testing.T) {
			c := qt.New(t)
			c.Check(Answered.Next(status, true), qt.Equals, next.idempotent)
			c.Check(Answered.Next(status, false), qt.Equals, next.once)
		})
	}
}

// A request that is not idempotent is retried only if the attempt was certainly not executed, whatever its kind.
func TestOnlyWhatWasNotExecutedIsRetried(t *testing.T) {
	c := qt.New(t)
	for kind := Kind(0); kind < 64; kind++ {
		for status := 100; status < 600; status++ {
			next := kind.Next(status, false)
			c.Assert(next == RetryIdempotent, qt.IsFalse, qt.Commentf("%s %d", kind, status))
			c.Assert(next == Retry && !kind.NotExecuted(), qt.IsFalse, qt.Commentf("%s %d", kind, status))
		}
	}
}

// The table has an entry for every kind. Only kinds that were certainly not executed have statuses that promise so, and 429 and 503 have a
// Retry-After.
func TestOutcomeTableIsComplete(t *testing.T) {
	for kind := Answered; kind <= EndpointReset; kind++ {
		t.Run(kind.String(), func(t *testing.T) {
			c := qt.New(t)
			e := kind.Entry()
			c.Check(e.Name, qt.Not(qt.Equals), "unknown")
			promises := e.Status == 429 || e.Status == 503 || e.Status == 408 || e.Status == 421
			if promises {
				c.Check(e.NotExecuted, qt.IsTrue)
			}
			if e.Status == 429 || e.Status == 503 {
				c.Check(e.RetryAfter > 0, qt.IsTrue)
			}
		})
	}
	qt.Assert(t, Kind(999).NotExecuted(), qt.IsFalse)
}
