package balancer

import (
	"testing"
	"time"
)

// An instance that shuts down rejects requests that it can hardly answer in time, with a Retry-After until its successor serves.
func TestShutdownRejectsWhatComesTooLate(t *testing.T) {
	config := settings()
	config.MaxRetryAfter = 5 * time.Second
	fixture := start(t, config, 4)
	fixture.serveRequests(100, nil) // 20 ms each
	fixture.request(pay)
	inFlight := fixture.last()
	endsAt := fixture.now + 200*ms
	fixture.balancer.ShutDownAt(fixture.now, endsAt)
	requestWithIdle := func(idleConnections int) (sends, rejections int) {
		sends, rejections = len(fixture.sent), len(fixture.rejections)
		fixture.balancer.HandleRequest(fixture.now, Request{
			ID: fixture.nextID(), Class: read, TimeLeft: 1500 * ms, IdleConnections: idleConnections,
		})
		return len(fixture.sent) - sends, len(fixture.rejections) - rejections
	}
	if sends, _ := requestWithIdle(minIdleConnections); sends != 1 {
		t.Error("a request that can be answered before the shutdown was not sent")
	}
	if sends, rejections := requestWithIdle(minIdleConnections - 1); sends != 0 || rejections != 1 {
		t.Errorf("request with too few idle connections: %d sends, %d rejections; want 0 and 1", sends, rejections)
	}
	fixture.advance(180 * ms)
	if sends, rejections := requestWithIdle(minIdleConnections); sends != 0 || rejections != 1 {
		t.Errorf("request too late before the shutdown: %d sends, %d rejections; want 0 and 1", sends, rejections)
	}
	if got, want := fixture.retryAfter[len(fixture.retryAfter)-1], endsAt+seconds(successorDelay)-fixture.now; got != want {
		t.Errorf("retry after %v, want %v, when the successor serves", got, want)
	}
	fixture.advance(20 * ms)
	sends := len(fixture.sent)
	fixture.finish(inFlight, StatusCancelled, 200*ms)
	if len(fixture.sent) != sends || len(fixture.fails) != 1 || fixture.fails[0] != inFlight.id {
		t.Errorf(
			"call in flight at the end: %d more sends, failed %v; want no retry, and it failed",
			len(fixture.sent)-sends, fixture.fails,
		)
	}
}

// If other instances serve, the Retry-After covers only the time for the pending requests, since the client may reach another
// instance.
func TestShutdownOfOneOfSeveralInstances(t *testing.T) {
	config := settings()
	config.Instances, config.MaxRetryAfter = 2, 5*time.Second
	fixture := start(t, config, 4)
	fixture.serveRequests(100, nil)
	sends := len(fixture.sent)
	fixture.balancer.ShutDownAt(fixture.now, fixture.now+200*ms)
	fixture.request(read)
	if len(fixture.sent) != sends+1 {
		t.Error("a request that can be answered before the shutdown was not sent")
	}
	fixture.advance(190 * ms)
	fixture.request(read)
	if len(fixture.rejections) != 1 || fixture.retryAfter[0] >= time.Second {
		t.Errorf(
			"request too late before the shutdown: rejected %v, retry after %v; want one, below 1 s",
			fixture.rejections, fixture.retryAfter,
		)
	}
}
