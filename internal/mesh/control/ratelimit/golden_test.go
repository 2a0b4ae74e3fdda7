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

// The messages have the same encoding as in other versions of the program, and that encoding is decoded.
func TestGoldenMessages(t *testing.T) {
	request := TokenRequest{
		Tenant:         "tenant-1",
		Tokens:         12.5,
		Demand:         40.25,
		FallbackShare:  3.75,
		ShareRemaining: 9 * time.Second,
		UnusedTokens:   1.5,
	}
	requests := AllocationRequest{
		Sidecar:             "10.0.0.3:7301",
		Incarnation:         0xfedcba9876543210,
		Requests:            []TokenRequest{request, {Tenant: "tenant-2"}},
		Forwarded:           true,
		HighestFencingToken: 4_000_001,
	}
	grant := TokenGrant{
		Tenant:         "tenant-1",
		Tokens:         12,
		FallbackShare:  4.5,
		ShareRemaining: 10 * time.Second,
		RetryAfter:     120 * time.Millisecond,
	}
	grants := AllocationReply{
		Granted:      true,
		FencingToken: 4_000_002,
		Allocator:    "10.0.0.1:7401",
		Grants:       []TokenGrant{grant, {Tenant: "tenant-2"}},
	}
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

// Allocators and sidecars of different versions must use the same values of these constants.
func TestSharedValues(t *testing.T) {
	c := qt.New(t)
	c.Check([]time.Duration{
		tokenValidity, unresponsiveAfter, shareLease, forgetAfter, sumInterval, sweepInterval,
	}, qt.DeepEquals, []time.Duration{
		450 * time.Millisecond, 300 * time.Millisecond, 10 * time.Second, 20 * time.Second, 100 * time.Millisecond, time.Second,
	})
	c.Check([]time.Duration{
		maxRequestInterval, urgentInterval, renewInterval, idleTimeout, replyTimeout, waitTimeout, firstWaitTimeout, minRetryAfter,
		maxRetryAfter, maxDenial,
	}, qt.DeepEquals, []time.Duration{
		200 * time.Millisecond, 15 * time.Millisecond, 2 * time.Second, 10 * time.Second,
		60 * time.Millisecond, 60 * time.Millisecond, 250 * time.Millisecond, 30 * time.Millisecond, 2 * time.Second, 100 * time.Millisecond,
	})
	c.Check([]time.Duration{prefetchSpan, demandSpan, longTermSpan, maxFallbackRetryAfter}, qt.DeepEquals, []time.Duration{
		300 * time.Millisecond, time.Second,
		8 * time.Second, 250 * time.Millisecond,
	})
	c.Check([]float64{
		evenFraction, initialOverageFraction, maxFallbackTokens, initialShareFraction, ratioFraction, slackFraction,
	}, qt.DeepEquals, []float64{
		0.2, 0.25, 2, 0.08, 0.4, 0.6,
	})
	c.Check([]int{maxSidecars, maxWaiters, windowSlots}, qt.DeepEquals, []int{8192, 1024, 20})
}

// goldenRun simulates three sidecars that request tokens for two tenants. Messages are delayed or lost; the allocator is down for
// some time, and then a new one starts. The run records each decision and each message, with numbers to six decimal places.
type goldenRun struct {
	rng       *rand.Rand
	now       time.Duration
	allocator *Allocator
	lastSeen  LastSeen
	caches    []*TokenCache
	messages  []goldenRunMessage
	events    []string // records of the decisions and messages of the current step
	admitted  int
	rejected  int
}

type goldenRunMessage struct {
	arrivesAt, sent time.Duration
	sidecar         int
	request         *AllocationRequest
	reply           *AllocationReply // nil while the message is a request
}

// goldenLimits are the limits of the two tenants, by name.
var goldenLimits = map[string]Limit{"even": {Rate: 60, Burst: 20, Overage: 30}, "slow": {Rate: 2, Burst: 4, Overage: 1}}

func goldenLimit(tenant string) (Limit, bool) {
	limit, ok := goldenLimits[tenant]
	return limit, ok
}

func newGoldenRun(seed uint64) *goldenRun {
	run := &goldenRun{rng: rand.New(rand.NewPCG(seed, 7)), allocator: NewAllocator(0, seed%2 == 0, goldenLimit)}
	for range 3 {
		cache := NewTokenCache(1)
		cache.SetSidecarCount(3)
		run.caches = append(run.caches, cache)
	}
	return run
}

// record adds a decision or a message to the events of the current step.
func (g *goldenRun) record(format string, args ...any) {
	g.events = append(g.events, fmt.Sprintf(format, args...))
}

// request sends a client's request to a sidecar.
func (g *goldenRun) request(sidecar int, tenant string) {
	g.caches[sidecar].Admit(g.now, tenant, goldenLimits[tenant], func(ok bool, retryAfter time.Duration) {
		if ok {
			g.admitted++
		} else {
			g.rejected++
		}
		g.record("%d %s %v %v", sidecar, tenant, ok, retryAfter.Round(time.Microsecond))
	})
}

// send sends a message with a random delay of up to 19 ms, or loses it: one message in 20 on average.
func (g *goldenRun) send(message goldenRunMessage) {
	if g.rng.IntN(20) == 0 {
		return
	}
	message.arrivesAt = g.now + time.Duration(g.rng.IntN(20))*time.Millisecond
	g.messages = append(g.messages, message)
}

// deliver delivers the messages that have arrived, and sends the allocator's replies.
func (g *goldenRun) deliver() {
	due := g.messages
	g.messages = nil
	for _, message := range due {
		cache := g.caches[message.sidecar]
		switch {
		case message.arrivesAt > g.now:
			g.messages = append(g.messages, message)
		case message.reply != nil:
			g.record("%d took %v", message.sidecar, cache.HandleReply(g.now, message.sent, message.reply))
		case g.now >= 4*time.Second && g.now < 6*time.Second: // there is no allocator
			cache.HandleFailure(g.now)
		default:
			message.reply = g.reply(message.sidecar, message.request)
			g.send(message)
		}
	}
}

// reply returns the allocator's reply to a sidecar's request.
func (g *goldenRun) reply(sidecar int, request *AllocationRequest) *AllocationReply {
	grants := g.allocator.Allocate(g.now, request)
	for _, grant := range grants {
		g.record("%d %s granted %.6f %.6f %v %v", sidecar, grant.Tenant, grant.Tokens, grant.FallbackShare, grant.ShareRemaining,
			grant.RetryAfter.Round(time.Microsecond))
	}
	return &AllocationReply{Granted: true, FencingToken: 1 + uint64(g.now/(6*time.Second)), Grants: grants}
}

// step simulates 5 ms. The caller sorts the events of a step, because the order of tenants within it is random.
func (g *goldenRun) step() {
	g.now += 5 * time.Millisecond
	if g.now == 6*time.Second {
		g.allocator = NewAllocator(g.now, false, goldenLimit)
	}
	members := []string{"0", "1", "2"}
	if g.now >= 5*time.Second && g.now < 8*time.Second {
		members = members[1:]
	}
	recent := g.lastSeen.Update(g.now, members)
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
			g.sendRequests(i, requests)
		}
		g.record("%d reached %v, waiting %v, newest %d of %v", i, cache.Reached(g.now), cache.HasWaiters(), cache.HighestFencingToken(), recent)
	}
}

