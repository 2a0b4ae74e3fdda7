package balancer

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func TestEveryRequestIsAnsweredBeforeItsDeadline(t *testing.T) {
	f := start(t, settings(), 0)
	id := f.ask(read)
	f.pass(1500 * ms)
	if !slices.Equal(f.rejections, []RequestID{id}) {
		t.Errorf("rejected %v, want %s: there is no endpoint", f.rejections, id)
	}
	f = start(t, settings(), 2)
	f.b.HandleRequest(f.now, Request{ID: "late", TimeLeft: 0})
	if len(f.rejections) != 1 || len(f.sent) > 0 {
		t.Errorf("rejected %v, sent %v for a request with no time left", f.rejections, f.sent)
	}
}

// Crowded endpoints saturate: the excess waits here, and what cannot be served in time is rejected early.
func TestBurstIsPendingAndRejectedEarly(t *testing.T) {
	f := start(t, settings(), 2)
	f.serve(200, nil)
	at := len(f.sent)
	for range 200 {
		f.ask(read)
	}
	if out := len(f.sent) - at; out > 20 {
		t.Errorf("%d of a burst of 200 were sent at once to 2 endpoints", out)
	}
	f.pass(1100 * ms)
	if len(f.rejections) < 100 {
		t.Errorf("%d rejected by their target, want nearly all", len(f.rejections))
	}
}

// A rejected client is advised when to come back: once what is pending now has been answered, and never later than
// it would heed.
func TestRejectionsSayWhenToRetry(t *testing.T) {
	s := settings()
	s.MaxRetryAfter = 2 * time.Second
	for _, burst := range []int{200, 4000} {
		f := start(t, s, 2)
		f.serve(200, nil)
		for range burst {
			f.ask(read)
		}
		f.pass(250 * ms) // until it is known how many are worked off: none
		rate := f.b.servedRate.value(f.now, f.b.rateWindow)
		if len(f.rejections) == 0 {
			t.Fatalf("nothing of a burst of %d was rejected", burst)
		}
		queue := seconds(float64(len(f.b.pending)) / rate)
		for _, after := range f.advice {
			if after > s.MaxRetryAfter || after < min(queue, s.MaxRetryAfter) {
				t.Fatalf("of a burst of %d: come back after %v, want %v to work off what is pending", burst, after, queue)
			}
		}
	}
	f := start(t, s, 2)
	f.b.HandleRequest(f.now, Request{ID: "late", Class: read})
	if !slices.Equal(f.advice, []time.Duration{0}) {
		t.Errorf("advice %v where no rate is known yet", f.advice)
	}
}

// Pending requests go by what they add to the site's goal: by value, and for a class that is served worst by that.
func TestValuableClassGoesFirstUnlessTheWorstServedCountsMore(t *testing.T) {
	released := func(worstClass float64) (first [3]int) {
		s := settings()
		s.Classes[pay].Value, s.TotalValueWeight, s.WorstClassWeight = 5, 1, worstClass
		f := start(t, s, 1)
		class := map[RequestID]int{}
		for i := range 60 { // both are known, and read is served a little worse
			f.end(sent{id: f.ask(pay), to: 1}, StatusOK, 100*ms)
			f.ask(read)
			f.end(f.last(), StatusOK, 100*ms)
			if i%10 == 0 {
				f.b.countRequest(f.b.classes[read])
			}
			f.pass(100 * ms)
		}
		for range 40 {
			class[f.ask(read)] = read
			class[f.ask(pay)] = pay
		}
		at := len(f.sent)
		for _, x := range slices.Clone(f.b.listed[0].calls) {
			f.end(sent{id: x.id, to: 1}, StatusOK, 100*ms)
		}
		for _, x := range f.sent[at:] {
			first[class[x.id]]++
		}
		return first
	}
	if n := released(0); n[pay] == 0 || n[read] > 0 {
		t.Errorf("released %d valuable calls and %d others by value alone, want valuable ones only", n[pay], n[read])
	}
	if n := released(50); n[read] == 0 || n[pay] > 0 {
		t.Errorf("released %d valuable calls and %d of the class served worst, want the latter only", n[pay], n[read])
	}
}

