package ratelimit

import (
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"quincegap/internal/golden"
	"quincegap/internal/mesh/transport/codec"
)

// Messages are encoded as other versions encode them, and theirs are read.
func TestGoldenMessages(t *testing.T) {
	request := TokenRequest{Tenant: "tenant-1", Tokens: 12.5, Demand: 40.25, FallbackShare: 3.75, ShareRemaining: 9 * time.Second, UnusedTokens: 1.5}
	requests := AllocationRequest{
		Sidecar: "10.0.0.3:7301", Incarnation: 0xfedcba9876543210, Requests: []TokenRequest{request, {Tenant: "tenant-2"}},
		Forwarded: true, HighestFencingToken: 4_000_001,
	}
	grant := TokenGrant{Tenant: "tenant-1", Tokens: 12, FallbackShare: 4.5, ShareRemaining: 10 * time.Second, RetryAfter: 120 * time.Millisecond}
	grants := AllocationReply{Granted: true, FencingToken: 4_000_002, Allocator: "10.0.0.1:7401", Grants: []TokenGrant{grant, {Tenant: "tenant-2"}}}
	for _, message := range []struct {
		name         string
		value, empty codec.Message
	}{
		{"token-request", &request, &TokenRequest{}},
		{"token-requests", &requests, &AllocationRequest{}},
		{"token-grant", &grant, &TokenGrant{}},
		{"token-grants", &grants, &AllocationReply{}},
	} {
		t.Run(message.name, func(t *testing.T) {
			file := "message-" + message.name + ".hex"
			golden.Hex(t, file, codec.MarshalAppend(nil, message.value))
			qt.Assert(t, codec.Unmarshal(golden.Read(t, file), message.empty), qt.IsNil)
			qt.Assert(t, message.empty, qt.DeepEquals, message.value)
		})
	}
}

// What allocators and sidecars of two versions must agree on.
func TestSharedValues(t *testing.T) {
	c := qt.New(t)
	c.Check([]time.Duration{tokenValidity, unresponsiveAfter, shareLease, forgetAfter, sumInterval, sweepInterval}, qt.DeepEquals, []time.Duration{
		450 * time.Millisecond, 300 * time.Millisecond, 10 * time.Second, 20 * time.Second, 100 * time.Millisecond, time.Second,
	})
	c.Check([]time.Duration{
		heartbeatInterval, urgentInterval, renewInterval, idleTimeout, replyTimeout, waitTimeout, firstWaitTimeout, minRetryAfter,
		maxRetryAfter, maxDenial,
	}, qt.DeepEquals, []time.Duration{
		200 * time.Millisecond, 15 * time.Millisecond, 2 * time.Second, 10 * time.Second,
		60 * time.Millisecond, 60 * time.Millisecond, 250 * time.Millisecond, 30 * time.Millisecond, 2 * time.Second, 100 * time.Millisecond,
	})
	c.Check([]time.Duration{prefetchSpan, demandSpan, longTermSpan, maxFallbackRetryAfter}, qt.DeepEquals, []time.Duration{
		300 * time.Millisecond, time.Second,
		8 * time.Second, 250 * time.Millisecond,
	})
	c.Check([]float64{evenFraction, initialOverageFraction, maxFallbackTokens, initialShareFraction, ratioFraction, slackFraction}, qt.DeepEquals, []float64{0.2, 0.25, 2, 0.08, 0.4, 0.6})
	c.Check([]int{maxSidecars, maxWaiters, windowSlots}, qt.DeepEquals, []int{8192, 1024, 20})
}

// goldenRun is a run of three sidecars that draw tokens of two tenants, whose messages are late or lost, while the allocator is away
// for a time and another follows it. It digests each decision and each message, with numbers to six places.
type goldenRun struct {
	rng       *rand.Rand
	now       time.Duration
	allocator *Allocator
	recent    LastSeen
	caches    []*TokenCache
	messages  []goldenRunMessage
	decisions []string
	admitted  int
	refused   int
}

type goldenRunMessage struct {
	arrivesAt, sent time.Duration
	sidecar         int
	requests        *AllocationRequest
	grants          *AllocationReply
}

var goldenLimits = map[string]Limit{"even": {Rate: 60, Burst: 20, Overage: 30}, "slow": {Rate: 2, Burst: 4, Overage: 1}}

func goldenLimit(tenant string) (Limit, bool) {
	limit, ok := goldenLimits[tenant]
	return limit, ok
}

func newGoldenRun(seed uint64) *goldenRun {
	x := &goldenRun{rng: rand.New(rand.NewPCG(seed, 7)), allocator: NewAllocator(0, seed%2 == 0, goldenLimit)}
	for range 3 {
		cache := NewTokenCache()
		cache.SetSidecars(3)
		x.caches = append(x.caches, cache)
	}
	return x
}

