package balancer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

type sent struct {
	id      RequestID
	to      EndpointID
	attempt int
	timeout time.Duration
}

// recorder is a Host that writes down what it is asked to do, and a clock.
type recorder struct {
	now              time.Duration
	sent             []sent
	attempts         map[RequestID]int
	fails, refusals  []RequestID
	advice           []time.Duration // when refused clients should come back
	cancels          []sent
	timers           map[uint64]time.Duration // token to due time
	watches, fetches int
	logs             []string
}

func (r *recorder) Send(id RequestID, to EndpointID, timeout time.Duration) {
	r.sent = append(r.sent, sent{id, to, r.attempts[id], timeout})
	r.attempts[id]++
}

func (r *recorder) Reject(id RequestID, after time.Duration) {
	r.refusals = append(r.refusals, id)
	r.advice = append(r.advice, after)
}
func (r *recorder) Fail(id RequestID) { r.fails = append(r.fails, id) }
func (r *recorder) Cancel(id RequestID, n int) {
	r.cancels = append(r.cancels, sent{id: id, attempt: n})
}

func (r *recorder) SetTimer(token uint64, after time.Duration) {
	r.timers[token] = r.now + after
}
func (r *recorder) HealthCheck(EndpointID)             {}
func (r *recorder) SendToPeer(int, []byte)             {}
func (r *recorder) WatchEndpoints(bool)                { r.watches++ }
func (r *recorder) FetchEndpoints()                    { r.fetches++ }
func (r *recorder) CloseIdleConnections(to EndpointID) {}
func (r *recorder) Log(text string)                    { r.logs = append(r.logs, text) }

// last is the latest send.
func (r *recorder) last() sent { return r.sent[len(r.sent)-1] }

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

const read, pay, book = 0, 1, 2

// bed is a Balancer under test with its recorder.
type bed struct {
	*recorder
	t *testing.T
	b *Balancer
	n int
}

// start makes a Balancer that knows n warm endpoints, numbered from 1, two to a cell.
func start(t *testing.T, s Settings, n int) *bed {
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
	return &bed{recorder: h, t: t, b: b}
}

// list hands over a delta with one entry.
func (b *bed) list(e ListEntry) {
	b.b.HandleEndpoints(b.now, EndpointList{Kind: ListDelta, Version: 2, Entries: []ListEntry{e}})
}

// ask brings a request with a second and a half left.
func (b *bed) ask(class int) RequestID {
	b.n++
	id := RequestID(fmt.Sprint("r", b.n))
	b.b.HandleRequest(b.now, Request{ID: id, Class: class, TimeLeft: 1500 * ms})
	return id
}

// end reports the outcome of a send.
func (b *bed) end(s sent, status Status, took time.Duration) {
	b.b.HandleOutcome(b.now, Outcome{
		ID: s.id, Endpoint: s.to, Attempt: s.attempt, Final: status == StatusOK, Status: status,
		Elapsed: took,
	})
}

// pass lets time go by, with the timers that fall due.
func (b *bed) pass(by time.Duration) {
	for until := b.now + by; b.now < until; b.now += 2 * ms {
		for _, token := range []uint64{timerTick, timerWatch} {
			if due, ok := b.timers[token]; ok && due <= b.now {
				delete(b.timers, token)
				b.b.HandleTimer(b.now, token)
			}
		}
	}
}

// serve runs requests one after another for a while, each answered after 20 ms but where answer says
// otherwise, and counts the sends to each endpoint.
func (b *bed) serve(n int, answer func(to EndpointID) Status) map[EndpointID]int {
	got := map[EndpointID]int{}
	for range n {
		at := len(b.sent)
		b.ask(read)
		b.pass(20 * ms)
		for at < len(b.sent) {
			s := b.sent[at]
			at++
			got[s.to]++
			status := StatusOK
			if answer != nil {
				status = answer(s.to)
			}
			b.end(s, status, 20*ms)
		}
	}
	return got
}

func TestDrainingGetsNothingNewAndKeepsItsCalls(t *testing.T) {
	d := start(t, settings(), 2)
	for range 4 {
		d.ask(read)
	}
	running := slices.Clone(d.sent)
	d.list(ListEntry{Endpoint: 1, State: EndpointDraining})
	if len(d.cancels) > 0 {
		t.Error("a running call was called off when its endpoint drained")
	}
	for _, s := range running {
		d.end(s, StatusOK, 10*ms)
	}
	if got := d.serve(20, nil); got[1] != 0 || got[2] != 20 {
		t.Errorf("sends by endpoint %v, want all 20 to 2", got)
	}
	d.list(ListEntry{Endpoint: 1})
	if got := d.serve(20, nil); got[1] == 0 {
		t.Error("an endpoint that is ready again gets nothing")
	}
}

func TestFewerInFlightWins(t *testing.T) {
	d := start(t, settings(), 2)
	d.ask(read)
	first := d.last().to
	d.ask(read)
	if d.last().to == first {
		t.Error("the second call joined the first although the other endpoint was idle")
	}
}

func TestResetIsolatesUntilATrialIsServedThenRamps(t *testing.T) {
	d := start(t, settings(), 4)
	d.serve(40, nil)
	id := d.ask(read)
	lost := d.last()
	d.end(lost, StatusReset, 5*ms)
	if d.fetches != 1 {
		t.Errorf("%d lists fetched after a broken connection, want 1", d.fetches)
	}
	if again := d.last(); again.id != id || again.to == lost.to {
		t.Errorf("retry %v, want %s on another endpoint than %d", again, id, lost.to)
	}
	d.end(d.last(), StatusOK, 20*ms)
	fail := func(to EndpointID) Status {
		if to == lost.to {
			return StatusConnectFailed
		}
		return StatusOK
	}
	if got := d.serve(100, fail); got[lost.to] == 0 || got[lost.to] > 5 {
		t.Errorf("%d trials in 2 s, want a few", got[lost.to])
	}
	if d.fetches != 1 {
		t.Errorf("%d lists fetched, want the next one only after a pause", d.fetches)
	}
	got := d.serve(500, nil)
	if got[lost.to] == 0 || got[lost.to] > 80 {
		t.Errorf("%d of 500 sends to the one that is back, want few while it ramps", got[lost.to])
	}
}

// Every endpoint sends some answers that are of no use. The call may have run, and its endpoint is as well as
// before: no isolation, no slow start, no blame.
func TestSpoiltAnswerCostsTheEndpointNothing(t *testing.T) {
	d := start(t, settings(), 4)
	d.serve(40, nil)
	id := d.ask(read)
	spoilt := d.last()
	d.end(spoilt, StatusInvalidResponse, 5*ms)
	if again := d.last(); again.id != id || again.attempt != 1 {
		t.Errorf("retry %v, want %s once more", again, id)
	}
	d.end(d.last(), StatusOK, 20*ms)
	d.ask(pay)
	d.end(d.last(), StatusInvalidResponse, 5*ms)
	if len(d.fails) != 1 || len(d.refusals) != 0 {
		t.Errorf("an unsafe call that may have run: %d failed, %d refused", len(d.fails), len(d.refusals))
	}
	bad := d.last().to
	for range 3 {
		d.ask(read)
		for d.last().to == bad {
			d.end(d.last(), StatusInvalidResponse, 5*ms)
			d.ask(read)
		}
		d.end(d.last(), StatusOK, 20*ms)
	}
	if got := d.serve(100, nil); got[bad] < 10 || d.fetches != 0 || len(d.logs) > 0 {
		t.Errorf("%d of 100 sends to it, %d lists fetched, logs %q", got[bad], d.fetches, d.logs)
	}
}

