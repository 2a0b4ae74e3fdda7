package balancer

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The capacity of endpoints is not known in advance. An endpoint that becomes much slower than the others is saturated, and the limit
// on calls in flight falls.
func TestSaturatedEndpointShrinksTheQueue(t *testing.T) {
	sentOfBurst := func(latencyOfFirst time.Duration) int {
		fixture := start(t, settings(), 16)
		for i := range 2400 {
			fixture.request(read)
			call := fixture.last()
			latency := 100 * ms
			if call.to == 1 && i < 1800 {
				latency = latencyOfFirst
			}
			fixture.finish(call, StatusOK, latency)
			fixture.advance(4 * ms)
		}
		before := len(fixture.sent)
		fixture.requestMany(100)
		return len(fixture.sent) - before
	}
	if equal, saturated := sentOfBurst(100*ms), sentOfBurst(500*ms); saturated >= equal {
		t.Errorf("%d of a burst of 100 sent after one endpoint was saturated, %d without, want fewer", saturated, equal)
	}
}

// The first answers are those of the shortest calls. With a base latency from these alone, nearly all requests would be rejected.
func TestFirstShortAnswersDoNotSetTheLimit(t *testing.T) {
	fixture := start(t, settings(), 10)
	for i := range 40 {
		fixture.request(read)
		fixture.finish(fixture.last(), StatusOK, time.Duration(1+i%3)*ms)
	}
	before := len(fixture.sent)
	fixture.requestMany(40)
	if n := len(fixture.sent) - before; n < 40 {
		t.Errorf("%d of 40 requests sent at once to 10 endpoints, want all", n)
	}
}

// Stuck calls lower the rate of answers. Without a minimum, the limit would fall with the rate and never recover.
func TestLimitRecoversFromStuckCalls(t *testing.T) {
	fixture := start(t, settings(), 6)
	fixture.serveRequests(100, nil)
	fixture.advance(30 * time.Second)
	before := len(fixture.sent)
	fixture.requestMany(6)
	if n := len(fixture.sent) - before; n < 6 {
		t.Errorf("%d of 6 requests sent 30 s after the last answer, want all", n)
	}
}

// Endpoints that reject all calls or are unreachable get no more attempts from many instances than from few, although each instance
// has to learn their state by its own attempts, and repeats each rejected attempt at another endpoint at once.
func TestRejectedAttemptsDoNotGrowWithTheInstances(t *testing.T) {
	const endpoints, perSecond, length = 16, 400, 4 * time.Second
	for _, status := range []Status{StatusRejected, StatusConnectFailed} {
		for _, instances := range []int{2, 8, 40, 200} {
			all := startInstances(t, instances, endpoints)
			attempts := map[EndpointID]int{}
			for n := range int(length.Seconds() * perSecond) {
				all[n%instances].request(read)
				for _, fixture := range all {
					fixture.finishAll(status, attempts)
					fixture.advance(time.Second / perSecond)
				}
			}
			if len(attempts) == 0 {
				t.Errorf("status %v, %d instances: no endpoint got an attempt", status, instances)
				continue
			}
			maxAttempts := slices.Max(slices.Collect(maps.Values(attempts)))
			// On average, an endpoint gets an attempt per second, plus the attempts that may be in flight initially, which are
			// initialCallsPerEndpoint and the slack of each instance. As endpoints are drawn at random, one may get more.
			mean := length.Seconds() + initialCallsPerEndpoint + float64(instances)*(concurrencySlack+rejectionReserve)/endpoints
			if float64(maxAttempts) > 2*mean+6 {
				t.Errorf(
					"status %v, %d instances: %d attempts at one endpoint in %v, want at most twice the mean %.0f, and 6",
					status, instances, maxAttempts, length, mean,
				)
			}
		}
	}
}

// startInstances starts all instances of a tier, each with its own random generator.
func startInstances(t *testing.T, instances, endpoints int) (all []*fixture) {
	t.Helper()
	for i := range instances {
		config := settings()
		config.Instances, config.Ordinal = instances, i
		fixture := start(t, config, endpoints)
		fixture.balancer.rng = rand.New(rand.NewPCG(uint64(i), 1))
		all = append(all, fixture)
	}
	return all
}

// finishAll finishes all attempts with a status, including those that are sent meanwhile. It adds their numbers by endpoint to
// attempts.
func (f *fixture) finishAll(status Status, attempts map[EndpointID]int) {
	for len(f.sent) > 0 {
		a := f.sent[0]
		f.sent = f.sent[1:]
		attempts[a.to]++
		f.finish(a, status, ms)
	}
}
