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
		t.Error("in time: not sent")
	}
	if sends, rejections := requestWithIdle(minIdleConnections - 1); sends != 0 || rejections != 1 {
		t.Errorf("with too few idle connections: %d sends, %d rejections", sends, rejections)
	}
	fixture.advance(180 * ms)
	if sends, rejections := requestWithIdle(minIdleConnections); sends != 0 || rejections != 1 {
		t.Errorf("too late: %d sends, %d rejections", sends, rejections)
	}
	if got, want := fixture.retryAfter[len(fixture.retryAfter)-1], endsAt+seconds(successorDelay)-fixture.now; got != want {
		t.Errorf("retry after %v, the successor serves after %v", got, want)
	}
	fixture.advance(20 * ms)
	sends := len(fixture.sent)
	fixture.finish(inFlight, StatusCancelled, 200*ms)
	if len(fixture.sent) != sends || len(fixture.fails) != 1 || fixture.fails[0] != inFlight.id {
		t.Errorf("the call in flight at the end: %d more sends, failed %v", len(fixture.sent)-sends, fixture.fails)
	}
}

// If other instances serve, the Retry-After is only the time for the pending requests, since the client may reach another instance.
func TestShutdownAmongOthers(t *testing.T) {
	config := settings()
	config.Instances, config.MaxRetryAfter = 2, 5*time.Second
	fixture := start(t, config, 4)
	fixture.serveRequests(100, nil)
	sends := len(fixture.sent)
	fixture.balancer.ShutDownAt(fixture.now, fixture.now+200*ms)
	fixture.request(read)
	if len(fixture.sent) != sends+1 {
		t.Error("in time: not sent")
	}
	fixture.advance(190 * ms)
	fixture.request(read)
	if len(fixture.rejections) != 1 || fixture.retryAfter[0] >= time.Second {
		t.Errorf("too late: rejected %v, retry after %v", fixture.rejections, fixture.retryAfter)
	}
}
