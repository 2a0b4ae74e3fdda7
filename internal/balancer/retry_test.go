package balancer

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func TestNonIdempotentIsNeverSentTwice(t *testing.T) {
	f := start(t, settings(), 3)
	id := f.ask(pay)
	f.end(f.last(), StatusError, ms)
	if len(f.sent) != 1 || !slices.Equal(f.fails, []RequestID{id}) || len(f.rejections) > 0 {
		t.Errorf("sent %v, failed %v, rejected %v; want one send, then failed", f.sent, f.fails, f.rejections)
	}
	f.ask(pay)
	first := f.last()
	f.end(first, StatusRejected, ms)
	if again := f.last(); again.id != first.id || again.attempt != 1 || again.to == first.to {
		t.Errorf("after a call that never ran: %v, want a second attempt elsewhere", again)
	}
}

func TestIdempotencyKeyStaysInItsCellAndWindow(t *testing.T) {
	f := start(t, settings(), 6)
	f.ask(book)
	first := f.last()
	f.end(first, StatusError, ms)
	if again := f.last(); again.attempt != 1 || (again.to-1)/2 != (first.to-1)/2 {
		t.Fatalf("retry %v of %v left the cell", again, first)
	}
	s := settings()
	s.Classes[book].KeyWindow = 100 * ms
	f = start(t, s, 6)
	id := f.ask(book)
	f.pass(200 * ms)
	f.end(f.last(), StatusError, 200*ms)
	f.pass(3 * time.Second)
	if len(f.sent) != 1 || !slices.Equal(f.fails, []RequestID{id}) || len(f.rejections) > 0 {
		t.Errorf("sent %v, failed %v, rejected %v; want no retry past the window, then failed", f.sent, f.fails, f.rejections)
	}
}

// Retries that an outage sets off must not multiply the load.
func TestRetryBudget(t *testing.T) {
	f := start(t, settings(), 4)
	got := f.serve(500, func(EndpointID) Status { return StatusError })
	total := 0
	for _, n := range got {
		total += n
	}
	if total > 500+maxRetryBudget+1 {
		t.Errorf("%d sends for 500 requests that all fail", total)
	}
}

// What is remembered of a request binds it: a key goes only into its group while that drops repeats, what may have run
// and cannot be repeated is failed at once, and neither holds up others.
func TestPriorAttempts(t *testing.T) {
	at := func(f *fixture) time.Duration { return f.now - time.Second }
	ask := func(f *fixture, class int, e PriorAttempt) {
		f.n++
		id := RequestID(fmt.Sprint("r", f.n))
		f.b.HandleRequest(f.now, Request{ID: id, Class: class, TimeLeft: 1500 * ms, Prior: e})
	}
	f := start(t, settings(), 8)
	f.serve(200, nil)
	for range 50 {
		ask(f, book, PriorAttempt{MayHaveRun: true, Cell: 2, SentAt: at(f)})
		if s := f.last(); s.to != 5 && s.to != 6 {
			t.Fatalf("a retry went to endpoint %d, outside of its cell", s.to)
		}
		f.end(f.last(), StatusOK, 20*ms)
	}
	for name, x := range map[string]struct {
		class int
		e     PriorAttempt
	}{
		"the window is over":             {book, PriorAttempt{MayHaveRun: true, Cell: 2, SentAt: f.now - 5*time.Second}},
		"not idempotent":                 {pay, PriorAttempt{MayHaveRun: true, SentAt: at(f)}},
		"not idempotent, and was served": {pay, PriorAttempt{MayHaveRun: true, Served: true, SentAt: at(f)}},
		"served, and window over":        {book, PriorAttempt{MayHaveRun: true, Served: true, SentAt: f.now - time.Minute}},
	} {
		sends, fails, rejections := len(f.sent), len(f.fails), len(f.rejections)
		ask(f, x.class, x.e)
		if len(f.sent) != sends || len(f.fails) != fails+1 || len(f.rejections) != rejections {
			t.Errorf("%s: %d sends, %d failures, %d rejections", name, len(f.sent)-sends, len(f.fails)-fails, len(f.rejections)-rejections)
		}
	}
	sends := len(f.sent)
	ask(f, read, PriorAttempt{MayHaveRun: true, SentAt: at(f)})
	if len(f.sent) != sends+1 {
		t.Error("an idempotent one was not sent")
	}
	// Nobody of its cell is listed: it waits, and those behind it do not.
	ask(f, book, PriorAttempt{MayHaveRun: true, Cell: 99, SentAt: at(f)})
	other := f.ask(book)
	if f.last().id != other {
		t.Error("a retry whose cell has gone held up another")
	}
	// Where all drop repeats a rejection promises what is so, but not once the window is over.
	s := settings()
	s.Classes[book].KeyScope = KeyScopeAll
	f = start(t, s, 2)
	ask(f, book, PriorAttempt{MayHaveRun: true, SentAt: f.now - time.Minute})
	if len(f.rejections) > 0 || len(f.fails) != 1 {
		t.Errorf("%v were rejected, %v failed", f.rejections, f.fails)
	}
}

// A call with an idempotency key that may have run goes to its cell's other endpoint, the one of 10,000 that is permitted, and nowhere else
// while that one is full.
func TestOnePermittedOfTenThousand(t *testing.T) {
	for _, instances := range []int{1, 40} {
		t.Run(fmt.Sprint(instances, " instances"), func(t *testing.T) {
			s := settings()
			s.Instances, s.Ordinal = instances, instances/2
			f := start(t, s, 10_000)
			for range 20 {
				f.serve(30, func(EndpointID) Status { return StatusOK })
				retryInCell(t, f)
				f.pass(2000 * ms)
			}
		})
	}
}

// retryInCell brings a request with an idempotency key whose attempt may have run, and checks where it is retried.
func retryInCell(t *testing.T, f *fixture) {
	t.Helper()
	peer := func(e EndpointID) EndpointID { return (e - 1) ^ 1 + 1 } // the other of its cell
	at := len(f.sent)
	f.ask(book)
	if len(f.sent) != at+1 {
		t.Fatal("it was not sent")
	}
	first := f.sent[at]
	f.end(first, StatusReset, 10*ms)
	f.pass(300 * ms)
	if len(f.sent) != at+2 || f.sent[at+1].to != peer(first.to) {
		t.Fatalf("after endpoint %d it went to %v; %v", first.to, f.sent[at+1:], f.logs)
	}
	f.end(f.sent[at+1], StatusRejected, ms)
	f.pass(100 * ms)
	for _, x := range f.sent[at+2:] {
		if x.to != first.to && x.to != peer(first.to) {
			t.Fatalf("out of its cell, from endpoint %d to %d", first.to, x.to)
		}
	}
	for _, x := range f.sent[at+2:] {
		f.end(x, StatusOK, 10*ms)
	}
}
