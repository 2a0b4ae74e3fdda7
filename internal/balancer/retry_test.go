package balancer

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func TestNonIdempotentIsNeverSentTwice(t *testing.T) {
	f := start(t, settings(), 3)
	id := f.request(pay)
	f.finish(f.last(), StatusError, ms)
	if len(f.sent) != 1 || !slices.Equal(f.fails, []RequestID{id}) || len(f.rejections) > 0 {
		t.Errorf("sent %v, failed %v, rejected %v; want one send, then failed", f.sent, f.fails, f.rejections)
	}
	f.request(pay)
	first := f.last()
	f.finish(first, StatusRejected, ms)
	if retry := f.last(); retry.id != first.id || retry.number != 1 || retry.to == first.to {
		t.Errorf("after a call that never ran: %v, want a second attempt at another endpoint", retry)
	}
}

func TestIdempotencyKeyStaysInItsCellAndWindow(t *testing.T) {
	f := start(t, settings(), 6)
	f.request(book)
	first := f.last()
	f.finish(first, StatusError, ms)
	if retry := f.last(); retry.number != 1 || (retry.to-1)/2 != (first.to-1)/2 {
		t.Fatalf("retry %v of %v left the cell", retry, first)
	}
	s := settings()
	s.Classes[book].KeyWindow = 100 * ms
	f = start(t, s, 6)
	id := f.request(book)
	f.advance(200 * ms)
	f.finish(f.last(), StatusError, 200*ms)
	f.advance(3 * time.Second)
	if len(f.sent) != 1 || !slices.Equal(f.fails, []RequestID{id}) || len(f.rejections) > 0 {
		t.Errorf("sent %v, failed %v, rejected %v; want no retry past the window, then failed", f.sent, f.fails, f.rejections)
	}
}

// The retries during an outage do not multiply the load.
func TestRetryBudget(t *testing.T) {
	f := start(t, settings(), 4)
	got := f.serveRequests(500, func(EndpointID) Status { return StatusError })
	total := 0
	for _, n := range got {
		total += n
	}
	if total > 500+maxRetryBudget+1 {
		t.Errorf("%d sends for 500 requests that all fail", total)
	}
}

// requestAfter delivers a request of which an earlier attempt is known.
func (f *fixture) requestAfter(prior PriorAttempt, class int) {
	f.b.HandleRequest(f.now, Request{ID: f.nextID(), Class: class, TimeLeft: 1500 * ms, Prior: prior})
}

// A request whose earlier attempt may have run is sent only to endpoints that recognize its idempotency key: within the key's scope
// and window. If it cannot be sent again, it fails at once. It does not delay other requests.
func TestPriorAttempts(t *testing.T) {
	f := start(t, settings(), 8)
	f.serveRequests(200, nil)
	for range 50 {
		f.requestAfter(PriorAttempt{MayHaveRun: true, Cell: 2, SentAt: f.now - time.Second}, book)
		if retry := f.last(); retry.to != 5 && retry.to != 6 {
			t.Fatalf("a retry went to endpoint %d, outside of its cell", retry.to)
		}
		f.finish(f.last(), StatusOK, 20*ms)
	}
	aSecondAgo := f.now - time.Second
	for _, c := range []struct {
		name  string
		class int
		prior PriorAttempt
	}{
		{"the window is over", book, PriorAttempt{MayHaveRun: true, Cell: 2, SentAt: f.now - 5*time.Second}},
		{"not idempotent", pay, PriorAttempt{MayHaveRun: true, SentAt: aSecondAgo}},
		{"not idempotent, and was served", pay, PriorAttempt{MayHaveRun: true, Served: true, SentAt: aSecondAgo}},
		{"served, and window over", book, PriorAttempt{MayHaveRun: true, Served: true, SentAt: f.now - time.Minute}},
	} {
		sends, fails, rejections := len(f.sent), len(f.fails), len(f.rejections)
		f.requestAfter(c.prior, c.class)
		if len(f.sent) != sends || len(f.fails) != fails+1 || len(f.rejections) != rejections {
			t.Errorf(
				"%s: %d sends, %d failures, %d rejections",
				c.name, len(f.sent)-sends, len(f.fails)-fails, len(f.rejections)-rejections,
			)
		}
	}
	sends := len(f.sent)
	f.requestAfter(PriorAttempt{MayHaveRun: true, SentAt: aSecondAgo}, read)
	if len(f.sent) != sends+1 {
		t.Error("an idempotent request was not sent")
	}
	// No endpoint of its cell is listed: the request is pending, and later ones are sent.
	f.requestAfter(PriorAttempt{MayHaveRun: true, Cell: 99, SentAt: aSecondAgo}, book)
	other := f.request(book)
	if f.last().id != other {
		t.Error("a retry whose cell has no endpoint delayed another request")
	}
	// A rejection means that it is harmless to try again. That is true for a key of scope all, but not after its window.
	s := settings()
	s.Classes[book].KeyScope = KeyScopeAll
	f = start(t, s, 2)
	f.requestAfter(PriorAttempt{MayHaveRun: true, SentAt: f.now - time.Minute}, book)
	if len(f.rejections) > 0 || len(f.fails) != 1 {
		t.Errorf("%v were rejected, %v failed", f.rejections, f.fails)
	}
}

// A call with an idempotency key that may have run is retried at the other endpoint of its cell, the only one of 10,000 that may get
// it, and at no other while that one rejects it.
func TestOnePermittedOfTenThousand(t *testing.T) {
	for _, instances := range []int{1, 40} {
		t.Run(fmt.Sprint(instances, " instances"), func(t *testing.T) {
			s := settings()
			s.Instances, s.Ordinal = instances, instances/2
			f := start(t, s, 10_000)
			for range 20 {
				f.serveRequests(30, func(EndpointID) Status { return StatusOK })
				retryInCell(t, f)
				f.advance(2000 * ms)
			}
		})
	}
}

// retryInCell delivers a request with an idempotency key whose first attempt may have run, and checks where it is retried.
func retryInCell(t *testing.T, f *fixture) {
	t.Helper()
	cellPeer := func(e EndpointID) EndpointID { return (e - 1) ^ 1 + 1 } // the other endpoint of a cell
	before := len(f.sent)
	f.request(book)
	if len(f.sent) != before+1 {
		t.Fatal("it was not sent")
	}
	first := f.sent[before]
	f.finish(first, StatusReset, 10*ms)
	f.advance(300 * ms)
	if len(f.sent) != before+2 || f.sent[before+1].to != cellPeer(first.to) {
		t.Fatalf("after endpoint %d it went to %v; %v", first.to, f.sent[before+1:], f.logs)
	}
	f.finish(f.sent[before+1], StatusRejected, ms)
	f.advance(100 * ms)
	for _, retry := range f.sent[before+2:] {
		if retry.to != first.to && retry.to != cellPeer(first.to) {
			t.Fatalf("out of its cell, from endpoint %d to %d", first.to, retry.to)
		}
	}
	for _, retry := range f.sent[before+2:] {
		f.finish(retry, StatusOK, 10*ms)
	}
}
