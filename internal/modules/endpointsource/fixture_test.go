package endpointsource

import (
	"slices"
	"strings"
	"testing"
	"time"

	"quincegap/internal/balancer"
)

// driver plays events into a Merger and keeps what the balancer would know.
type driver struct {
	tb    testing.TB
	m     *Merger
	now   time.Duration
	knows map[string]Endpoint // the balancer's list, by the lists that it was given
	lists int
}

// drive makes a Merger with the settings that are the default.
func drive(tb testing.TB, mode Mode) *driver {
	tb.Helper()
	set := *SettingsTable.Default()
	set.Mode = mode
	return &driver{tb: tb, m: New(set, []string{"z"}, nil), knows: map[string]Endpoint{}}
}

// given takes in what the balancer is given.
func (d *driver) given(list List, changed bool) {
	d.tb.Helper()
	if !changed {
		return
	}
	d.lists++
	if list.Kind != balancer.ListDelta {
		clear(d.knows)
	}
	for _, e := range list.Endpoints {
		if e.State == balancer.EndpointRemoved {
			if _, ok := d.knows[e.UID]; !ok {
				d.tb.Errorf("%s is published as removed, and was never published", e.UID)
			}
			delete(d.knows, e.UID)
		} else {
			d.knows[e.UID] = e
		}
	}
}

// at moves to a time, with all ticks that are due on the way.
func (d *driver) at(now time.Duration) {
	for n := 0; ; n++ {
		due, ok := d.m.NextTick()
		if !ok || due > now {
			break
		}
		if n > 10000 {
			d.tb.Fatal("ticks without end")
		}
		d.now = max(d.now, due)
		d.given(d.m.Tick(d.now))
	}
	d.now = now
}

// platform brings a list of the platform's.
func (d *driver) platform(kind balancer.ListKind, es ...Endpoint) {
	d.given(d.m.HandlePlatformList(d.now, List{Kind: kind, Endpoints: es}))
}

// consul brings an answer of Consul's.
func (d *driver) consul(answer ConsulAnswer) {
	answer.UnixMS = 1000 + d.now.Milliseconds()
	d.given(d.m.HandleConsulAnswer(d.now, answer))
}

// state is what the balancer knows, as "a b- c": a minus for draining, a question mark for a recent start.
func (d *driver) state() string {
	var all []string
	for uid, e := range d.knows {
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

// want checks what the balancer knows.
func (d *driver) want(state string) {
	d.tb.Helper()
	if got := d.state(); got != state {
		d.tb.Fatalf("at %v the balancer knows %q, want %q", d.now, got, state)
	}
}

// ep is a healthy endpoint, as Consul has it.
func ep(uid string) Endpoint {
	return Endpoint{UID: uid, Address: uid + ":1", Weight: 1, WeightShare: 1, StartUnknown: true, RegistrationIndex: 5}
}

// critical is an endpoint with a failing check.
func critical(uid string) Endpoint {
	e := ep(uid)
	e.State, e.Reason = balancer.EndpointDraining, "check is critical"
	return e
}

// eps are healthy endpoints.
func eps(uids ...string) (all []Endpoint) {
	for _, u := range uids {
		all = append(all, ep(u))
	}
	return all
}

// letters are the first n uids.
func letters(n int) (uids []string) {
	for i := range n {
		uids = append(uids, string(rune('a'+i)))
	}
	return uids
}