// Clients that try again at once are not new: what had elapsed for retries, where their time left shows it, is
// taken for those that do not show it. Served as if new, they filled a tier with calls past their target.
func TestRetriesThatCannotMeetTheirTargetGiveWay(t *testing.T) {
	f := start(t, settings(), 2)
	f.serve(200, nil)
	f.b.HandleRequest(f.now, Request{ID: "first", Class: book, TimeLeft: 3 * time.Second})
	f.end(f.last(), StatusOK, 20*ms)
	for i := range 50 {
		f.b.HandleRequest(f.now, Request{ID: RequestID(fmt.Sprint("shown", i)), Class: book, TimeLeft: 1300 * ms, Retry: true})
		f.end(f.last(), StatusOK, 20*ms)
	}
	for range 60 {
		f.ask(read)
	}
	refused := len(f.rejections)
	f.b.HandleRequest(f.now, Request{ID: "repeat", TimeLeft: 1500 * ms, Retry: true})
	if got := f.rejections[refused:]; !slices.Equal(got, []RequestID{"repeat"}) {
		t.Errorf("rejected %v on a full tier, want the retry at once", got)
	}
}

// Callers who come all at once wait for the endpoints that work them off in no time, after a start and after a
// quiet hour; and while no answer at all comes, only for as long as one could say that none was to be expected.
func TestCrowd(t *testing.T) {
	for _, quiet := range []time.Duration{0, time.Minute} {
		f := start(t, settings(), 8)
		if quiet > 0 {
			for range 200 {
				f.ask(read)
				f.workOff()
			}
			f.pass(quiet)
		}
		for range 3 {
			f.askMany(1000)
			f.workOff()
			f.pass(200 * ms)
		}
		if len(f.rejections) > 0 || len(f.b.requests) > 0 {
			t.Errorf("after %v: %d of 3,000 were rejected, %d are left", quiet, len(f.rejections), len(f.b.requests))
		}
	}
	f := start(t, settings(), 8)
	f.askMany(1000)
	f.pass(1100 * ms) // no response, for longer than the rate's window
	f.ask(read)
	if n := len(f.b.pending); n > 8 {
		t.Errorf("%d are pending at endpoints that answer nothing", n)
	}
}

// askMany brings so many requests at once.
func (f *fixture) askMany(n int) {
	for range n {
		f.ask(read)
	}
}

// workOff serves all that is sent until nothing more is, eight in a millisecond.
func (f *fixture) workOff() {
	for n := 0; n < len(f.sent); n++ {
		if n%8 == 0 {
			f.now += ms
		}
		f.end(f.sent[n], StatusOK, ms)
	}
	f.sent = nil
}

// Where more is asked for than the endpoints can do, a queue of two seconds' work waits and the rest is rejected at
// once.
func TestOverloadIsRejectedEarly(t *testing.T) {
	s := settings()
	s.Classes[read].LatencyTarget, s.Classes[read].Deadline = time.Minute, 2*time.Minute
	f := start(t, s, 4)
	const took = 100 * ms
	type due struct {
		sent
		at time.Duration
	}
	var out []due
	most := 0
	for step := range 4000 { // 8 s of 1,000 requests a second at 4 endpoints, one call each at a time: 40 a second
		f.n++
		f.b.HandleRequest(f.now, Request{ID: RequestID(fmt.Sprint("r", f.n)), Class: read, TimeLeft: time.Minute})
		f.n++
		f.b.HandleRequest(f.now, Request{ID: RequestID(fmt.Sprint("r", f.n)), Class: read, TimeLeft: time.Minute})
		for _, x := range f.sent {
			at := f.now + took
			for _, o := range out {
				if o.to == x.to {
					at = max(at, o.at+took)
				}
			}
			out = append(out, due{x, at})
		}
		f.sent = nil
		out = slices.DeleteFunc(out, func(x due) bool {
			if x.at <= f.now {
				f.end(x.sent, StatusOK, x.at-f.now+took)
				return true
			}
			return false
		})
		f.pass(2 * ms)
		if step > 1000 {
			most = max(most, len(f.b.pending))
		}
	}
	if most > 150 {
		t.Errorf("%d were pending at a tier that does 40 a second", most)
	}
}