// Endpoints that have gone are forgotten, and what is still out to them ends without harm.
func TestGoneEndpointsAreForgotten(t *testing.T) {
	d := start(t, settings(), 1)
	for i := 2; i < 100; i++ {
		d.ask(read)
		late := d.last()
		d.list(ListEntry{Endpoint: EndpointID(i), Weight: 1})
		d.list(ListEntry{Endpoint: EndpointID(i - 1), State: EndpointRemoved})
		if i%2 == 0 {
			d.list(ListEntry{Endpoint: EndpointID(i - 1), State: EndpointRemoved})
		}
		d.b.HandleHealthCheck(d.now, HealthCheckResult{Endpoint: EndpointID(i - 1)})
		d.end(late, []Status{StatusOK, StatusReset, StatusError, StatusConnectFailed, StatusCancelled}[i%5], 5*ms)
		for d.attempts[late.id] > 1 && d.last().id == late.id && d.b.requests[late.id] != nil {
			d.end(d.last(), StatusOK, 5*ms)
		}
		d.pass(20 * ms)
	}
	if len(d.b.endpointsByID) != 1 || len(d.b.listed) != 1 || len(d.b.requests) != 0 || d.b.inFlight != 0 {
		t.Errorf("%d endpoints, %d listed, %d requests, %d out", len(d.b.endpointsByID), len(d.b.listed), len(d.b.requests), d.b.inFlight)
	}
}

func TestNewStartInTheListEndsIsolation(t *testing.T) {
	d := start(t, settings(), 2)
	d.ask(read)
	lost := d.last()
	d.end(lost, StatusReset, ms)
	d.list(ListEntry{Endpoint: lost.to, StartedAt: d.now})
	for range 300 {
		d.pass(10 * ms)
		d.ask(read)
		s := d.last()
		d.end(s, StatusOK, 10*ms)
		if s.to == lost.to {
			return
		}
	}
	t.Error("a restarted endpoint got no call in 3 s")
}

// A full connection table answers like a dead process; calls that are open there tell them apart.
func TestConnectFailureBesideOpenCallsIsNotIsolation(t *testing.T) {
	d := start(t, settings(), 1)
	d.ask(read)
	d.ask(read)
	d.end(d.sent[1], StatusConnectFailed, ms)
	if slices.ContainsFunc(d.logs, func(s string) bool { return strings.Contains(s, "isolated") }) {
		t.Errorf("isolated: %v", d.logs)
	}
}

func TestIsolationNeverEmptiesTheSet(t *testing.T) {
	d := start(t, settings(), 3)
	for range 12 {
		d.ask(read)
		d.end(d.last(), StatusConnectFailed, ms)
		d.pass(10 * ms)
	}
	at := len(d.sent)
	d.pass(time.Second)
	d.ask(read)
	d.pass(100 * ms)
	if len(d.sent) == at {
		t.Error("nothing is sent once all are isolated")
	}
}

// Few in flight would draw calls to an endpoint that fails fast.
func TestFastErrorsEject(t *testing.T) {
	d := start(t, settings(), 4)
	got := d.serve(300, func(to EndpointID) Status {
		if to == 1 {
			return StatusError
		}
		return StatusOK
	})
	if got[1] > 30 {
		t.Errorf("%d of 300 sends to the failing endpoint", got[1])
	}
}

// All failing alike is the tier below, not the endpoints.
func TestAllFailingAlikeEjectsNone(t *testing.T) {
	d := start(t, settings(), 4)
	d.serve(60, nil)
	d.logs = nil
	n := 0
	d.serve(400, func(EndpointID) Status {
		if n++; n%2 == 0 {
			return StatusError
		}
		return StatusOK
	})
	isolated := 0
	for _, e := range d.b.listed {
		if e.availability == isolatedMark {
			isolated++
		}
	}
	if isolated > 1 {
		t.Errorf("%d of 4 endpoints isolated when all fail half their calls", isolated)
	}
}

const isolatedMark = ejected

func TestSilentEndpointIsPassedOver(t *testing.T) {
	d := start(t, settings(), 4)
	d.serve(60, nil)
	stuck := 0
	for range 200 {
		d.ask(read)
		d.pass(20 * ms)
		if s := d.last(); s.to == 1 {
			stuck++
		} else {
			d.end(s, StatusOK, 20*ms)
		}
	}
	if stuck == 0 || stuck > 8 {
		t.Errorf("%d calls to a silent endpoint in 4 s, want 1 to 8", stuck)
	}
}

// A keyed call at the last endpoint of its cell, that drains, is not called off, silent as it is: it could go nowhere
// else, and failed.
func TestSilentCallOfALastOneInItsCellIsWaitedFor(t *testing.T) {
	for _, drains := range []bool{true, false} {
		d := start(t, settings(), 4)
		d.serve(60, nil)
		id := d.ask(book)
		s := d.last()
		other := s.to + 1 // of the same cell
		if s.to%2 == 0 {
			other = s.to - 1
		}
		d.list(ListEntry{Endpoint: other, State: EndpointRemoved})
		if drains {
			d.list(ListEntry{Endpoint: s.to, Cell: int(s.to-1) / 2, Weight: 1, State: EndpointDraining})
		}
		for range 20 {
			d.ask(read)
			if l := d.last(); l.to != s.to {
				d.end(l, StatusOK, 20*ms)
			}
			d.pass(20 * ms)
		}
		if called := slices.ContainsFunc(d.cancels, func(c sent) bool { return c.id == id }); called == drains {
			t.Errorf("drains %v: called off %v", drains, d.cancels)
		}
		if slices.Contains(d.fails, id) {
			t.Errorf("drains %v: it failed", drains)
		}
	}
}

// An endpoint that answers most calls and loses some is not silent. Its lost calls are sent again once later
// ones have overtaken them, and until then leave room for others; an unsafe one is left alone.
func TestLostCallIsSentAgain(t *testing.T) {
	d := start(t, settings(), 4)
	d.serve(60, nil)
	lost := map[RequestID]sent{}
	atOne, again := 0, 0
	for range 200 {
		d.ask(read)
		s := d.last()
		if s.to == 1 {
			atOne++
		}
		if s.to == 1 && atOne%2 == 0 {
			lost[s.id] = s
		} else {
			d.end(s, StatusOK, 20*ms)
		}
		d.pass(20 * ms)
		for _, c := range d.cancels {
			s, ok := lost[c.id]
			if !ok {
				t.Fatalf("%s is withdrawn, and was answered or is sent again", c.id)
			}
			delete(lost, c.id)
			d.end(s, StatusCancelled, 150*ms)
			if next := d.last(); next.id != c.id || next.to == s.to {
				t.Fatalf("%s is not sent to another endpoint: %v", c.id, next)
			}
			again++
			d.end(d.last(), StatusOK, 20*ms)
		}
		d.cancels = nil
	}
	if again < 3 || len(lost) > 4 {
		t.Errorf("%d lost calls sent again, %d still out", again, len(lost))
	}
	id := d.ask(pay)
	for range 40 {
		d.pass(20 * ms)
		d.ask(read)
		d.end(d.last(), StatusOK, 20*ms)
	}
	if r := d.b.requests[id]; d.attempts[id] != 1 || r == nil || !r.lost || r.cancelled || d.b.losses.inFlight == 0 {
		t.Errorf("the unsafe call: %d attempts, %+v", d.attempts[id], r)
	}
}

