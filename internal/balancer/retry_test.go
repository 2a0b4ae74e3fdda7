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
		t.Errorf(
			"non-idempotent request after an error: sent %v, failed %v, rejected %v; want one send, then failed",
			fixture.sent, fixture.fails, fixture.rejections,
		)
	}
	fixture.request(pay)
	first := fixture.last()
	fixture.finish(first, StatusRejected, ms)
	if retry := fixture.last(); retry.id != first.id || retry.number != 1 || retry.to == first.to {
		t.Errorf("after a rejected attempt: last attempt %v, want the second of the request at another endpoint", retry)
	}
}

func TestIdempotencyKeyStaysInItsCellAndWindow(t *testing.T) {
	fixture := start(t, settings(), 6)
	fixture.request(book)
	first := fixture.last()
	fixture.finish(first, StatusError, ms)
	if retry := fixture.last(); retry.number != 1 || (retry.to-1)/2 != (first.to-1)/2 {
		t.Fatalf("last attempt %v after %v failed, want a retry in the same cell", retry, first)
	}
	config := settings()
	config.Classes[book].KeyWindow = 100 * ms
	fixture = start(t, config, 6)
	id := fixture.request(book)
	fixture.advance(200 * ms)
	fixture.finish(fixture.last(), StatusError, 200*ms)
	fixture.advance(3 * time.Second)
	if len(fixture.sent) != 1 || !slices.Equal(fixture.fails, []RequestID{id}) || len(fixture.rejections) > 0 {
		t.Errorf(
			"after the key window: sent %v, failed %v, rejected %v; want no retry, then failed",
			fixture.sent, fixture.fails, fixture.rejections,
		)
	}
}

// Retries during an outage do not multiply the load.
func TestRetryBudget(t *testing.T) {
	fixture := start(t, settings(), 4)
	got := fixture.serveRequests(500, func(EndpointID) Status { return StatusError })
	total := 0
	for _, n := range got {
		total += n
	}
	if total > 500+maxRetryBudget+1 {
		t.Errorf("%d sends for 500 requests that all fail, want no retries beyond the budget", total)
	}
}

// requestAfter delivers a request of a class with a known earlier attempt.
func (f *fixture) requestAfter(prior PriorAttempt, class int) {
	f.balancer.HandleRequest(f.now, Request{ID: f.nextID(), Class: class, TimeLeft: 1500 * ms, Prior: prior})
}

// A request whose earlier attempt may have run is sent only to endpoints within the scope of its idempotency key, and only within the
// key's window. If it cannot be sent again, it fails at once. It does not delay other requests.
func TestPriorAttempts(t *testing.T) {
	fixture := start(t, settings(), 8)
	fixture.serveRequests(200, nil)
	for range 50 {
		fixture.requestAfter(PriorAttempt{MayHaveRun: true, Cell: 2, SentAt: fixture.now - time.Second}, book)
		if retry := fixture.last(); retry.to != 5 && retry.to != 6 {
			t.Fatalf("a retry was sent to endpoint %d, want 5 or 6 of its cell", retry.to)
		}
		fixture.finish(fixture.last(), StatusOK, 20*ms)
	}
	aSecondAgo := fixture.now - time.Second
	for _, test := range []struct {
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
		fixture.requestAfter(test.prior, test.class)
		if len(fixture.sent) != sends || len(fixture.fails) != fails+1 || len(fixture.rejections) != rejections {
			t.Errorf(
				"prior attempt (%s): %d sends, %d failures, %d rejections; want 0, 1, 0",
				test.name, len(fixture.sent)-sends, len(fixture.fails)-fails, len(fixture.rejections)-rejections,
			)
		}
	}
	sends := len(fixture.sent)
	fixture.requestAfter(PriorAttempt{MayHaveRun: true, SentAt: aSecondAgo}, read)
	if len(fixture.sent) != sends+1 {
		t.Error("an idempotent request with a prior attempt was not sent")
	}
	// No endpoint of the request's cell is listed: it is pending, and later ones are sent.
	fixture.requestAfter(PriorAttempt{MayHaveRun: true, Cell: 99, SentAt: aSecondAgo}, book)
	other := fixture.request(book)
	if fixture.last().id != other {
		t.Error("a retry whose cell has no endpoint delayed another request")
	}
	// A rejection means that a retry is harmless. That is true for a key with scope "all", but not after its window.
	config := settings()
	config.Classes[book].KeyScope = KeyScopeAll
	fixture = start(t, config, 2)
	fixture.requestAfter(PriorAttempt{MayHaveRun: true, SentAt: fixture.now - time.Minute}, book)
	if len(fixture.rejections) > 0 || len(fixture.fails) != 1 {
		t.Errorf("request after the window of its key: rejected %v, failed %v; want it failed", fixture.rejections, fixture.fails)
	}
}

// A call with an idempotency key that may have run is retried at the other endpoint of its cell, the only one of 10,000 where that is
// permitted, and not outside of the cell even if that endpoint rejects it.
func TestRetryFindsTheOnePermittedEndpointOfTenThousand(t *testing.T) {
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
		t.Fatal("the first attempt was not sent")
	}
	first := fixture.sent[before]
	fixture.finish(first, StatusReset, 10*ms)
	fixture.advance(300 * ms)
	if len(fixture.sent) != before+2 || fixture.sent[before+1].to != cellPeer(first.to) {
		t.Fatalf(
			"after the connection to endpoint %d broke: sent %v, want one retry at the other endpoint of the cell; logs %v",
			first.to, fixture.sent[before+1:], fixture.logs,
		)
	}
	fixture.finish(fixture.sent[before+1], StatusRejected, ms)
	fixture.advance(100 * ms)
	for _, retry := range fixture.sent[before+2:] {
		if retry.to != first.to && retry.to != cellPeer(first.to) {
			t.Fatalf("first attempt at endpoint %d, retry at %d, which is in another cell", first.to, retry.to)
		}
	}
	for _, retry := range fixture.sent[before+2:] {
		fixture.finish(retry, StatusOK, 10*ms)
	}
}
