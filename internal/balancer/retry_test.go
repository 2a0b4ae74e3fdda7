package balancer

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func TestNonIdempotentIsNeverSentTwice(t *testing.T) {
	fixture := start(t, settings(), 3)
	id := fixture.request(pay)
	fixture.finish(fixture.last(), StatusError, ms)
	if len(fixture.sent) != 1 || !slices.Equal(fixture.fails, []RequestID{id}) || len(fixture.rejections) > 0 {
		t.Errorf("sent %v, failed %v, rejected %v; want one send, then failed", fixture.sent, fixture.fails, fixture.rejections)
	}
	fixture.request(pay)
	first := fixture.last()
	fixture.finish(first, StatusRejected, ms)
	if retry := fixture.last(); retry.id != first.id || retry.number != 1 || retry.to == first.to {
		t.Errorf("after a call that never ran: %v, want a second attempt at another endpoint", retry)
	}
}

func TestIdempotencyKeyStaysInItsCellAndWindow(t *testing.T) {
	fixture := start(t, settings(), 6)
	fixture.request(book)
	first := fixture.last()
	fixture.finish(first, StatusError, ms)
	if retry := fixture.last(); retry.number != 1 || (retry.to-1)/2 != (first.to-1)/2 {
		t.Fatalf("retry %v of %v left the cell", retry, first)
	}
	config := settings()
	config.Classes[book].KeyWindow = 100 * ms
	fixture = start(t, config, 6)
	id := fixture.request(book)
	fixture.advance(200 * ms)
	fixture.finish(fixture.last(), StatusError, 200*ms)
	fixture.advance(3 * time.Second)
	if len(fixture.sent) != 1 || !slices.Equal(fixture.fails, []RequestID{id}) || len(fixture.rejections) > 0 {
		t.Errorf("sent %v, failed %v, rejected %v; want no retry past the window, then failed", fixture.sent, fixture.fails, fixture.rejections)
	}
}

// The retries during an outage do not multiply the load.
func TestRetryBudget(t *testing.T) {
	fixture := start(t, settings(), 4)
	got := fixture.serveRequests(500, func(EndpointID) Status { return StatusError })
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
	f.balancer.HandleRequest(f.now, Request{ID: f.nextID(), Class: class, TimeLeft: 1500 * ms, Prior: prior})
}

// A request whose earlier attempt may have run is sent only to endpoints that recognize its idempotency key: within the key's scope
// and window. If it cannot be sent again, it fails at once. It does not delay other requests.
func TestPriorAttempts(t *testing.T) {
	fixture := start(t, settings(), 8)
	fixture.serveRequests(200, nil)
	for range 50 {
		fixture.requestAfter(PriorAttempt{MayHaveRun: true, Cell: 2, SentAt: fixture.now - time.Second}, book)
		if retry := fixture.last(); retry.to != 5 && retry.to != 6 {
			t.Fatalf("a retry went to endpoint %d, outside of its cell", retry.to)
		}
		fixture.finish(fixture.last(), StatusOK, 20*ms)
	}
	aSecondAgo := fixture.now - time.Second
	for _, c := range []struct {
		name  string
		class int
		prior PriorAttempt
	}{
		{"the window is over", book, PriorAttempt{MayHaveRun: true, Cell: 2, SentAt: fixture.now - 5*time.Second}},
		{"not idempotent", pay, PriorAttempt{MayHaveRun: true, SentAt: aSecondAgo}},
		{"not idempotent, and was served", pay, PriorAttempt{MayHaveRun: true, Served: true, SentAt: aSecondAgo}},
		{"served, and window over", book, PriorAttempt{MayHaveRun: true, Served: true, SentAt: fixture.now - time.Minute}},
	} {
		sends, fails, rejections := len(fixture.sent), len(fixture.fails), len(fixture.rejections)
		fixture.requestAfter(c.prior, c.class)
		if len(fixture.sent) != sends || len(fixture.fails) != fails+1 || len(fixture.rejections) != rejections {
			t.Errorf(
				"%s: %d sends, %d failures, %d rejections",
				c.name, len(fixture.sent)-sends, len(fixture.fails)-fails, len(fixture.rejections)-rejections,
			)
		}
	}
	sends := len(fixture.sent)
	fixture.requestAfter(PriorAttempt{MayHaveRun: true, SentAt: aSecondAgo}, read)
	if len(fixture.sent) != sends+1 {
		t.Error("an idempotent request was not sent")
	}
	// No endpoint of its cell is listed: the request is pending, and later ones are sent.
	fixture.requestAfter(PriorAttempt{MayHaveRun: true, Cell: 99, SentAt: aSecondAgo}, book)
	other := fixture.request(book)
	if fixture.last().id != other {
		t.Error("a retry whose cell has no endpoint delayed another request")
	}
	// A rejection means that it is harmless to try again. That is true for a key of scope all, but not after its window.
	config := settings()
	config.Classes[book].KeyScope = KeyScopeAll
	fixture = start(t, config, 2)
	fixture.requestAfter(PriorAttempt{MayHaveRun: true, SentAt: fixture.now - time.Minute}, book)
	if len(fixture.rejections) > 0 || len(fixture.fails) != 1 {
		t.Errorf("%v were rejected, %v failed", fixture.rejections, fixture.fails)
	}
}

// A call with an idempotency key that may have run is retried at the other endpoint of its cell, the only one of 10,000 that may get
// it, and at no other while that one rejects it.
func TestOnePermittedOfTenThousand(t *testing.T) {
	for _, instances := range []int{1, 40} {
		t.Run(fmt.Sprint(instances, " instances"), func(t *testing.T) {
			config := settings()
			config.Instances, config.Ordinal = instances, instances/2
			fixture := start(t, config, 10_000)
			for range 20 {
				fixture.serveRequests(30, func(EndpointID) Status { return StatusOK })
				retryInCell(t, fixture)
				fixture.advance(2000 * ms)
			}
		})
	}
}

// retryInCell delivers a request with an idempotency key whose first attempt may have run, and checks where it is retried.
func retryInCell(t *testing.T, fixture *fixture) {
	t.Helper()
	cellPeer := func(e EndpointID) EndpointID { return (e - 1) ^ 1 + 1 } // the other endpoint of a cell
	before := len(fixture.sent)
	fixture.request(book)
	if len(fixture.sent) != before+1 {
		t.Fatal("it was not sent")
	}
	first := fixture.sent[before]
	fixture.finish(first, StatusReset, 10*ms)
	fixture.advance(300 * ms)
	if len(fixture.sent) != before+2 || fixture.sent[before+1].to != cellPeer(first.to) {
		t.Fatalf("after endpoint %d it went to %v; %v", first.to, fixture.sent[before+1:], fixture.logs)
	}
	fixture.finish(fixture.sent[before+1], StatusRejected, ms)
	fixture.advance(100 * ms)
	for _, retry := range fixture.sent[before+2:] {
		if retry.to != first.to && retry.to != cellPeer(first.to) {
			t.Fatalf("out of its cell, from endpoint %d to %d", first.to, retry.to)
		}
	}
	for _, retry := range fixture.sent[before+2:] {
		fixture.finish(retry, StatusOK, 10*ms)
	}
}
