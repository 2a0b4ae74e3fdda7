package endpointsource

import (
	"fmt"
	"strings"
	"testing"

	"quincegap/internal/balancer"
)

// Entries that cannot be used are ignored and logged. The entry before is kept, or dropped if it was Consul's.
func TestUnusableEntries(t *testing.T) {
	none, noUID, unknown := endpointOf("none"), endpointOf(""), endpointOf("unknown")
	none.Address, unknown.State, unknown.Reason = "nowhere", StateUnknown, "Melting"
	driver := newDriver(t, ModePlatform)
	driver.platform(balancer.ListFull, endpointOf("a"), none, noUID, unknown)
	driver.want("a")
	logs := strings.Join(driver.m.TakeLogs(), "\n")
	for _, want := range []string{`"none" passed over: state "ready", endpoint "nowhere"`, `"" passed over`, `state "Melting"`} {
		if !strings.Contains(logs, want) {
			t.Errorf("%s lacks %s", logs, want)
		}
	}
	bad := endpointOf("a")
	bad.Address = "nowhere"
	driver.platform(balancer.ListDelta, bad)
	driver.want("a")
	bad.State = balancer.EndpointDraining // needs no address
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
	if len(driver.published) != maxNames-1 { // one name is in the settings
		t.Errorf("%d are published", len(driver.published))
	}
	moved := all[0]
	moved.Zone = "one more"
	driver.consul(ConsulAnswer{Changed: []Endpoint{moved}, KnownBefore: len(all)})
	if e, ok := driver.published[moved.UID]; ok {
		t.Errorf("it stays published as %+v after it has moved", e)
	}
	moved.Zone = "z"
	driver.consul(ConsulAnswer{Changed: []Endpoint{moved}, KnownBefore: len(all)})
	if _, ok := driver.published[moved.UID]; !ok {
		t.Error("it is usable again and not published")
	}
}
