package balancer

import (
	"fmt"
	"os"
	"testing"
	"time"
)

const ms = time.Millisecond

// sent is an attempt that the Balancer made.
type sent struct {
	id      RequestID
	to      EndpointID
	attempt int
	timeout time.Duration
}

// recorder is a Host that writes down what it is asked to do, and a clock.
type recorder struct {
	now               time.Duration
	sent              []sent
	attempts          map[RequestID]int
	fails, rejections []RequestID
	advice            []time.Duration // when rejected clients should come back
	cancels           []sent
	timers            map[uint64]time.Duration // token to due time
	watches, fetches  int
	logs              []string
}

func (r *recorder) Send(id RequestID, to EndpointID, timeout time.Duration) {
	r.sent = append(r.sent, sent{id, to, r.attempts[id], timeout})
	r.attempts[id]++
}

func (r *recorder) Reject(id RequestID, after time.Duration) {
	r.rejections = append(r.rejections, id)
	r.advice = append(r.advice, after)
}

func (r *recorder) Fail(id RequestID) { r.fails = append(r.fails, id) }

func (r *recorder) Cancel(id RequestID, n int) {
	r.cancels = append(r.cancels, sent{id: id, attempt: n})
}

func (r *recorder) SetTimer(token uint64, after time.Duration) {
	r.timers[token] = r.now + after
}

func (r *recorder) HealthCheck(EndpointID) {}

func (r *recorder) SendToPeer(int, []byte) {}

func (r *recorder) WatchEndpoints(bool) { r.watches++ }

func (r *recorder) FetchEndpoints() { r.fetches++ }

func (r *recorder) CloseIdleConnections(EndpointID) {}

func (r *recorder) Log(text string) { r.logs = append(r.logs, text) }

// last is the latest send.
func (r *recorder) last() sent { return r.sent[len(r.sent)-1] }

// settings are those of one instance with three classes of request: read, pay and book.
func settings() Settings {
	c := Class{LatencyTarget: time.Second, Deadline: 3 * time.Second, Value: 1}
	read, pay, book := c, c, c
	read.Name, read.Idempotency = "read", Idempotent
	pay.Name, pay.Idempotency = "pay", NonIdempotent
	book.Name, book.Idempotency, book.KeyScope, book.KeyWindow = "book", IdempotentWithKey, KeyScopeCell, 5*time.Second
	return Settings{
		Instances: 1, Quantum: 2 * ms, MayCancel: true, MaxAttempts: 4, ConnectTimeout: 100 * ms,
		SlowStartMinShare: 0.2, SlowStartWindow: 10 * time.Second, OverloadMultiple: 3, OverloadDuration: time.Second, ResubscribeInterval: 10 * time.Second,
		Classes: []Class{read, pay, book},
	}
}

// The classes of settings.
const read, pay, book = 0, 1, 2

// fixture is a Balancer under test with its recorder.
type fixture struct {
	*recorder
	t *testing.T
	b *Balancer
	n int // requests so far
}

// start makes a Balancer that knows n available endpoints, numbered from 1, two to a cell.
func start(t *testing.T, s Settings, n int) *fixture {
	t.Helper()
	h := &recorder{timers: map[uint64]time.Duration{}, attempts: map[RequestID]int{}, now: time.Second}
	b, err := New(s, 7, h)
	if err != nil {
		t.Fatal(err)
	}
	l := EndpointList{Kind: ListCached, Version: 1}
	for i := 1; i <= n; i++ {
		l.Entries = append(l.Entries, ListEntry{Endpoint: EndpointID(i), Cell: (i - 1) / 2, Weight: 1})
	}
	b.HandleEndpoints(h.now, l)
	return &fixture{recorder: h, t: t, b: b}
}

// list hands over a delta with one entry.
func (f *fixture) list(e ListEntry) {
	f.b.HandleEndpoints(f.now, EndpointList{Kind: ListDelta, Version: 2, Entries: []ListEntry{e}})
}

// ask brings a request with a second and a half left.
func (f *fixture) ask(class int) RequestID {
	f.n++
	id := RequestID(fmt.Sprint("r", f.n))
	f.b.HandleRequest(f.now, Request{ID: id, Class: class, TimeLeft: 1500 * ms})
	return id
}

// end reports the outcome of a send.
func (f *fixture) end(s sent, status Status, took time.Duration) {
	f.b.HandleOutcome(f.now, Outcome{
		ID: s.id, Endpoint: s.to, Attempt: s.attempt, Final: status == StatusOK, Status: status,
		Elapsed: took,
	})
}

// pass lets time go by, with the timers that fall due.
func (f *fixture) pass(by time.Duration) {
	for until := f.now + by; f.now < until; f.now += 2 * ms {
		for _, token := range []uint64{timerTick, timerWatch} {
			if due, ok := f.timers[token]; ok && due <= f.now {
				delete(f.timers, token)
				f.b.HandleTimer(f.now, token)
			}
		}
	}
}

// serve runs requests one after another for a while, each answered after 20 ms but where answer says
// otherwise, and counts the sends to each endpoint.
func (f *fixture) serve(n int, answer func(to EndpointID) Status) map[EndpointID]int {
	got := map[EndpointID]int{}
	for range n {
		at := len(f.sent)
		f.ask(read)
		f.pass(20 * ms)
		for at < len(f.sent) {
			s := f.sent[at]
			at++
			got[s.to]++
			status := StatusOK
			if answer != nil {
				status = answer(s.to)
			}
			f.end(s, status, 20*ms)
		}
	}
	return got
}

// soaked is how many times as much of something is played in `make soak`.
func soaked(times int) int {
	if os.Getenv("SOAK") == "" {
		return 1
	}
	return times
}
