package balancer

import (
	"testing"
	"time"
)

// With many instances, each has only one or two calls in flight, and a limit on their number cannot prevent the saturation of all
// endpoints of a tier. Latencies far above the usual ones must lower the rate of calls.
func TestPressureLimitsSendsIfInstancesOutnumberEndpoints(t *testing.T) {
	sends := func(instances int, latency time.Duration) int {
		config := settings()
		config.Instances = instances
		fixture := start(t, config, 10)
		sentBefore := 0
		for i := range 240 {
			if i == 40 {
				sentBefore = len(fixture.sent)
			}
			sent := len(fixture.sent)
			fixture.request(read)
			if len(fixture.sent) > sent {
				if i > 40 {
					fixture.finish(fixture.last(), StatusOK, latency)
				} else {
					fixture.finish(fixture.last(), StatusOK, 100*ms)
				}
			}
			fixture.advance(100 * ms)
		}
		return len(fixture.sent) - sentBefore
	}
	if n := sends(100, 100*ms); n != 200 {
		t.Errorf("%d of 200 requests sent to a tier at its usual latency, want all", n)
	}
	if n := sends(100, 700*ms); n > 150 {
		t.Errorf("%d of 200 requests sent while calls take seven times as long, want at most 150", n)
	}
	if n := sends(10, 700*ms); n < 190 {
		t.Errorf("%d of 200 requests sent by one of ten instances, want at least 190", n)
	}
}