func TestUnsafeIsNeverSentTwice(t *testing.T) {
	d := start(t, settings(), 3)
	id := d.ask(pay)
	d.end(d.last(), StatusError, ms)
	if len(d.sent) != 1 || !slices.Equal(d.fails, []RequestID{id}) || len(d.refusals) > 0 {
		t.Errorf("sent %v, failed %v, refused %v; want one send, then failed", d.sent, d.fails, d.refusals)
	}
	d.ask(pay)
	first := d.last()
	d.end(first, StatusRejected, ms)
	if again := d.last(); again.id != first.id || again.attempt != 1 || again.to == first.to {
		t.Errorf("after a call that never ran: %v, want a second attempt elsewhere", again)
	}
}

func TestKeyedStaysInItsCellAndWindow(t *testing.T) {
	d := start(t, settings(), 6)
	d.ask(book)
	first := d.last()
	d.end(first, StatusError, ms)
	if again := d.last(); again.attempt != 1 || (again.to-1)/2 != (first.to-1)/2 {
		t.Fatalf("retry %v of %v left the cell", again, first)
	}
	s := settings()
	s.Classes[book].KeyWindow = 100 * ms
	d = start(t, s, 6)
	id := d.ask(book)
	d.pass(200 * ms)
	d.end(d.last(), StatusError, 200*ms)
	d.pass(3 * time.Second)
	if len(d.sent) != 1 || !slices.Equal(d.fails, []RequestID{id}) || len(d.refusals) > 0 {
		t.Errorf("sent %v, failed %v, refused %v; want no retry past the window, then failed", d.sent, d.fails, d.refusals)
	}
}

// Retries that an outage sets off must not multiply the load.
func TestRetryBudget(t *testing.T) {
	d := start(t, settings(), 4)
	got := d.serve(500, func(EndpointID) Status { return StatusError })
	total := 0
	for _, n := range got {
		total += n
	}
	if total > 500+maxRetryBudget+1 {
		t.Errorf("%d sends for 500 requests that all fail", total)
	}
}

func TestEveryRequestIsAnsweredBeforeItsDeadline(t *testing.T) {
	d := start(t, settings(), 0)
	id := d.ask(read)
	d.pass(1500 * ms)
	if !slices.Equal(d.refusals, []RequestID{id}) {
		t.Errorf("refused %v, want %s: there is no endpoint", d.refusals, id)
	}
	d = start(t, settings(), 2)
	d.b.HandleRequest(d.now, Request{ID: "late", TimeLeft: 0})
	if len(d.refusals) != 1 || len(d.sent) > 0 {
		t.Errorf("refused %v, sent %v for a request with no time left", d.refusals, d.sent)
	}
}

// Crowded endpoints choke: the excess waits here, and what cannot be served in time is refused early.
func TestOverloadIsHeldAndRefusedEarly(t *testing.T) {
	d := start(t, settings(), 2)
	d.serve(200, nil)
	at := len(d.sent)
	for range 200 {
		d.ask(read)
	}
	if out := len(d.sent) - at; out > 20 {
		t.Errorf("%d of a burst of 200 were sent at once to 2 endpoints", out)
	}
	d.pass(1100 * ms)
	if len(d.refusals) < 100 {
		t.Errorf("%d refused by their aim, want nearly all", len(d.refusals))
	}
}

// A refused client is told when to come back: once what is held now has been answered, and never later than
// it would heed.
func TestRefusalsSayWhenToComeBack(t *testing.T) {
	s := settings()
	s.MaxRetryAfter = 2 * time.Second
	for _, burst := range []int{200, 4000} {
		d := start(t, s, 2)
		d.serve(200, nil)
		for range burst {
			d.ask(read)
		}
		d.pass(250 * ms) // until it is known how many are worked off: none
		rate := d.b.servedRate.value(d.now, d.b.rateWindow)
		if len(d.refusals) == 0 {
			t.Fatalf("nothing of a burst of %d was refused", burst)
		}
		queue := seconds(float64(len(d.b.pending)) / rate)
		for _, after := range d.advice {
			if after > s.MaxRetryAfter || after < min(queue, s.MaxRetryAfter) {
				t.Fatalf("of a burst of %d: come back after %v, want %v to work off what is held", burst, after, queue)
			}
		}
	}
	d := start(t, s, 2)
	d.b.HandleRequest(d.now, Request{ID: "late", Class: read})
	if !slices.Equal(d.advice, []time.Duration{0}) {
		t.Errorf("advice %v where no rate is known yet", d.advice)
	}
}

// What endpoints bear before they choke is told nowhere: one that turns slow shrinks the queue they may hold.
func TestChokedEndpointShrinksTheQueue(t *testing.T) {
	burst := func(slow time.Duration) int {
		d := start(t, settings(), 16)
		for i := range 2400 {
			d.ask(read)
			s := d.last()
			took := 100 * ms
			if s.to == 1 && i < 1800 {
				took = slow
			}
			d.end(s, StatusOK, took)
			d.pass(4 * ms)
		}
		at := len(d.sent)
		for range 100 {
			d.ask(read)
		}
		return len(d.sent) - at
	}
	if level, choked := burst(100*ms), burst(500*ms); choked >= level {
		t.Errorf("%d of a burst are sent after one endpoint choked, %d without", choked, level)
	}
}

// A base latency learnt from the first answers, which are those of short calls, held nearly all back.
func TestFirstShortAnswersDoNotSetTheLimit(t *testing.T) {
	d := start(t, settings(), 10)
	for i := range 40 {
		d.ask(read)
		d.end(d.last(), StatusOK, time.Duration(1+i%3)*ms)
	}
	if at := len(d.sent); true {
		for range 40 {
			d.ask(read)
		}
		if n := len(d.sent) - at; n < 40 {
			t.Errorf("%d of 40 sent at once to 10 endpoints, want all", n)
		}
	}
}

// Stuck calls lower the answered rate; a limit without a floor would follow it down for good.
func TestLimitRecoversFromStuckCalls(t *testing.T) {
	d := start(t, settings(), 6)
	d.serve(100, nil)
	d.pass(30 * time.Second)
	at := len(d.sent)
	for range 6 {
		d.ask(read)
	}
	if n := len(d.sent) - at; n < 6 {
		t.Errorf("%d of 6 sent after a long pause, want all", n)
	}
}

// Many instances that call every endpoint fill its connection table.
func TestSubsetWhereManyInstancesCall(t *testing.T) {
	s := settings()
	s.Instances = 30
	covered := map[EndpointID]int{}
	for i := range 30 {
		s.Ordinal = i
		d := start(t, s, 20)
		got := d.serve(100, nil)
		if len(got) != 2 {
			t.Fatalf("instance %d calls %d endpoints, want 2", i, len(got))
		}
		for id := range got {
			covered[id]++
		}
	}
	for id := EndpointID(1); id <= 20; id++ {
		if covered[id] != 3 {
			t.Errorf("endpoint %d is called by %d instances, want 3", id, covered[id])
		}
	}
}

// Where front balancers outnumber endpoints, each had one endpoint whatever its size: small machines got what
// large ones got. Together the subsets must reach each by its weight.
func TestSmallSubsetsReachEndpointsByWeight(t *testing.T) {
	s := settings()
	s.Instances = 120
	parts, total := map[EndpointID]float64{}, 0.0
	for i := range s.Instances {
		s.Ordinal = i
		d := start(t, s, 0)
		l := EndpointList{Kind: ListFull, Version: 2}
		for id := EndpointID(1); id <= 20; id++ {
			l.Entries = append(l.Entries, ListEntry{Endpoint: id, Weight: []float64{3, 0.5}[id%2]})
		}
		d.b.HandleEndpoints(d.now, l)
		n := 0
		for _, e := range d.b.listed {
			parts[e.id] += e.subsetWeight
			total += e.subsetWeight
			if e.subsetWeight > 0 {
				n++
			}
		}
		if n < 2 || n > 8 {
			t.Fatalf("instance %d calls %d endpoints, want a few", i, n)
		}
	}
	for id, got := range parts {
		want := total * []float64{3, 0.5}[id%2] / 35
		if got < 0.95*want || got > 1.05*want {
			t.Errorf("endpoint %d is reached by %.2f, want %.2f", id, got, want)
		}
	}
}

