package balancer

import (
	"fmt"
	"os"
	"testing"
	"time"
)

const ms = time.Millisecond

// attempt is an attempt of a request that the Balancer has sent.
type attempt struct {
	id      RequestID
	to      EndpointID
	number  int           // index among the attempts of the request, from 0
	timeout time.Duration // 0 if only the deadline limits the attempt
}

// recorder is a Host that records the calls of its methods. It also holds the current time of the test.
type recorder struct {
	now               time.Duration
	sent              []attempt
	attempts          map[RequestID]int // number of attempts sent so far
	fails, rejections []RequestID
	retryAfter        []time.Duration          // retryAfter argument of each rejection
	cancels           []attempt                // cancelled attempts, with id and number only
	timers            map[uint64]time.Duration // time at which each timer fires, by token
	watches, fetches  int
	logs              []string
}

func (r *recorder) Send(id RequestID, to EndpointID, timeout time.Duration) {
	r.sent = append(r.sent, attempt{id, to, r.attempts[id], timeout})
	r.attempts[id]++
}

func (r *recorder) Reject(id RequestID, retryAfter time.Duration) {
	r.rejections = append(r.rejections, id)
	r.retryAfter = append(r.retryAfter, retryAfter)
}

func (r *recorder) Fail(id RequestID) { r.fails = append(r.fails, id) }

func (r *recorder) Cancel(id RequestID, n int) {
	r.cancels = append(r.cancels, attempt{id: id, number: n})
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

// last returns the attempt that was sent last.
func (r *recorder) last() attempt { return r.sent[len(r.sent)-1] }

// settings returns settings of a single instance with three classes: read, pay and book.
func settings() Settings {
	class := Class{LatencyTarget: time.Second, Deadline: 3 * time.Second, Value: 1}
	read, pay, book := class, class, class
	read.Name, read.Idempotency = "read", Idempotent
	pay.Name, pay.Idempotency = "pay", NonIdempotent
	book.Name, book.Idempotency, book.KeyScope, book.KeyWindow = "book", IdempotentWithKey, KeyScopeCell, 5*time.Second
	return Settings{
		Instances:           1,
		Quantum:             2 * ms,
		MayCancel:           true,
		MaxAttempts:         4,
		ConnectTimeout:      100 * ms,
		SlowStartMinShare:   0.2,
		SlowStartWindow:     10 * time.Second,
		OverloadMultiple:    3,
		OverloadDuration:    time.Second,
		ResubscribeInterval: 10 * time.Second,
		Classes:             []Class{read, pay, book},
	}
}

// The indexes of the classes in settings.
const read, pay, book = 0, 1, 2

// fixture is a Balancer under test with its recorder.
type fixture struct {
	*recorder
	t            *testing.T
	balancer     *Balancer
	requestCount int // number of requests so far, from which request IDs are made
}

// start returns a Balancer with a number of available endpoints. Their IDs are consecutive from 1, and each cell has two endpoints.
func start(t *testing.T, config Settings, endpoints int) *fixture {
	t.Helper()
	host := &recorder{timers: map[uint64]time.Duration{}, attempts: map[RequestID]int{}, now: time.Second}
	b, err := New(config, 7, host)
	if err != nil {
		t.Fatal(err)
	}
	list := EndpointList{Kind: ListCached, Version: 1}
	for i := 1; i <= endpoints; i++ {
		list.Entries = append(list.Entries, ListEntry{Endpoint: EndpointID(i), Cell: (i - 1) / 2, Weight: 1})
	}
	b.HandleEndpoints(host.now, list)
	return &fixture{recorder: host, t: t, balancer: b}
}

// updateEndpoint delivers an update of the endpoint list with one entry.
func (f *fixture) updateEndpoint(e ListEntry) {
	f.balancer.HandleEndpoints(f.now, EndpointList{Kind: ListDelta, Version: 2, Entries: []ListEntry{e}})
}

// request delivers a request of a class with 1.5 s left, and returns its ID.
func (f *fixture) request(class int) RequestID {
	id := f.nextID()
	f.balancer.HandleRequest(f.now, Request{ID: id, Class: class, TimeLeft: 1500 * ms})
	return id
}

// nextID returns the ID of a new request.
func (f *fixture) nextID() RequestID {
	f.requestCount++
	return RequestID(fmt.Sprint("r", f.requestCount))
}

// finish delivers the outcome of an attempt. It is final if the status is StatusOK.
func (f *fixture) finish(a attempt, status Status, elapsed time.Duration) {
	f.balancer.HandleOutcome(f.now, Outcome{
		ID: a.id, Endpoint: a.to, Attempt: a.number, Final: status == StatusOK, Status: status, Elapsed: elapsed,
	})
}

// advance advances the time in steps of 2 ms, and fires the timers that expire.
func (f *fixture) advance(by time.Duration) {
	for until := f.now + by; f.now < until; f.now += 2 * ms {
		for _, token := range []uint64{timerTick, timerWatch} {
			if fireAt, ok := f.timers[token]; ok && fireAt <= f.now {
				delete(f.timers, token)
				f.balancer.HandleTimer(f.now, token)
			}
		}
	}
}

// serveRequests delivers n requests one after another. Each attempt takes 20 ms and ends with the status that the function status
// returns for its endpoint, or with StatusOK if the function is nil. It returns the number of attempts by endpoint.
func (f *fixture) serveRequests(n int, status func(to EndpointID) Status) map[EndpointID]int {
	attempts := map[EndpointID]int{}
	for range n {
		next := len(f.sent)
		f.request(read)
		f.advance(20 * ms)
		for next < len(f.sent) {
			a := f.sent[next]
			next++
			attempts[a.to]++
			result := StatusOK
			if status != nil {
				result = status(a.to)
			}
			f.finish(a, result, 20*ms)
		}
	}
	return attempts
}

// soakFactor returns the factor by which a test does more work in `make soak` than in `make test`: times in the former, 1 in the
// latter.
func soakFactor(times int) int {
	if os.Getenv("SOAK") == "" {
		return 1
	}
	return times
}
