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
	m         *Merger
	now       time.Duration
	published map[string]Endpoint // the balancer's list, by uid
	lists     int                 // how many lists were published
}

// newDriver returns a driver of a Merger with the default settings and a mode.
func newDriver(tb testing.TB, mode Mode) *driver {
	tb.Helper()
	set := *SettingsTable.Default()
	set.Mode = mode
	return &driver{tb: tb, m: New(set, []string{"z"}, nil), published: map[string]Endpoint{}}
}

// apply applies a list that the Merger has returned, if it has changed something.
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
				d.tb.Errorf("%s is published as removed, and was never published", e.UID)
			}
			delete(d.published, e.UID)
		} else {
			d.published[e.UID] = e
		}
	}
}

// advanceTo moves to a time, with all ticks that are due before.
func (d *driver) advanceTo(now time.Duration) {
	for n := 0; ; n++ {
		due, ok := d.m.NextTick()
		if !ok || due > now {
			break
		}
		if n > 10000 {
			d.tb.Fatal("there is no end of ticks")
		}
		d.now = max(d.now, due)
		d.apply(d.m.Tick(d.now))
	}
	d.now = now
}

// platform sends a list of the platform.
func (d *driver) platform(kind balancer.ListKind, es ...Endpoint) {
	d.apply(d.m.HandlePlatformList(d.now, List{Kind: kind, Endpoints: es}))
}

// consul sends an answer of Consul.
func (d *driver) consul(answer ConsulAnswer) {
	answer.UnixMS = 1000 + d.now.Milliseconds()
	d.apply(d.m.HandleConsulAnswer(d.now, answer))
}

// state returns the balancer's list, as "a b- c?": a minus for draining, a question mark for a recent start.
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

// want checks the balancer's list.
func (d *driver) want(state string) {
	d.tb.Helper()
	if got := d.state(); got != state {
		d.tb.Fatalf("at %v the balancer has %q, want %q", d.now, got, state)
	}
}

// endpointOf returns a healthy endpoint, as Consul has it.
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

// firstUIDs returns n uids, from a on.
func firstUIDs(n int) (uids []string) {
	for i := range n {
		uids = append(uids, string(rune('a'+i)))
	}
	return uids
}