// In a subset of two the draw takes both, and a coin for ties gave both the same, whatever their weights.
func TestTiesFallByWeight(t *testing.T) {
	s := settings()
	s.Instances = 40
	d := start(t, s, 0)
	d.b.HandleEndpoints(d.now, EndpointList{Kind: ListFull, Version: 2, Entries: []ListEntry{{Endpoint: 1, Weight: 9}, {Endpoint: 2, Weight: 1}}})
	if got := d.serve(400, nil); got[2] < 20 || got[2] > 70 {
		t.Errorf("%v sends, want a tenth to the endpoint of a tenth of the weight", got)
	}
}

// When many endpoints left at once, their shares fell to the few after them on the ring: four times the mean.
func TestSharesOfLeavingEndpointsFallToAll(t *testing.T) {
	s := settings()
	s.Instances = 80
	parts := map[EndpointID]float64{}
	for i := range s.Instances {
		s.Ordinal = i
		d := start(t, s, 20)
		for id := EndpointID(5); id <= 14; id++ {
			d.list(ListEntry{Endpoint: id, State: EndpointDraining, Weight: 1})
		}
		for _, e := range d.b.listed {
			parts[e.id] += e.subsetWeight
		}
	}
	for id, got := range parts {
		want := 16.0
		if id >= 5 && id <= 14 {
			want = 0
		}
		if got < want-0.01 || got > want+0.01 {
			t.Errorf("endpoint %d is reached by %.2f instances' parts, want %.0f", id, got, want)
		}
	}
}

// At full size an instance has a call or two in flight: a tier filled up, every endpoint choked, and no limit
// on calls in flight held anything back. Latency far over what it should be must slow the calls.
func TestStrainPacesCallsWhereInstancesOutnumberEndpoints(t *testing.T) {
	sends := func(instances int, took time.Duration) int {
		s := settings()
		s.Instances = instances
		d := start(t, s, 10)
		at := 0
		for i := range 240 {
			if i == 40 {
				at = len(d.sent)
			}
			n := len(d.sent)
			d.ask(read)
			if len(d.sent) > n {
				if i > 40 {
					d.end(d.last(), StatusOK, took)
				} else {
					d.end(d.last(), StatusOK, 100*ms)
				}
			}
			d.pass(100 * ms)
		}
		return len(d.sent) - at
	}
	if n := sends(100, 100*ms); n != 200 {
		t.Errorf("%d of 200 requests sent on an easy tier, want all", n)
	}
	if n := sends(100, 700*ms); n > 150 {
		t.Errorf("%d of 200 requests sent while calls take seven times as long, want far fewer", n)
	}
	if n := sends(10, 700*ms); n < 190 {
		t.Errorf("%d of 200 requests sent by one of few instances, want nearly all", n)
	}
}

// All cold at once: what one instance sends each is capped by what warm ones were seen to bear.
func TestColdEndpointsAreCapped(t *testing.T) {
	d := start(t, settings(), 10)
	d.serve(300, nil) // 50 a second, 5 to each
	for id := EndpointID(1); id <= 10; id++ {
		d.list(ListEntry{Endpoint: id, StartedAt: d.now})
	}
	got := map[EndpointID]int{}
	at := len(d.sent)
	for range 500 {
		d.ask(read)
		d.pass(2 * ms)
		for ; at < len(d.sent); at++ {
			got[d.sent[at].to]++
			d.end(d.sent[at], StatusOK, 2*ms)
		}
	}
	for id, n := range got {
		if n > 8 { // 3 times a fifth of ten a second, and a little for chance
			t.Errorf("%d sends in its first second to cold endpoint %d", n, id)
		}
	}
	if len(got) == 0 {
		t.Error("cold endpoints got nothing at all")
	}
}

// A cold machine was pushed over by further attempts of instances whose subsets do not hold it, and by its
// getting a whole endpoint's rate from each instance whose subset holds a sliver of it.
func TestColdEndpointGetsByItsPartAndNoFurtherAttemptsFromOutside(t *testing.T) {
	s := settings()
	s.Instances = 60
	d := start(t, s, 20)
	d.serve(200, nil)
	var outside *endpoint
	for _, e := range d.b.listed {
		if e.subsetWeight == 0 {
			outside = e
		}
	}
	d.list(ListEntry{Endpoint: outside.id, StartedAt: d.now, Weight: 1})
	for range 50 {
		d.ask(read)
		d.end(d.last(), StatusRejected, ms)
		if to := d.last().to; to == outside.id {
			t.Fatal("a further attempt went to a cold endpoint outside the subset")
		}
		d.end(d.last(), StatusOK, 20*ms)
		d.pass(100 * ms)
	}
	cold := d.b.listed[0]
	for _, e := range d.b.listed {
		if e.subsetWeight > 0 {
			cold = e
		}
	}
	rate := func(part float64) float64 {
		cold.subsetWeight, cold.availability, cold.slowStartFrom, cold.slowStartTokens, cold.slowStartTokensAt = part, warmingUp, d.now, 0, d.now-10*ms
		d.b.slowStartAllows(d.now, cold)
		return cold.slowStartTokens
	}
	if whole, sliver := rate(1), rate(0.1); whole == 0 || sliver > 0.11*whole {
		t.Errorf("%.3f sends allowed for a tenth of a cold endpoint, %.3f for all of it", sliver, whole)
	}
}

func TestAskSubscribesAndBacksOff(t *testing.T) {
	s := settings()
	s.MustSubscribe = true
	d := start(t, s, 2)
	if d.watches != 0 {
		t.Error("subscribed at once: a fleet that starts together would ask together")
	}
	d.pass(time.Second)
	if d.watches != 1 {
		t.Fatalf("%d watches in the first second, want 1", d.watches)
	}
	for range 40 {
		d.b.HandleEndpoints(d.now, EndpointList{Kind: ListFailed})
		d.pass(time.Second)
	}
	if d.watches < 4 || d.watches > 30 {
		t.Errorf("%d watches in 40 s of failures, want a growing pause", d.watches)
	}
}

func TestTenantBeyondItsShareGivesWay(t *testing.T) {
	s := settings()
	s.Tenants = []Tenant{{Name: "a", QuotaPerSecond: 5}, {Name: "b", QuotaPerSecond: 100}}
	d := start(t, s, 1)
	d.serve(100, nil)
	for i := range 150 {
		d.b.HandleRequest(d.now, Request{ID: RequestID(fmt.Sprint("t", i)), Tenant: i % 2, TimeLeft: 1500 * ms})
	}
	for range 20 {
		d.pass(20 * ms)
		for _, r := range slices.Clone(d.b.listed[0].calls) {
			d.end(sent{id: r.id, to: 1, attempt: r.attempts - 1}, StatusOK, 20*ms)
		}
	}
	served := map[bool]int{} // by whether the tenant is the one beyond its share
	for _, s := range d.sent[100:] {
		served[(s.id[len(s.id)-1]-'0')%2 == 0]++
	}
	if served[true] >= served[false] {
		t.Errorf("%d calls of the tenant beyond its share, %d of the one within", served[true], served[false])
	}
}

