package balancer

import (
	"fmt"
	"testing"
	"time"
)

// An instance that ends sends nothing that it could hardly answer, and says when its successor serves.
func TestShutdownRejectsWhatComesTooLate(t *testing.T) {
	s := settings()
	s.MaxRetryAfter = 5 * time.Second
	f := start(t, s, 4)
	f.serve(100, nil) // 20 ms each
	f.ask(pay)
	out := f.last()
	endsAt := f.now + 200*ms
	f.b.ShutDownAt(f.now, endsAt)
	ask := func(idle int) (sends, rejections int) {
		f.n++
		sends, rejections = len(f.sent), len(f.rejections)
		f.b.HandleRequest(f.now, Request{ID: RequestID(fmt.Sprint("r", f.n)), Class: read, TimeLeft: 1500 * ms, IdleConnections: idle})
		return len(f.sent) - sends, len(f.rejections) - rejections
	}
	if sends, _ := ask(minIdleConnections); sends != 1 {
		t.Error("in good time: not sent")
	}
	if sends, rejections := ask(minIdleConnections - 1); sends != 0 || rejections != 1 {
		t.Errorf("with hardly a connection idle: %d sends, %d rejections", sends, rejections)
	}
	f.pass(180 * ms)
	if sends, rejections := ask(minIdleConnections); sends != 0 || rejections != 1 {
		t.Errorf("too late: %d sends, %d rejections", sends, rejections)
	}
	if got, want := f.advice[len(f.advice)-1], endsAt+seconds(successorDelay)-f.now; got != want {
		t.Errorf("advised to come back after %v, the successor serves after %v", got, want)
	}
	f.pass(20 * ms)
	sends := len(f.sent)
	f.end(out, StatusCancelled, 200*ms)
	if len(f.sent) != sends || len(f.fails) != 1 || f.fails[0] != out.id {
		t.Errorf("what was in flight at the end: %d more sends, failed %v", len(f.sent)-sends, f.fails)
	}
}

// Where others serve on, clients come back as soon as the queue is worked off, and may find no connection here.
func TestShutdownAmongOthers(t *testing.T) {
	s := settings()
	s.Instances, s.MaxRetryAfter = 2, 5*time.Second
	f := start(t, s, 4)
	f.serve(100, nil)
	sends := len(f.sent)
	f.b.ShutDownAt(f.now, f.now+200*ms)
	f.ask(read)
	if len(f.sent) != sends+1 {
		t.Error("in good time: not sent")
	}
	f.pass(190 * ms)
	f.ask(read)
	if len(f.rejections) != 1 || f.advice[0] >= time.Second {
		t.Errorf("too late: rejected %v, advised to come back after %v", f.rejections, f.advice)
	}
}
