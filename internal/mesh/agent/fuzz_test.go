package agent

import (
	"net"
	"testing"
	"time"

	"github.com/gravitational/trace"

	"quincegap/internal/mesh/discovery"
)

// Any body of a keepalive is rejected, or describes an endpoint within its bounds.
func FuzzParseKeepalive(f *testing.F) {
	f.Add([]byte(`{"serviceName":"s","address":"10.0.0.4:8080","zone":"z","slotCount":8,"callSequence":1,"state":"in_service","coldRemaining":"1s"}`))
	f.Add([]byte(`{"serviceName":"s","address":"10.0.0.4:8080","slotCount":1e300,"callSequence":9223372036854775807,"state":"draining"}`))
	f.Add([]byte(`{"serviceName":"s","address":"[::1]:1","slotCount":0.5,"callSequence":-0,"state":"in_service","coldRemaining":"2562047h"}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		endpoint, err := ParseKeepalive("id", body)
		if err != nil {
			if !trace.IsBadParameter(err) {
				t.Fatalf("error %q of type %T, want a bad parameter", err, err)
			}
			return
		}
		if endpoint.ID != "id" || endpoint.Service == "" || len(endpoint.Service) > maxTextBytes || len(endpoint.Zone) > maxTextBytes {
			t.Fatalf("endpoint %+v", endpoint)
		}
		if _, _, err := net.SplitHostPort(endpoint.AppAddress); err != nil || len(endpoint.AppAddress) > maxTextBytes {
			t.Fatalf("address %q: %v", endpoint.AppAddress, err)
		}
		if endpoint.Slots < 0 || endpoint.Slots > maxSlots || endpoint.WarmupRemaining < 0 || endpoint.WarmupRemaining > time.Hour {
			t.Fatalf("%d slots, warm-up %v", endpoint.Slots, endpoint.WarmupRemaining)
		}
		if endpoint.State != discovery.Serving && endpoint.State != discovery.Draining {
			t.Fatalf("state %v", endpoint.State)
		}
	})
}