// A tenant that sends an instance a request every three seconds never had a whole token in a bucket of a
// second's share, and counted as beyond its share with every request.
func TestSmallTenantIsWithinItsShare(t *testing.T) {
	s := settings()
	s.Instances = 100
	s.Tenants = []Tenant{{Name: "small", QuotaPerSecond: 40}, {Name: "large", QuotaPerSecond: 1000}}
	d := start(t, s, 50)
	low := 0
	for i := range 60 {
		id := RequestID(fmt.Sprint("t", i))
		d.b.HandleRequest(d.now, Request{ID: id, TimeLeft: 1500 * ms})
		if d.b.requests[id].overQuota {
			low++
		}
		d.pass(20 * ms)
		d.end(d.last(), StatusOK, 20*ms)
		d.pass(2980 * ms)
	}
	if low > 6 {
		t.Errorf("%d of 60 requests beyond a share that is never passed", low)
	}
}

// What goes beyond a share is served from what others leave of all shares, and not beyond that.
func TestBeyondShareTakesOnlyWhatOthersLeave(t *testing.T) {
	s := settings()
	s.Tenants = []Tenant{{Name: "a", QuotaPerSecond: 5}, {Name: "b", QuotaPerSecond: 45}}
	d := start(t, s, 50)
	d.serve(50, nil)
	refused := func(others int) int {
		at := len(d.refusals)
		for i := range 2000 {
			for tenant := range 2 {
				if tenant == 1 && i%10 >= others {
					continue
				}
				d.n++
				sent := len(d.sent)
				d.b.HandleRequest(d.now, Request{ID: RequestID(fmt.Sprint("u", d.n)), Tenant: tenant, TimeLeft: 1500 * ms})
				if len(d.sent) > sent {
					d.end(d.last(), StatusOK, 20*ms)
				}
			}
			d.pass(22 * ms) // 45 a second of a, and of b up to as many
		}
		return len(d.refusals) - at
	}
	if n := refused(0); n > 40 {
		t.Errorf("%d of 2000 refused while the other tenant asks nothing", n)
	}
	if n := refused(10); n < 1500 {
		t.Errorf("%d of 2000 refused while the other tenant asks for all of its share, want most", n)
	}
}

// Machines of two speeds in a list without weights: the slow ones got as many calls as the fast ones, and choked.
func TestReportedServiceTimesSetTheShares(t *testing.T) {
	d := start(t, settings(), 0)
	l := EndpointList{Kind: ListFull, Version: 2}
	for id := EndpointID(1); id <= 10; id++ {
		l.Entries = append(l.Entries, ListEntry{Endpoint: id, MachineKind: int(id % 2), Weight: 1})
	}
	d.b.HandleEndpoints(d.now, l)
	got := [2]int{}
	for i := range 600 {
		d.ask(read)
		s := d.last()
		if i > 100 {
			got[s.to%2]++
		}
		d.b.HandleOutcome(d.now, Outcome{
			ID: s.id, Endpoint: s.to, Final: true, Status: StatusOK, Elapsed: 100 * ms,
			Load: &Load{InFlight: -1, Queue: -1, Utilization: -1, ServiceTime: []time.Duration{10, 30}[s.to%2] * ms},
		})
		d.pass(20 * ms)
	}
	if ratio := float64(got[0]) / float64(got[1]); ratio < 2 || ratio > 4 {
		t.Errorf("fast machines got %d calls and slow ones %d, want three times as many", got[0], got[1])
	}
}

// Requests held go by what they add to the site's goal: by worth, and for a class that is served worst by that.
func TestDearClassGoesFirstUnlessTheWorstServedCountsMore(t *testing.T) {
	released := func(worstClass float64) (first [3]int) {
		s := settings()
		s.Classes[pay].Value, s.TotalValueWeight, s.WorstClassWeight = 5, 1, worstClass
		d := start(t, s, 1)
		class := map[RequestID]int{}
		for i := range 60 { // both are known, and read is served a little worse
			d.end(sent{id: d.ask(pay), to: 1}, StatusOK, 100*ms)
			d.ask(read)
			d.end(d.last(), StatusOK, 100*ms)
			if i%10 == 0 {
				d.b.countRequest(d.b.classes[read])
			}
			d.pass(100 * ms)
		}
		for range 40 {
			class[d.ask(read)] = read
			class[d.ask(pay)] = pay
		}
		at := len(d.sent)
		for _, x := range slices.Clone(d.b.listed[0].calls) {
			d.end(sent{id: x.id, to: 1}, StatusOK, 100*ms)
		}
		for _, x := range d.sent[at:] {
			first[class[x.id]]++
		}
		return first
	}
	if n := released(0); n[pay] == 0 || n[read] > 0 {
		t.Errorf("released %d dear calls and %d cheap ones by worth alone, want dear ones only", n[pay], n[read])
	}
	if n := released(50); n[read] == 0 || n[pay] > 0 {
		t.Errorf("released %d dear calls and %d of the class served worst, want the latter only", n[pay], n[read])
	}
}

// Clients that try again at once are not new: what repeats have spent, where their time left shows it, is
// taken for those that do not show it. Served as if new, they filled a tier with calls past their aim.
func TestRepeatsThatCannotMeetTheirAimGiveWay(t *testing.T) {
	d := start(t, settings(), 2)
	d.serve(200, nil)
	d.b.HandleRequest(d.now, Request{ID: "first", Class: book, TimeLeft: 3 * time.Second})
	d.end(d.last(), StatusOK, 20*ms)
	for i := range 50 {
		d.b.HandleRequest(d.now, Request{ID: RequestID(fmt.Sprint("shown", i)), Class: book, TimeLeft: 1300 * ms, Retry: true})
		d.end(d.last(), StatusOK, 20*ms)
	}
	for range 60 {
		d.ask(read)
	}
	refused := len(d.refusals)
	d.b.HandleRequest(d.now, Request{ID: "repeat", TimeLeft: 1500 * ms, Retry: true})
	if got := d.refusals[refused:]; !slices.Equal(got, []RequestID{"repeat"}) {
		t.Errorf("refused %v on a full tier, want the repeat at once", got)
	}
}

func TestLapsedCallsWorkOff(t *testing.T) {
	d := start(t, settings(), 2)
	id := d.ask(read)
	d.b.HandleClientGone(d.now, id)
	if len(d.cancels) != 1 || d.cancels[0].id != id {
		t.Errorf("cancelled %v, want %s", d.cancels, id)
	}
	d.end(d.last(), StatusCancelled, ms)
	if len(d.sent) != 1 || len(d.fails)+len(d.refusals) > 0 {
		t.Error("more was done for a client that had gone")
	}
}

func TestStreamBelongsToTheClient(t *testing.T) {
	s := settings()
	s.Classes[read].Streaming = true
	d := start(t, s, 2)
	id := d.ask(read)
	d.b.HandleResponseStart(d.now, id, 0, d.last().to)
	d.pass(10 * time.Second)
	d.b.HandleOutcome(d.now, Outcome{ID: id, Endpoint: d.last().to, Final: true, Status: StatusReset})
	if len(d.sent) != 1 || len(d.fails)+len(d.refusals)+len(d.cancels) > 0 {
		t.Error("a started stream was answered, repeated or withdrawn")
	}
}

func TestOddEventsAreTakenInStride(t *testing.T) {
	d := start(t, settings(), 2)
	d.b.HandleOutcome(d.now, Outcome{ID: "unknown", Status: StatusOK})
	d.b.HandleClientGone(d.now, "unknown")
	d.b.HandleResponseStart(d.now, "unknown", 0, 1)
	d.b.HandleTimer(d.now, 99)
	d.b.HandleHealthCheck(d.now, HealthCheckResult{Endpoint: 9})
	d.b.HandlePeerMessage(d.now, 3, nil)
	d.ask(read)
	s := d.last()
	d.list(ListEntry{Endpoint: s.to, State: EndpointRemoved})
	d.b.HandleEndpoints(d.now, EndpointList{Kind: ListFull, Version: 3})
	d.end(s, StatusReset, ms)
	d.end(s, StatusOK, ms)
	d.pass(2 * time.Second)
	if len(d.refusals) != 1 {
		t.Errorf("refused %v, want the one request that lost its endpoint and has no other", d.refusals)
	}
}

