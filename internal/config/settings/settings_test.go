package settings

import (
	"testing"
	"time"
)

func TestParseLoad(t *testing.T) {
	l, err := ParseLoad("inflight=7, queue=2,latency_ms=20,novelty=1", "=")
	if err != nil || l.InFlight != 7 || l.Queue != 2 || l.Utilization != -1 || l.ServiceTime != 20*time.Millisecond {
		t.Errorf("load report: got %+v, %v, want 7 in flight, a queue of 2, no utilization (-1) and a service time of 20ms", l, err)
	}
	for _, text := range []string{"", "queue", "queue=x", "queue:1"} {
		if l, err := ParseLoad(text, "="); err == nil || l != nil {
			t.Errorf("invalid load report %q: got %+v, want an error", text, l)
		}
	}
}

// Settings that only the sidecar needs are read along with those of the Balancer.
func TestParse(t *testing.T) {
	s, unknown, err := Parse([]byte(`{"allowed":{"connIdle":30000000,"openCap":7,"maxRetryAfter":2000000,"retryAfter":true},
		"discovery":"push","models":["m"],"zones":["y","z"],"rules":{"graceToAnswer":20000},"novelty":1}`))
	if err != nil || len(unknown) != 1 || unknown[0] != "novelty" {
		t.Fatalf("parse settings: error %v, unknown keys %q; want no error and novelty", err, unknown)
	}
	if s.ConnIdle != 30*time.Second || s.OpenCap != 7 || s.GraceToAnswer != 20*time.Millisecond ||
		s.MaxRetryAfter != 2*time.Second || len(s.Zones) != 2 || len(s.Models) != 1 {
		t.Errorf("settings for the sidecar: got %+v", s)
	}
}
