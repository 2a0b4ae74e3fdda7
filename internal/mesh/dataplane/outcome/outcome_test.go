package outcome

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Checks each cell of the table in section 5 of control-safety.md.
func TestWhenARequestMayBeRetried(t *testing.T) {
	type cell struct{ idempotent, nonIdempotent Next }
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
		Kind(999):       {RetryIdempotent, Stop}, // a kind that only later versions know
	}
	c := qt.New(t)
	c.Assert(len(want), qt.Equals, len(table)) // want lacks Answered, which is checked below, but has one kind that the table lacks
	for kind, next := range want {
		t.Run(kind.String(), func(t *testing.T) {
			c := qt.New(t)
			c.Check(kind.Next(0, true), qt.Equals, next.idempotent)
			c.Check(kind.Next(0, false), qt.Equals, next.nonIdempotent)
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
			c.Check(Answered.Next(status, false), qt.Equals, next.nonIdempotent)
		})
	}
}

// A request that is not idempotent may be retried only if the attempt was certainly not executed, whatever its kind.
func TestOnlyWhatWasNotExecutedIsRetried(t *testing.T) {
	c := qt.New(t)
	for kind := Kind(0); kind < 64; kind++ {
		for status := 100; status < 600; status++ {
			next := kind.Next(status, false)
			c.Assert(next == RetryIdempotent, qt.IsFalse, qt.Commentf("retry as idempotent after kind %s, status %d", kind, status))
			c.Assert(next == Retry && !kind.NotExecuted(), qt.IsFalse, qt.Commentf("retry after kind %s, status %d", kind, status))
		}
	}
}

// The table has an entry for every kind. Only kinds that were certainly not executed have statuses that promise this to the client, and
// statuses 429 and 503 have a Retry-After.
func TestOutcomeTableIsComplete(t *testing.T) {
	for kind := Answered; kind <= EndpointReset; kind++ {
		t.Run(kind.String(), func(t *testing.T) {
			c := qt.New(t)
			entry := kind.Entry()
			c.Check(entry.Name, qt.Not(qt.Equals), "unknown")
			promisesNotExecuted := entry.Status == 429 || entry.Status == 503 || entry.Status == 408 || entry.Status == 421
			if promisesNotExecuted {
				c.Check(entry.NotExecuted, qt.IsTrue)
			}
			if entry.Status == 429 || entry.Status == 503 {
				c.Check(entry.RetryAfter > 0, qt.IsTrue)
			}
		})
	}
	qt.Assert(t, Kind(999).NotExecuted(), qt.IsFalse)
}