func TestNewNamesTheSettingItCannotActOn(t *testing.T) {
	for key, spoil := range map[string]func(*Settings){
		"classes":           func(s *Settings) { s.Classes = nil },
		"classes[0].effect": func(s *Settings) { s.Classes[0].Idempotency = "maybe" },
		"classes[2].scope":  func(s *Settings) { s.Classes[2].KeyScope = "planet" },
		"classes[1].aim":    func(s *Settings) { s.Classes[1].LatencyTarget = -1 },
		"cold":              func(s *Settings) { s.SlowStartWindow = -1 },
		"coldFrom":          func(s *Settings) { s.SlowStartMinShare = 2 },
		"instances":         func(s *Settings) { s.Instances = 0 },
		"fall":              func(s *Settings) { s.OverloadDuration = -1 },
		"askEvery":          func(s *Settings) { s.ResubscribeInterval = -1 },
		"connectTimeout":    func(s *Settings) { s.ConnectTimeout = -1 },
		"classes[0].window": func(s *Settings) { s.Classes[0].KeyWindow = -1 },
		"tenants[0].quota":  func(s *Settings) { s.Tenants = []Tenant{{QuotaPerSecond: -1}} },
		"ordinal":           func(s *Settings) { s.Ordinal = -1 },
		"tipMultiple":       func(s *Settings) { s.OverloadMultiple = -1 },
	} {
		s := settings()
		spoil(&s)
		if _, err := New(s, 1, &recorder{}); err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("%s: error %v does not name it", key, err)
		}
	}
}

// TestRulesHoldUnderRandomEvents checks the rules that bind one instance on random but legal events.
func TestRulesHoldUnderRandomEvents(t *testing.T) {
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 1))
		s := settings()
		s.MayCancel, s.HedgedRequests = seed%2 == 0, seed%3 == 0
		s.Classes[book].KeyScope = []KeyScope{KeyScopeCell, KeyScopeZone, KeyScopeAll}[seed%3]
		d := start(t, s, 8)
		if seed >= 30 {
			d.b.scanLimit = 0 // draws from the pools alone
		}
		type state struct {
			class, out, answers int
			deadline            time.Duration
			mayRun              *sent
			runAt               time.Duration
		}
		reqs := map[RequestID]*state{}
		told := map[EndpointID]bool{}
		at := struct{ sent, fails, refusals int }{}
		sentAt := map[sent]time.Duration{}
		var open []sent
		check := func() {
			for ; at.sent < len(d.sent); at.sent++ {
				x := d.sent[at.sent]
				r := reqs[x.id]
				r.out++
				sentAt[x] = d.now
				open = append(open, x)
				switch {
				case r.answers > 0:
					t.Fatalf("seed %d: %v sent after its final answer", seed, x)
				case r.out > 1:
					t.Fatalf("seed %d: %v: two attempts out at once", seed, x)
				case told[x.to]:
					t.Fatalf("seed %d: %v sent to an endpoint that drains or is gone", seed, x)
				case r.mayRun != nil && r.class == pay:
					t.Fatalf("seed %d: %v: unsafe, may have run, sent again", seed, x)
				case r.mayRun != nil && r.class == book && s.Classes[book].KeyScope == KeyScopeCell && (x.to-1)/2 != (r.mayRun.to-1)/2:
					t.Fatalf("seed %d: %v: keyed, left its cell", seed, x)
				case r.mayRun != nil && r.class == book && d.now-r.runAt > s.Classes[book].KeyWindow:
					t.Fatalf("seed %d: %v: keyed, past its window", seed, x)
				}
			}
			for ; at.fails < len(d.fails); at.fails++ {
				reqs[d.fails[at.fails]].answers++
			}
			for ; at.refusals < len(d.refusals); at.refusals++ {
				r := reqs[d.refusals[at.refusals]]
				r.answers++
				if r.mayRun != nil && (r.class == pay || r.class == book && s.Classes[book].KeyScope != KeyScopeAll) {
					t.Fatalf("seed %d: %s refused though it may have run", seed, d.refusals[at.refusals])
				}
			}
		}
		for range 3000 {
			switch rng.IntN(6) {
			case 0, 1:
				d.n++
				id, class := RequestID(fmt.Sprint("q", d.n)), rng.IntN(3)
				left := time.Duration(1+rng.IntN(1500)) * ms
				reqs[id] = &state{class: class, deadline: d.now + left}
				d.b.HandleRequest(d.now, Request{ID: id, Class: class, TimeLeft: left})
			case 2, 3:
				if len(open) > 0 {
					i := rng.IntN(len(open))
					x := open[i]
					open = slices.Delete(open, i, i+1)
					r := reqs[x.id]
					r.out--
					status := []Status{StatusOK, StatusOK, StatusOK, StatusOK, StatusOK, StatusError, StatusRejected, StatusTimeout, StatusConnectFailed, StatusReset}[rng.IntN(10)]
					if !status.NeverRan() && status != StatusOK && r.mayRun == nil {
						r.mayRun, r.runAt = &x, sentAt[x]
					}
					final := r.answers > 0 || status == StatusOK
					if status == StatusOK {
						r.answers++
					}
					d.b.HandleOutcome(d.now, Outcome{
						ID: x.id, Endpoint: x.to, Attempt: x.attempt, Final: final, Status: status,
						Elapsed: d.now - sentAt[x],
					})
				}
			case 4:
				id := EndpointID(1 + rng.IntN(8))
				st := EndpointState(rng.IntN(3))
				told[id] = st != EndpointReady
				d.list(ListEntry{Endpoint: id, Cell: int(id-1) / 2, State: st, StartedAt: time.Duration(rng.IntN(2)) * d.now})
			}
			check()
			d.pass(time.Duration(rng.IntN(3)) * 10 * ms)
			check()
			// What is out at its deadline times out there, as the host trims it.
			for i := 0; i < len(open); i++ {
				x := open[i]
				if r := reqs[x.id]; d.now >= r.deadline {
					open = slices.Delete(open, i, i+1)
					i--
					r.out--
					if r.mayRun == nil {
						r.mayRun, r.runAt = &x, sentAt[x]
					}
					d.b.HandleOutcome(d.now, Outcome{ID: x.id, Endpoint: x.to, Attempt: x.attempt, Final: r.answers > 0, Status: StatusTimeout})
					check()
				}
			}
			for id, r := range reqs {
				if r.answers > 1 || r.answers == 0 && d.now > r.deadline+20*ms {
					t.Fatalf("seed %d: %s has %d final answers past its deadline", seed, id, r.answers)
				}
				if r.answers > 0 && r.out == 0 {
					delete(reqs, id)
				}
			}
		}
	}
}

// The same events and seed must give the same actions.
func TestDeterminism(t *testing.T) {
	run := func() []sent {
		d := start(t, settings(), 9)
		d.serve(300, func(to EndpointID) Status {
			if to == 4 {
				return StatusReset
			}
			return StatusOK
		})
		return d.sent
	}
	if !slices.Equal(run(), run()) {
		t.Error("two runs of the same events differ")
	}
}