// sendRequests sends a sidecar's token requests in one message, sorted by tenant.
func (g *goldenRun) sendRequests(sidecar int, requests []TokenRequest) {
	slices.SortFunc(requests, func(a, b TokenRequest) int { return strings.Compare(a.Tenant, b.Tenant) })
	for _, request := range requests {
		g.record("%d %s wants %.6f %.6f %.6f %.6f %v", sidecar, request.Tenant, request.Tokens, request.Demand, request.FallbackShare,
			request.UnusedTokens, request.ShareRemaining)
	}
	request := &AllocationRequest{Sidecar: fmt.Sprint(sidecar), Incarnation: 1, Requests: requests}
	g.send(goldenRunMessage{sent: g.now, sidecar: sidecar, request: request})
}

// A run of caches and allocators, and a run of a retry budget, have the same results for the same seed as in earlier versions.
func TestGoldenRuns(t *testing.T) {
	var text strings.Builder
	for seed := range uint64(8) {
		run := newGoldenRun(seed)
		digest := sha256.New()
		for run.now < 20*time.Second {
			run.step()
			slices.Sort(run.events)
			digest.Write(fmt.Appendln(nil, run.now, strings.Join(run.events, "\n")))
			run.events = nil
		}
		fmt.Fprintf(&text, "seed %d: decisions %x, %d admitted, %d refused, next draw %d\n", seed, digest.Sum(nil)[:8], run.admitted,
			run.rejected, run.rng.Uint64())
	}
	for seed := range uint64(4) {
		rng := rand.New(rand.NewPCG(seed, 8))
		budget := NewRetryBudget(10 * time.Second)
		taken := 0
		digest := sha256.New()
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
