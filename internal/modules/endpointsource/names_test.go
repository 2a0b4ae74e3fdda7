package endpointsource

import (
	"fmt"
	"strings"
	"testing"

	"quincegap/internal/balancer"
)

// What cannot be used is passed over and named; what is known of it otherwise stays, or goes where Consul has
// changed it.
func TestUnusableEntries(t *testing.T) {
	none, noUID, unknown := ep("none"), ep(""), ep("unknown")
	none.Address, unknown.State, unknown.Reason = "nowhere", StateUnknown, "Melting"
	d := drive(t, ModePlatform)
	d.platform(balancer.ListFull, ep("a"), none, noUID, unknown)
	d.want("a")
	logs := strings.Join(d.m.TakeLogs(), "\n")
	for _, want := range []string{`"none" passed over: state "ready", endpoint "nowhere"`, `"" passed over`, `state "Melting"`} {
		if !strings.Contains(logs, want) {
			t.Errorf("%s lacks %s", logs, want)
		}
	}
	bad := ep("a")
	bad.Address = "nowhere"
	d.platform(balancer.ListDelta, bad)
	d.want("a")
	bad.State = balancer.EndpointDraining // for which no address is needed
	d.platform(balancer.ListDelta, bad)
	d.want("a-")

	// The names of zones and of models are bounded, over all sources and for good.
	d = drive(t, ModeConsul)
	var all []Endpoint
	for n := range maxNames + 10 {
		e := ep(fmt.Sprintf("e%03d", n))
		e.Zone = fmt.Sprint("zone ", n)
		all = append(all, e)
	}
	d.consul(ConsulAnswer{Changed: all})
	if len(d.knows) != maxNames-1 { // one is the settings'
		t.Errorf("%d are known", len(d.knows))
	}
	moved := all[0]
	moved.Zone = "one more"
	d.consul(ConsulAnswer{Changed: []Endpoint{moved}, KnownBefore: len(all)})
	if e, ok := d.knows[moved.UID]; ok {
		t.Errorf("it goes on as %+v though it is elsewhere", e)
	}
	moved.Zone = "z"
	d.consul(ConsulAnswer{Changed: []Endpoint{moved}, KnownBefore: len(all)})
	if _, ok := d.knows[moved.UID]; !ok {
		t.Error("it came back and is not known")
	}
}