// An instance that ends sends nothing that it could hardly answer, and says when its successor serves.
func TestLeavingRefusesWhatComesTooLate(t *testing.T) {
	s := settings()
	s.MaxRetryAfter = 5 * time.Second
	d := start(t, s, 4)
	d.serve(100, nil) // 20 ms each
	d.ask(pay)
	out := d.last()
	endsAt := d.now + 200*ms
	d.b.ShutDownAt(d.now, endsAt)
	ask := func(idle int) (sends, refusals int) {
		d.n++
		sends, refusals = len(d.sent), len(d.refusals)
		d.b.HandleRequest(d.now, Request{ID: RequestID(fmt.Sprint("r", d.n)), Class: read, TimeLeft: 1500 * ms, IdleConnections: idle})
		return len(d.sent) - sends, len(d.refusals) - refusals
	}
	if sends, _ := ask(minIdleConnections); sends != 1 {
		t.Error("in good time: not sent")
	}
	if sends, refusals := ask(minIdleConnections - 1); sends != 0 || refusals != 1 {
		t.Errorf("with hardly a connection idle: %d sends, %d refusals", sends, refusals)
	}
	d.pass(180 * ms)
	if sends, refusals := ask(minIdleConnections); sends != 0 || refusals != 1 {
		t.Errorf("too late: %d sends, %d refusals", sends, refusals)
	}
	if got, want := d.advice[len(d.advice)-1], endsAt+seconds(successorDelay)-d.now; got != want {
		t.Errorf("told to come back after %v, the successor serves after %v", got, want)
	}
	d.pass(20 * ms)
	sends := len(d.sent)
	d.end(out, StatusCancelled, 200*ms)
	if len(d.sent) != sends || len(d.fails) != 1 || d.fails[0] != out.id {
		t.Errorf("what was out at the end: %d more sends, failed %v", len(d.sent)-sends, d.fails)
	}
}

// Where others serve on, clients come back as soon as the queue is worked off, and may find no connection here.
func TestLeavingAmongOthers(t *testing.T) {
	s := settings()
	s.Instances, s.MaxRetryAfter = 2, 5*time.Second
	d := start(t, s, 4)
	d.serve(100, nil)
	sends := len(d.sent)
	d.b.ShutDownAt(d.now, d.now+200*ms)
	d.ask(read)
	if len(d.sent) != sends+1 {
		t.Error("in good time: not sent")
	}
	d.pass(190 * ms)
	d.ask(read)
	if len(d.refusals) != 1 || d.advice[0] >= time.Second {
		t.Errorf("too late: refused %v, told to come back after %v", d.refusals, d.advice)
	}
}

// A single call that is overdue by far is sent again where such calls are seldom answered late, and left alone
// where they were only slow.
func TestStrayCallIsSentAgainUnlessCallsAreSlow(t *testing.T) {
	for _, slow := range []int{0, 4} {
		d := start(t, settings(), 4)
		d.serve(200, nil)
		overdue := func(tails float64) sent {
			d.ask(read)
			call, c := d.last(), d.b.classes[read]
			for end := d.now + seconds(tails*c.latency.tailRatio*c.latency.mean); d.now < end; {
				d.serve(1, nil)
			}
			d.pass(10 * ms)
			return call
		}
		for range slow {
			call := overdue((lostTails + overdueTails) / 2)
			d.end(call, StatusOK, 10*ms)
		}
		call := overdue(1.2 * overdueTails)
		if got, want := len(d.cancels) == 1 && d.cancels[0].id == call.id, slow == 0; got != want {
			t.Errorf("after %d slow calls: withdrawn %v", slow, d.cancels)
		}
	}
}

// Callers who come all at once are held for the endpoints that work them off in no time, after a start and after a
// quiet hour; and while no answer at all comes, only for as long as one could say that none was to be expected.
func TestCrowd(t *testing.T) {
	for _, quiet := range []time.Duration{0, time.Minute} {
		d := start(t, settings(), 8)
		work := func() { // off what is out, a millisecond each
			for n := 0; n < len(d.sent); n++ {
				if n%8 == 0 {
					d.now += ms
				}
				d.end(d.sent[n], StatusOK, ms)
			}
			d.sent = nil
		}
		if quiet > 0 {
			for range 200 {
				d.ask(read)
				work()
			}
			d.pass(quiet)
		}
		for range 3 {
			for range 1000 {
				d.ask(read)
			}
			work()
			d.pass(200 * ms)
		}
		if len(d.refusals) > 0 || len(d.b.requests) > 0 {
			t.Errorf("after %v: %d of 3,000 were refused, %d are left", quiet, len(d.refusals), len(d.b.requests))
		}
	}
	d := start(t, settings(), 8)
	for range 1000 {
		d.ask(read)
	}
	d.pass(1100 * ms) // silence, for longer than the rate's window
	d.ask(read)
	if n := len(d.b.pending); n > 8 {
		t.Errorf("%d are held at endpoints that answer nothing", n)
	}
}

// Where more is asked for than the endpoints can do, a queue of two seconds' work is held and the rest refused at
// once.
func TestOverloadIsRefusedEarly(t *testing.T) {
	s := settings()
	s.Classes[read].LatencyTarget, s.Classes[read].Deadline = time.Minute, 2*time.Minute
	d := start(t, s, 4)
	const took = 100 * ms
	type due struct {
		sent
		at time.Duration
	}
	var out []due
	most := 0
	for step := range 4000 { // 8 s of 1,000 requests a second at 4 endpoints, one call each at a time: 40 a second
		d.n++
		d.b.HandleRequest(d.now, Request{ID: RequestID(fmt.Sprint("r", d.n)), Class: read, TimeLeft: time.Minute})
		d.n++
		d.b.HandleRequest(d.now, Request{ID: RequestID(fmt.Sprint("r", d.n)), Class: read, TimeLeft: time.Minute})
		for _, x := range d.sent {
			at := d.now + took
			for _, o := range out {
				if o.to == x.to {
					at = max(at, o.at+took)
				}
			}
			out = append(out, due{x, at})
		}
		d.sent = nil
		out = slices.DeleteFunc(out, func(x due) bool {
			if x.at <= d.now {
				d.end(x.sent, StatusOK, x.at-d.now+took)
				return true
			}
			return false
		})
		d.pass(2 * ms)
		if step > 1000 {
			most = max(most, len(d.b.pending))
		}
	}
	if most > 150 {
		t.Errorf("%d were held at a tier that does 40 a second", most)
	}
}

// Of many calls that turn slow at once no more are called off than may be sent again: the others' answers are near.
func TestNoMoreIsCalledOffThanTheBudget(t *testing.T) {
	d := start(t, settings(), 64)
	d.serve(400, nil)
	d.sent = nil
	for range 80 {
		d.ask(book)
	}
	out := len(d.sent)
	for i := range 8 { // later ones are answered, so that the others look lost
		d.end(d.sent[out-1-i], StatusOK, 20*ms)
	}
	d.pass(400 * ms)
	if len(d.cancels) == 0 {
		t.Fatal("none was called off: nothing is tested")
	}
	if n := len(d.cancels); float64(n) > maxRetryBudget {
		t.Errorf("%d were called off, %v may be sent again", n, maxRetryBudget)
	}
	for _, x := range d.cancels {
		d.end(x.of(d.recorder), StatusCancelled, 400*ms)
	}
	if len(d.fails) > 0 {
		t.Errorf("%d failed", len(d.fails))
	}
}

// of is the attempt that was called off.
func (x sent) of(h *recorder) sent {
	for _, s := range h.sent {
		if s.id == x.id && s.attempt == x.attempt {
			return s
		}
	}
	return x
}

