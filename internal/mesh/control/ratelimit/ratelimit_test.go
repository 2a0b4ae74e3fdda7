package ratelimit

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A tenant asks for many times its limit at ten sidecars while any of them are cut off and come back, requests and answers are
// late or lost, and the duty moves to another allocator that knows nothing: in no window of five seconds is more let in than the
// rules allow, and while all are in touch and the duty stays, no less than the rate.
func TestLimitHoldsWhoeverIsCutOff(t *testing.T) {
	limit := Limit{Rate: 100, Burst: 100, Overage: 80}
	for seed := range uint64(100) {
		rng := rand.New(rand.NewPCG(seed, 1))
		const n, over = 10, 40 * time.Second
		limits := func(string) (Limit, bool) { return limit, true }
		allocator := NewAllocator(0, true, limits)
		var names []string
		for i := range n {
			names = append(names, strconv.Itoa(i))
		}
		allocator.SetSidecars(names)
		type mail struct {
			at, sent time.Duration
			to       int // sidecar; -1 allocator
			from     int
			requests *AllocationRequest
			grants   *AllocationReply
		}
		var post []mail
		caches := make([]*TokenCache, n)
		cut := make([]time.Duration, n)
		for i := range caches {
			caches[i] = NewTokenCache()
		}
		var let []time.Duration
		trouble, away := seed%4 != 0, time.Duration(0)
		for now := time.Duration(0); now < over; now += 5 * time.Millisecond {
			if trouble && rng.IntN(200) == 0 {
				cut[rng.IntN(n)] = now + time.Duration(rng.IntN(12000))*time.Millisecond
			}
			// The duty moves: its holder has stopped before, and a lease lasts a second and a half.
			if trouble && rng.IntN(1000) == 0 && now > away+1500*time.Millisecond {
				away = now + time.Duration(100+rng.IntN(2000))*time.Millisecond
				allocator = NewAllocator(away, false, limits)
				allocator.SetSidecars(names)
			}
			slices.SortStableFunc(post, func(a, b mail) int { return int(a.at - b.at) })
			for len(post) > 0 && post[0].at <= now {
				m := post[0]
				post = post[1:]
				switch {
				case cut[m.from] > now:
				case m.to < 0 && now < away:
				case m.to < 0:
					post = append(post, mail{
						at: now + time.Duration(rng.IntN(20))*time.Millisecond, sent: m.sent, to: m.from,
						from: m.from, grants: &AllocationReply{Granted: true, Grants: allocator.Allocate(now, m.requests)},
					})
				default:
					caches[m.to].HandleReply(now, m.sent, m.grants)
				}
			}
			for i, p := range caches {
				if rng.Float64() < 0.4 { // 80 a second at each
					p.Admit(now, "t", limit, func(ok bool, _ time.Duration) {
						if ok {
							let = append(let, now)
						}
					})
				}
				if w, due := p.Tick(now); due {
					post = append(post, mail{
						at: now + time.Duration(rng.IntN(20))*time.Millisecond, sent: now, to: -1, from: i,
						requests: &AllocationRequest{Sidecar: names[i], Incarnation: 1, Requests: w},
					})
				}
				if now-p.lastSent > replyTimeout*2 && p.inFlight {
					p.HandleFailure(now)
				}
			}
		}
		most, first := 0, 0
		for i := range let {
			for let[i]-let[first] > 5*time.Second {
				first++
			}
			most = max(most, i-first+1)
		}
		if bound := (limit.Rate*5+limit.Burst)*1.1 + 20; float64(most) > bound {
			t.Errorf("seed %d: %d let in within five seconds, %v allowed", seed, most, bound)
		}
		if least := limit.Rate * over.Seconds() * 0.95; !trouble && float64(len(let)) < least {
			t.Errorf("seed %d: %d let in, %v is owed", seed, len(let), least)
		}
	}
}

func TestRepeatsKeepToTheirPart(t *testing.T) {
	c := qt.New(t)
	r := NewRetryBudget(10 * time.Second)
	took := 0
	for i := range 1000 {
		now := time.Duration(i) * 10 * time.Millisecond
		r.CountRequest(now)
		if r.Acquire(now, 0.2, 58, 14) {
			took++
		}
	}
	c.Assert(took <= 1000/5, qt.IsTrue)
	c.Assert(took >= 60, qt.IsTrue)
	c.Assert(r.Acquire(time.Minute, 0.2, 58, 14), qt.IsTrue) // a part of the slack is always there
}
