package endpointsource

import (
	"fmt"
	"strings"
	"testing"

	"quincegap/internal/balancer"
)

// Unusable entries are ignored and logged. The previous entry of the endpoint is retained if the platform listed it, and dropped if Consul
// did.
func TestUnusableEntries(t *testing.T) {
	none, noUID, unknown := endpointOf("none"), endpointOf(""), endpointOf("unknown")
	none.Address, unknown.State, unknown.Reason = "nowhere", StateUnknown, "Melting"
	driver := newDriver(t, ModePlatform)
	driver.platform(balancer.ListFull, endpointOf("a"), none, noUID, unknown)
	driver.want("a")
	logs := strings.Join(driver.merger.TakeLogs(), "\n")
	for _, want := range []string{`"none" passed over: state "ready", endpoint "nowhere"`, `"" passed over`, `state "Melting"`} {
		if !strings.Contains(logs, want) {
			t.Errorf("the log %q lacks %q", logs, want)
		}
	}
	bad := endpointOf("a")
	bad.Address = "nowhere"
	driver.platform(balancer.ListDelta, bad)
	driver.want("a")
	bad.State = balancer.EndpointDraining // a draining endpoint needs no address
	driver.platform(balancer.ListDelta, bad)
	driver.want("a-")

	// The number of zones and of models is bounded, over all sources.
	driver = newDriver(t, ModeConsul)
	var all []Endpoint
	for n := range maxNames + 10 {
		e := endpointOf(fmt.Sprintf("e%03d", n))
		e.Zone = fmt.Sprint("zone ", n)
		all = append(all, e)
	}
	driver.consul(ConsulAnswer{Changed: all})
	if len(driver.published) != maxNames-1 { // one of the names is already in the settings
		t.Errorf("%d endpoints are published, want %d", len(driver.published), maxNames-1)
	}
	moved := all[0]
	moved.Zone = "one more"
	driver.consul(ConsulAnswer{Changed: []Endpoint{moved}, KnownBefore: len(all)})
	if e, ok := driver.published[moved.UID]; ok {
		t.Errorf("the endpoint is still published as %+v after it moved to a zone beyond the bound", e)
	}
	moved.Zone = "z"
	driver.consul(ConsulAnswer{Changed: []Endpoint{moved}, KnownBefore: len(all)})
	if _, ok := driver.published[moved.UID]; !ok {
		t.Error("the endpoint is not published although its entry is usable again")
	}
}
