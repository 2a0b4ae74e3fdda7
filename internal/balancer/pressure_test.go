package balancer

import (
	"testing"
	"time"
)

// At full size an instance has a call or two in flight: a tier filled up, every endpoint was saturated, and no limit
// on calls in flight held anything back. Latency far over what it should be must slow the calls.
func TestPressurePacesCallsWhereInstancesOutnumberEndpoints(t *testing.T) {
	sends := func(instances int, took time.Duration) int {
		s := settings()
		s.Instances = instances
		f := start(t, s, 10)
		at := 0
		for i := range 240 {
			if i == 40 {
				at = len(f.sent)
			}
			n := len(f.sent)
			f.ask(read)
			if len(f.sent) > n {
				if i > 40 {
					f.end(f.last(), StatusOK, took)
				} else {
					f.end(f.last(), StatusOK, 100*ms)
				}
			}
			f.pass(100 * ms)
		}
		return len(f.sent) - at
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
