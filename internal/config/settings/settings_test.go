package settings

import (
	"testing"
	"time"
)

func TestParseLoad(t *testing.T) {
	l, err := ParseLoad("inflight=7, queue=2,latency_ms=20,novelty=1", "=")
	if err != nil || l.InFlight != 7 || l.Queue != 2 || l.Utilization != -1 || l.ServiceTime != 20*time.Millisecond {
		t.Errorf("got %+v, %v", l, err)
	}
	for _, text := range []string{"", "queue", "queue=x", "queue:1"} {
		if l, err := ParseLoad(text, "="); err == nil || l != nil {
			t.Errorf("%q: a report out of nothing: %+v", text, l)
		}
	}
}

// What only the sidecar needs is read beside what the Balancer does.
func TestParse(t *testing.T) {
	s, unknown, err := Parse([]byte(`{"allowed":{"connIdle":30000000,"openCap":7,"maxRetryAfter":2000000,"retryAfter":true},
		"discovery":"push","models":["m"],"zones":["y","z"],"rules":{"graceToAnswer":20000},"novelty":1}`))
	if err != nil || len(unknown) != 1 || unknown[0] != "novelty" {
		t.Fatal(unknown, err)
	}
	if s.ConnIdle != 30*time.Second || s.OpenCap != 7 || s.GraceToAnswer != 20*time.Millisecond ||
		s.MaxRetryAfter != 2*time.Second || len(s.Zones) != 2 || len(s.Models) != 1 {
		t.Errorf("got %+v", s)
	}
}
