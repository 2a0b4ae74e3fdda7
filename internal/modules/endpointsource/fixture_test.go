package endpointsource

import (
	"slices"
	"strings"
	"testing"
	"time"

	"quincegap/internal/balancer"
)

// driver sends events to a Merger and applies what it publishes.
type driver struct {
	tb        testing.TB
	merger    *Merger
	now       time.Duration
	published map[string]Endpoint // balancer's list, by uid
	lists     int                 // number of published lists
}

// newDriver returns a driver of a Merger in the given mode, with otherwise default settings.
func newDriver(tb testing.TB, mode Mode) *driver {
	tb.Helper()
	set := *SettingsTable.Default()
	set.Mode = mode
	return &driver{tb: tb, merger: New(set, []string{"z"}, nil), published: map[string]Endpoint{}}
}

// apply applies a list that the Merger has returned, unless changed is false.
func (d *driver) apply(list List, changed bool) {
	d.tb.Helper()
	if !changed {
		return
	}
	d.lists++
	if list.Kind != balancer.ListDelta {
		clear(d.published)
	}
	for _, e := range list.Endpoints {
		if e.State == balancer.EndpointRemoved {
			if _, ok := d.published[e.UID]; !ok {
				d.tb.Errorf("endpoint %s is published as removed but was not published before", e.UID)
			}
			delete(d.published, e.UID)
		} else {
			d.published[e.UID] = e
		}
	}
}

// advanceTo advances the clock to now, and calls Tick whenever it is due.
func (d *driver) advanceTo(now time.Duration) {
	for n := 0; ; n++ {
		due, ok := d.merger.NextTick()
		if !ok || due > now {
			break
		}
		if n > 10000 {
			d.tb.Fatal("more than 10000 ticks are due before the time to advance to")
		}
		d.now = max(d.now, due)
		d.apply(d.merger.Tick(d.now))
	}
	d.now = now
}

// platform passes a list of the platform to the Merger.
func (d *driver) platform(kind balancer.ListKind, es ...Endpoint) {
	d.apply(d.merger.HandlePlatformList(d.now, List{Kind: kind, Endpoints: es}))
}

// consul passes an answer of Consul to the Merger.
func (d *driver) consul(answer ConsulAnswer) {
	answer.UnixMS = 1000 + d.now.Milliseconds()
	d.apply(d.merger.HandleConsulAnswer(d.now, answer))
}

// state returns the balancer's list in the form "a b- c?", with a minus after draining endpoints and a question mark after endpoints with
// a start time.
func (d *driver) state() string {
	var all []string
	for uid, e := range d.published {
		if e.State != balancer.EndpointReady {
			uid += "-"
		}
		if e.StartedMS > 0 {
			uid += "?"
		}
		all = append(all, uid)
	}
	slices.Sort(all)
	return strings.Join(all, " ")
}

// want checks that the balancer's list is state, in the form of driver.state.
func (d *driver) want(state string) {
	d.tb.Helper()
	if got := d.state(); got != state {
		d.tb.Fatalf("at %v the balancer has the endpoints %q, want %q", d.now, got, state)
	}
}

// endpointOf returns a healthy endpoint as Consul lists it.
func endpointOf(uid string) Endpoint {
	return Endpoint{UID: uid, Address: uid + ":1", Weight: 1, WeightShare: 1, StartUnknown: true, RegistrationIndex: 5}
}

// critical returns an endpoint with a failing check.
func critical(uid string) Endpoint {
	e := endpointOf(uid)
	e.State, e.Reason = balancer.EndpointDraining, "check is critical"
	return e
}

// endpointsOf returns healthy endpoints.
func endpointsOf(uids ...string) (all []Endpoint) {
	for _, u := range uids {
		all = append(all, endpointOf(u))
	}
	return all
}

// firstUIDs returns the first n uids: a, b, c and so on.
func firstUIDs(n int) (uids []string) {
	for i := range n {
		uids = append(uids, string(rune('a'+i)))
	}
	return uids
}