// What is remembered of a request binds it: a key goes only into its group while that drops repeats, what may have run
// and cannot be repeated is failed at once, and neither holds up others.
func TestEarlierLives(t *testing.T) {
	at := func(d *bed) time.Duration { return d.now - time.Second }
	ask := func(d *bed, class int, e PriorAttempt) RequestID {
		d.n++
		id := RequestID(fmt.Sprint("r", d.n))
		d.b.HandleRequest(d.now, Request{ID: id, Class: class, TimeLeft: 1500 * ms, Prior: e})
		return id
	}
	d := start(t, settings(), 8)
	d.serve(200, nil)
	for range 50 {
		ask(d, book, PriorAttempt{MayHaveRun: true, Cell: 2, SentAt: at(d)})
		if s := d.last(); s.to != 5 && s.to != 6 {
			t.Fatalf("a repeat went to endpoint %d, outside of its cell", s.to)
		}
		d.end(d.last(), StatusOK, 20*ms)
	}
	for name, x := range map[string]struct {
		class int
		e     PriorAttempt
	}{
		"the window is over":      {book, PriorAttempt{MayHaveRun: true, Cell: 2, SentAt: d.now - 5*time.Second}},
		"unsafe":                  {pay, PriorAttempt{MayHaveRun: true, SentAt: at(d)}},
		"unsafe, and was served":  {pay, PriorAttempt{MayHaveRun: true, Served: true, SentAt: at(d)}},
		"served, and window over": {book, PriorAttempt{MayHaveRun: true, Served: true, SentAt: d.now - time.Minute}},
	} {
		sends, fails, refusals := len(d.sent), len(d.fails), len(d.refusals)
		ask(d, x.class, x.e)
		if len(d.sent) != sends || len(d.fails) != fails+1 || len(d.refusals) != refusals {
			t.Errorf("%s: %d sends, %d failures, %d refusals", name, len(d.sent)-sends, len(d.fails)-fails, len(d.refusals)-refusals)
		}
	}
	sends := len(d.sent)
	ask(d, read, PriorAttempt{MayHaveRun: true, SentAt: at(d)})
	if len(d.sent) != sends+1 {
		t.Error("a safe one was not sent")
	}
	// Nobody of its cell is listed: it waits, and those behind it do not.
	ask(d, book, PriorAttempt{MayHaveRun: true, Cell: 99, SentAt: at(d)})
	other := d.ask(book)
	if d.last().id != other {
		t.Error("a repeat whose cell has gone held up another")
	}
	// Where all drop repeats a refusal promises what is so, but not once the window is over.
	s := settings()
	s.Classes[book].KeyScope = KeyScopeAll
	d = start(t, s, 2)
	ask(d, book, PriorAttempt{MayHaveRun: true, SentAt: d.now - time.Minute})
	if len(d.refusals) > 0 || len(d.fails) != 1 {
		t.Errorf("%v were refused, %v failed", d.refusals, d.fails)
	}
}

// Endpoints that turn all away, or are not there, get no more from many instances than from few: each learns that
// for itself, and each goes on with the next at once.
func TestAttemptsInVainDoNotGrowWithTheInstances(t *testing.T) {
	const endpoints, perSecond, length = 16, 400, 4 * time.Second
	for _, status := range []Status{StatusRejected, StatusConnectFailed} {
		for _, instances := range []int{2, 8, 40, 200} {
			var all []*bed
			for i := range instances {
				s := settings()
				s.Instances, s.Ordinal = instances, i
				d := start(t, s, endpoints)
				d.b.rng = rand.New(rand.NewPCG(uint64(i), 1)) // else all draw the same
				all = append(all, d)
			}
			sums := map[EndpointID]int{}
			for n := range int(length.Seconds() * perSecond) {
				all[n%instances].ask(read)
				for _, d := range all {
					for len(d.sent) > 0 {
						s := d.sent[0]
						d.sent = d.sent[1:]
						sums[s.to]++
						d.end(s, status, ms)
					}
					d.pass(time.Second / perSecond)
				}
			}
			most := 0
			for _, n := range sums {
				most = max(most, n)
			}
			// A call for each second, what is allowed in flight at first (initialCallsPerEndpoint, and the slack of each instance),
			// and chance: they are drawn.
			if mean := length.Seconds() + initialCallsPerEndpoint + float64(instances)*(concurrencySlack+rejectionReserve)/endpoints; float64(most) > 2*mean+6 {
				t.Errorf("%v, %d instances: %d attempts at one endpoint in %v, %.0f on average allowed", status, instances, most, length, mean)
			}
			if len(sums) == 0 {
				t.Errorf("%v, %d instances: no attempts", status, instances)
			}
		}
	}
}

// What breaks breaks for many instances at once: the lists that they ask for then do not grow with their number.
func TestListsAreAskedForByLot(t *testing.T) {
	for instances, want := range map[int][2]int{8: {8, 8}, 200: {4, 40}} {
		asked := 0
		for i := range instances {
			s := settings()
			s.Instances, s.Ordinal = instances, i
			d := start(t, s, 16)
			d.b.rng = rand.New(rand.NewPCG(uint64(i), 2))
			d.ask(read)
			d.end(d.last(), StatusReset, ms)
			asked += d.fetches
		}
		if asked < want[0] || asked > want[1] {
			t.Errorf("%d instances ask for %d lists, want %v", instances, asked, want)
		}
	}
}

// While no endpoint is warm, what ramps go by does not fade: nothing could renew it. It fades as soon as one is.
func TestRampsKeepTheirMeasureWhileNoneIsWarm(t *testing.T) {
	d := start(t, settings(), 2)
	for range 200 {
		d.ask(read)
		d.end(d.last(), StatusOK, 10*ms)
		d.pass(10 * ms)
	}
	before := d.b.warmSendRate.peak(d.now, d.b.rateWindow)
	for id := EndpointID(1); id <= 2; id++ {
		d.list(ListEntry{Endpoint: id, Weight: 1, StartedAt: d.now})
	}
	d.ask(read) // it keeps the ticks going
	d.pass(3 * time.Second)
	if !d.b.noneAvailable {
		t.Error("ramps are held as if others could take their calls")
	}
	if after := d.b.warmSendRate.peak(d.now, d.b.rateWindow); after < 0.95*before {
		t.Errorf("%.1f a second, %.1f before the endpoints started anew", after, before)
	}
	d.end(d.last(), StatusOK, 10*ms)
	d.list(ListEntry{Endpoint: 3, Weight: 1})
	kept := d.b.warmSendRate.peak(d.now, d.b.rateWindow)
	d.pass(3 * time.Second)
	if d.b.noneAvailable {
		t.Error("ramps go on as if there were no warm endpoint")
	}
	if after := d.b.warmSendRate.peak(d.now, d.b.rateWindow); after > 0.7*kept {
		t.Errorf("%.1f a second after 3 s with a warm one that is sent nothing, %.1f before", after, kept)
	}
}

// A call that goes to an isolated endpoint for want of any other, before its trial is due, does not put the trial off.
func TestCallsForWantOfOthersPutNoTrialOff(t *testing.T) {
	d := start(t, settings(), 1)
	d.ask(read)
	d.end(d.last(), StatusReset, ms)
	e := d.b.endpointsByID[1]
	due := e.trialAt
	for range 3 { // those of the further attempts
		if d.last().to != 1 || d.now >= due {
			t.Fatalf("sent to %d at %v, trial due %v", d.last().to, d.now, due)
		}
		d.end(d.last(), StatusConnectFailed, ms)
	}
	if e.trialAt != due {
		t.Errorf("the trial is due %v later", e.trialAt-due)
	}
	d.now = due + ms
	d.ask(read)
	d.end(d.last(), StatusConnectFailed, ms)
	if e.trialAt <= due {
		t.Error("a trial that failed does not put the next one off")
	}
}
