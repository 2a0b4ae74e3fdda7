package balancer

import (
	"testing"
	"time"
)

// With many instances, each has only a call or two in flight, and a limit of these cannot prevent that all endpoints of a tier are
// saturated. Latencies far above the normal ones have to slow down the calls.
func TestPressurePacesCallsWhereInstancesOutnumberEndpoints(t *testing.T) {
	sends := func(instances int, latency time.Duration) int {
		s := settings()
		s.Instances = instances
		f := start(t, s, 10)
		sentBefore := 0
		for i := range 240 {
			if i == 40 {
				sentBefore = len(f.sent)
			}
			sent := len(f.sent)
			f.request(read)
			if len(f.sent) > sent {
				if i > 40 {
					f.finish(f.last(), StatusOK, latency)
				} else {
					f.finish(f.last(), StatusOK, 100*ms)
				}
			}
			f.advance(100 * ms)
		}
		return len(f.sent) - sentBefore
	}
	if n := sends(100, 100*ms); n != 200 {
		t.Errorf("%d of 200 requests sent to a tier at its normal latency, want all", n)
	}
	if n := sends(100, 700*ms); n > 150 {
		t.Errorf("%d of 200 requests sent while calls take seven times as long, want far fewer", n)
	}
	if n := sends(10, 700*ms); n < 190 {
		t.Errorf("%d of 200 requests sent by one of few instances, want nearly all", n)
	}
}