func (g *goldenRun) note(format string, args ...any) {
	g.decisions = append(g.decisions, fmt.Sprintf(format, args...))
}

func (g *goldenRun) request(i int, tenant string) {
	g.caches[i].Admit(g.now, tenant, goldenLimits[tenant], func(ok bool, back time.Duration) {
		if ok {
			g.admitted++
		} else {
			g.refused++
		}
		g.note("%d %s %v %v", i, tenant, ok, back.Round(time.Microsecond))
	})
}

func (g *goldenRun) post(m goldenRunMessage) {
	if g.rng.IntN(20) == 0 {
		return
	}
	m.arrivesAt = g.now + time.Duration(g.rng.IntN(20))*time.Millisecond
	g.messages = append(g.messages, m)
}

func (g *goldenRun) deliver() {
	due := g.messages
	g.messages = nil
	for _, message := range due {
		switch {
		case message.arrivesAt > g.now:
			g.messages = append(g.messages, message)
		case message.grants != nil:
			g.note("%d took %v", message.sidecar, g.caches[message.sidecar].HandleReply(g.now, message.sent, message.grants))
		case g.now >= 4*time.Second && g.now < 6*time.Second: // no allocator
			g.caches[message.sidecar].HandleFailure(g.now)
		default:
			message.grants = &AllocationReply{Granted: true, FencingToken: 1 + uint64(g.now/(6*time.Second)), Grants: g.allocator.Allocate(g.now, message.requests)}
			for _, tokenGrant := range message.grants.Grants {
				g.note("%d %s granted %.6f %.6f %v %v", message.sidecar, tokenGrant.Tenant, tokenGrant.Tokens, tokenGrant.FallbackShare, tokenGrant.ShareRemaining, tokenGrant.RetryAfter.Round(time.Microsecond))
			}
			g.post(message)
		}
	}
}

// step lets 5 ms pass. Where the order among tenants is by chance, the notes of a step are sorted.
func (g *goldenRun) step() {
	g.now += 5 * time.Millisecond
	if g.now == 6*time.Second {
		g.allocator = NewAllocator(g.now, false, goldenLimit)
	}
	there := []string{"0", "1", "2"}
	if g.now >= 5*time.Second && g.now < 8*time.Second {
		there = there[1:]
	}
	recent := g.recent.Update(g.now, there)
	g.allocator.SetSidecars(recent)
	g.deliver()
	for i, cache := range g.caches {
		if g.rng.IntN(7) == 0 {
			g.request(i, "even")
		}
		if g.rng.IntN(100) == 0 {
			g.request(i, "slow")
		}
		if requests, due := cache.Tick(g.now); due {
			slices.SortFunc(requests, func(a, b TokenRequest) int { return strings.Compare(a.Tenant, b.Tenant) })
			for _, q := range requests {
				g.note("%d %s wants %.6f %.6f %.6f %.6f %v", i, q.Tenant, q.Tokens, q.Demand, q.FallbackShare, q.UnusedTokens, q.ShareRemaining)
			}
			g.post(goldenRunMessage{sent: g.now, sidecar: i, requests: &AllocationRequest{Sidecar: fmt.Sprint(i), Incarnation: 1, Requests: requests}})
		}
		g.note("%d reached %v, waiting %v, newest %d of %v", i, cache.Reached(g.now), cache.HasWaiters(), cache.HighestFencingToken(), recent)
	}
}

// The same seed gives the same run of caches and allocators, and the same budget of repeats.
func TestGoldenRuns(t *testing.T) {
	var text strings.Builder
	for seed := range uint64(8) {
		x, digest := newGoldenRun(seed), sha256.New()
		for x.now < 20*time.Second {
			x.step()
			slices.Sort(x.decisions)
			digest.Write(fmt.Appendln(nil, x.now, strings.Join(x.decisions, "\n")))
			x.decisions = nil
		}
		fmt.Fprintf(&text, "seed %d: decisions %x, %d admitted, %d refused, next draw %d\n", seed, digest.Sum(nil)[:8], x.admitted, x.refused,
			x.rng.Uint64())
	}
	for seed := range uint64(4) {
		rng, budget, taken, digest := rand.New(rand.NewPCG(seed, 8)), NewRetryBudget(10*time.Second), 0, sha256.New()
		for now := time.Duration(0); now < 40*time.Second; now += 10 * time.Millisecond {
			if rng.IntN(3) > 0 {
				budget.CountRequest(now)
			}
			ok := budget.Acquire(now, 0.2, 20, 14)
			if ok {
				taken++
			}
			digest.Write(fmt.Appendln(nil, now, ok))
		}
		fmt.Fprintf(&text, "seed %d: repeats %x, %d taken\n", seed, digest.Sum(nil)[:8], taken)
	}
	golden.Text(t, "runs.txt", []byte(text.String()))
}
