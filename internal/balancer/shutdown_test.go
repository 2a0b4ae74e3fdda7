package balancer

import (
	"testing"
	"time"
)

// An instance that shuts down rejects requests that it can hardly answer in time, with a Retry-After until its successor serves.
func TestShutdownRejectsWhatComesTooLate(t *testing.T) {
	s := settings()
	s.MaxRetryAfter = 5 * time.Second
	f := start(t, s, 4)
	f.serveRequests(100, nil) // 20 ms each
	f.request(pay)
	inFlight := f.last()
	endsAt := f.now + 200*ms
	f.b.ShutDownAt(f.now, endsAt)
	requestWithIdle := func(idleConnections int) (sends, rejections int) {
		sends, rejections = len(f.sent), len(f.rejections)
		f.b.HandleRequest(f.now, Request{
			ID: f.nextID(), Class: read, TimeLeft: 1500 * ms, IdleConnections: idleConnections,
		})
		return len(f.sent) - sends, len(f.rejections) - rejections
	}
	if sends, _ := requestWithIdle(minIdleConnections); sends != 1 {
		t.Error("in time: not sent")
	}
	if sends, rejections := requestWithIdle(minIdleConnections - 1); sends != 0 || rejections != 1 {
		t.Errorf("with too few idle connections: %d sends, %d rejections", sends, rejections)
	}
	f.advance(180 * ms)
	if sends, rejections := requestWithIdle(minIdleConnections); sends != 0 || rejections != 1 {
		t.Errorf("too late: %d sends, %d rejections", sends, rejections)
	}
	if got, want := f.retryAfter[len(f.retryAfter)-1], endsAt+seconds(successorDelay)-f.now; got != want {
		t.Errorf("retry after %v, the successor serves after %v", got, want)
	}
	f.advance(20 * ms)
	sends := len(f.sent)
	f.finish(inFlight, StatusCancelled, 200*ms)
	if len(f.sent) != sends || len(f.fails) != 1 || f.fails[0] != inFlight.id {
		t.Errorf("the call in flight at the end: %d more sends, failed %v", len(f.sent)-sends, f.fails)
	}
}

// If other instances serve, the Retry-After is only the time for the pending requests, since the client may reach another instance.
func TestShutdownAmongOthers(t *testing.T) {
	s := settings()
	s.Instances, s.MaxRetryAfter = 2, 5*time.Second
	f := start(t, s, 4)
	f.serveRequests(100, nil)
	sends := len(f.sent)
	f.b.ShutDownAt(f.now, f.now+200*ms)
	f.request(read)
	if len(f.sent) != sends+1 {
		t.Error("in time: not sent")
	}
	f.advance(190 * ms)
	f.request(read)
	if len(f.rejections) != 1 || f.retryAfter[0] >= time.Second {
		t.Errorf("too late: rejected %v, retry after %v", f.rejections, f.retryAfter)
	}
}
