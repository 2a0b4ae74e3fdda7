package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"quincegap/internal/network/admin"
	"quincegap/internal/standin/booking"
	"quincegap/internal/standin/consul"
)

// countedEndpoint is an endpoint that notes when bookings come.
type countedEndpoint struct {
	*booking.Endpoint
	mu   sync.Mutex
	last time.Time // when the last booking came
	n    int
}

func startCountedEndpoint(tb testing.TB, name string) *countedEndpoint {
	tb.Helper()
	b := &countedEndpoint{}
	var err error
	b.Endpoint, err = booking.StartEndpoint(name, func(w http.ResponseWriter, r *http.Request) {
		b.mu.Lock()
		b.last = time.Now()
		b.n++
		b.mu.Unlock()
		drain(r.Body)
		write(w, name)
	})
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(b.Close)
	return b
}

func (b *countedEndpoint) count() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.n
}

// lastCame is when the last booking came.
func (b *countedEndpoint) lastCame() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.last
}

// consulRig is a stand-in Consul with boxes, a sidecar that follows it, and callers who book without pause.
type consulRig struct {
	t           testing.TB
	consul      *consul.Server
	endpoints   []*countedEndpoint
	p           *process
	admin       string
	served      atomic.Int64
	stopCallers func() // ends the callers, and checks that every booking was served
	stalls      *stalls
}

// stalls measures how long this machine keeps a goroutine waiting that has nothing to do: what a noisy machine
// does to the figures is not the sidecar's.
type stalls struct {
	mu    sync.Mutex
	worst time.Duration
}

func (s *stalls) run(done <-chan struct{}) {
	const every = 5 * time.Millisecond
	for {
		before := time.Now()
		select {
		case <-done:
			return
		case <-time.After(every):
		}
		s.mu.Lock()
		s.worst = max(s.worst, time.Since(before)-every)
		s.mu.Unlock()
	}
}

func (s *stalls) longest() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.worst
}

const consulFile = goodFile + `
[membership]
source = %q

[consul]
agents = %q
service = "slot-keeper"
pace = "20ms"
wait = "1s"

[admin]
admin_listen = %q
`

func inst(b *countedEndpoint, id string) consul.Instance {
	return consul.Instance{Node: "n", ID: id, PassingWeight: 1, WarningWeight: 1}.WithAddress(b.Target().Address)
}

func startConsulRig(tb testing.TB, n int) *consulRig {
	tb.Helper()
	tn := &consulRig{t: tb, admin: "unix:" + filepath.Join(tb.TempDir(), "s"), stalls: &stalls{}}
	var all []consul.Instance
	for i := range n {
		b := startCountedEndpoint(tb, fmt.Sprintf("box-%d", i))
		tn.endpoints = append(tn.endpoints, b)
		all = append(all, inst(b, b.Name))
	}
	var err error
	if tn.consul, err = consul.Start("", all...); err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(tn.consul.Close)
	return tn
}

func (t *consulRig) text(discovery, source string) string {
	return fmt.Sprintf(consulFile, discovery, source, t.consul.Address(), t.admin)
}

// open starts the sidecar, and callers.
func (t *consulRig) open(text string, env ...string) {
	t.t.Helper()
	t.p = launch(t.t, text, env...)
	calm := t.p.callers(3, &t.served)
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		t.stalls.run(done)
	}()
	t.stopCallers = sync.OnceFunc(func() {
		calm()
		close(done)
		<-ended
	})
	t.t.Cleanup(t.stopCallers)
}

// awaitServed waits until so many more bookings have been served.
func (t *consulRig) awaitServed(n int64) {
	t.t.Helper()
	want := t.served.Load() + n
	t.until("bookings go on", func() bool { return t.served.Load() >= want })
}

func (t *consulRig) until(what string, done func() bool) {
	t.t.Helper()
	for end := time.Now().Add(patience); !done(); time.Sleep(2 * time.Millisecond) {
		if t.t.Failed() || time.Now().After(end) {
			t.t.Fatalf("never: %s", what)
		}
	}
}

// awaitReady waits until the sidecar's view has just these ready.
func (t *consulRig) awaitReady(ids ...string) {
	t.t.Helper()
	t.until(fmt.Sprint("ready ", ids), func() bool { return slices.Equal(t.ready(), ids) })
}

func (t *consulRig) ready() (ready []string) {
	m, err := admin.AskMembers(t.t.Context(), t.admin)
	if err != nil {
		return nil
	}
	for _, r := range m.Endpoints {
		if r.State == "ready" {
			ready = append(ready, strings.TrimSuffix(r.UID, "@n"))
		}
	}
	return ready
}

// checkDrained checks that nothing new came to a box later than 250 ms after the answer that told of an index.
func (t *consulRig) checkDrained(b *countedEndpoint, index uint64) {
	t.t.Helper()
	var told time.Time
	t.until("the answer is out", func() (ok bool) { told, ok = t.consul.AnsweredAt(index); return ok })
	// Bookings that come after this would have been seen by then.
	time.Sleep(time.Until(told.Add(400 * time.Millisecond)))
	t.awaitServed(50)
	if late := b.lastCame().Sub(told); late > 250*time.Millisecond+t.stalls.longest() {
		t.t.Errorf("%s got a booking %v after the answer that told of it (the machine stalled for %v)", b.Name, late, t.stalls.longest())
	}
}

func TestConsulCheckFails(t *testing.T) {
	t.Parallel()
	tn := startConsulRig(t, 4)
	tn.open(tn.text("127.0.0.1:1", "consul"))
	tn.awaitReady("box-0", "box-1", "box-2", "box-3")
	tn.awaitServed(100)
	index := tn.consul.SetStatus("box-1", "critical")
	tn.checkDrained(tn.endpoints[1], index)
	tn.awaitReady("box-0", "box-2", "box-3")
	index = tn.consul.Update(func(all []consul.Instance) []consul.Instance {
		all[2].Checks = []consul.Check{{CheckID: "_service_maintenance:box-2", Status: "critical"}}
		return all
	})
	tn.checkDrained(tn.endpoints[2], index)
	index = tn.consul.Update(func(all []consul.Instance) []consul.Instance { return all[:3] }) // deregistered
	tn.checkDrained(tn.endpoints[3], index)
	tn.awaitReady("box-0")
	tn.consul.SetStatus("box-1", "passing")
	tn.awaitReady("box-0", "box-1")
	before := tn.endpoints[1].count()
	tn.until("box-1 is used again", func() bool { return tn.endpoints[1].count() > before })
	tn.stopCallers()
}

// Consul goes away in each way for a while: the last good list serves, and it is followed again afterwards.
func TestConsulVanishes(t *testing.T) {
	for name, f := range map[string]consul.Fault{
		"refuses": {Refuse: true}, "hangs": {Hang: true}, "resets": {Reset: true}, "cuts answers short": {Truncate: true}, "answers 429": {Status: 429},
		"answers 500": {Status: 500}, "revokes the token": {Status: 403}, "loses its leader": {NoLeader: true, Empty: true},
		"answers an empty list": {Empty: true, CatalogUnaffected: true}, "has lost all data": {Empty: true}, "answers half a list": {FirstHalf: true, CatalogUnaffected: true},
		"answers junk": {Body: "<html>no</html>"}, "jumps its index back": {IndexBack: 9},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			tn := startConsulRig(t, 6)
			tn.open(tn.text("127.0.0.1:1", "consul"))
			all := []string{"box-0", "box-1", "box-2", "box-3", "box-4", "box-5"}
			tn.awaitReady(all...)
			tn.awaitServed(50)
			tn.consul.SetFault(f)
			began := time.Now()
			for time.Since(began) < 1500*time.Millisecond {
				tn.awaitServed(20)
			}
			if got := tn.ready(); !slices.Equal(got, all) {
				t.Errorf("ready are %v", got)
			}
			tn.consul.SetFault(consul.Fault{})
			tn.awaitReady(all...)
			tn.checkDrained(tn.endpoints[0], tn.consul.SetStatus("box-0", "critical"))
			tn.awaitReady(all[1:]...)
			tn.stopCallers()
		})
	}
}

// Consul cannot be reached from the start: the last known list serves, and Consul's takes over when it comes.
func TestConsulUnreachableFromTheStart(t *testing.T) {
	t.Parallel()
	tn := startConsulRig(t, 3)
	tn.consul.SetFault(consul.Fault{Refuse: true})
	target := tn.endpoints[0].Target()
	platform := filepath.Join(t.TempDir(), "config.json")
	text := fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"a1","limits":{"cores":1,"memory_mb":64,"sockets":256},
		"known":{"rev":3,"all":true,"targets":[{"uid":"known","endpoint":%q,"az":"z","model":"m","pod_group":1,"state":"Ready","capacity_hint":1}]},
		"settings":{"allowed":{"connectTimeout":2000000,"cancel":true,"sendCap":3},"discovery":"push","instances":1,"services":[{"name":"book-trip",
		"aim":1000000,"deadline":6000000,"effect":"idempotency_key","keyScope":"all","window":10000000,"gain":1}],"tiers":["front"],"zones":["z"],"models":["m"]}}`, target.Address)
	if err := os.WriteFile(platform, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	overlay := tn.text("127.0.0.1:1", "consul")
	_, sources, _ := strings.Cut(overlay, "[membership]")
	tn.open("[membership]"+sources, "BALANCER_CONFIG="+platform)
	tn.awaitServed(100)
	tn.awaitReady("known")
	tn.consul.SetFault(consul.Fault{})
	tn.awaitReady("box-0", "box-1", "box-2")
	tn.awaitServed(100)
	tn.stopCallers()
}

func TestConsulAllCritical(t *testing.T) {
	t.Parallel()
	tn := startConsulRig(t, 3)
	tn.open(tn.text("127.0.0.1:1", "consul"))
	tn.awaitReady("box-0", "box-1", "box-2")
	tn.consul.Update(func(all []consul.Instance) []consul.Instance {
		for i := range all {
			all[i].Checks = []consul.Check{{CheckID: "c", Status: "critical"}}
		}
		return all
	})
	tn.until("it says why", func() bool {
		m, err := admin.AskMembers(tn.t.Context(), tn.admin)
		return err == nil && len(m.Endpoints) == 3 && strings.Contains(m.Endpoints[0].Why, "not believed")
	})
	tn.awaitServed(200)
	tn.checkDrained(tn.endpoints[0], tn.consul.SetStatus("box-1", "passing"))
	tn.awaitReady("box-1")
	tn.stopCallers()
}

func TestConsulFlaps(t *testing.T) {
	t.Parallel()
	tn := startConsulRig(t, 3)
	tn.open(tn.text("127.0.0.1:1", "consul"))
	tn.awaitReady("box-0", "box-1", "box-2")
	var index uint64
	for i := range 15 {
		index = tn.consul.SetStatus("box-1", []string{"critical", "passing"}[i%2])
		time.Sleep(200 * time.Millisecond)
	}
	tn.checkDrained(tn.endpoints[1], index)
	tn.consul.SetStatus("box-1", "passing")
	tn.awaitServed(50)
	if got := tn.ready(); len(got) != 2 {
		t.Errorf("a flapping check is believed at once: %v", got)
	}
	tn.stopCallers()
}

// The whole fleet restarts: each box leaves and comes back at another's address, under its own id. The boxes
// themselves never stop, so that each booking has to be served.
func TestConsulWholeFleetRestarts(t *testing.T) {
	t.Parallel()
	tn := startConsulRig(t, 6)
	tn.open(tn.text("127.0.0.1:1", "consul"))
	tn.awaitReady("box-0", "box-1", "box-2", "box-3", "box-4", "box-5")
	for i := range 6 {
		tn.consul.SetStatus(fmt.Sprintf("box-%d", i), "critical")
		time.Sleep(30 * time.Millisecond)
	}
	for i := range 6 {
		tn.consul.Update(func(all []consul.Instance) []consul.Instance {
			n := slices.IndexFunc(all, func(x consul.Instance) bool { return x.ID == fmt.Sprintf("box-%d", i) })
			all[n] = inst(tn.endpoints[(i+1)%6], all[n].ID)
			return all
		})
		time.Sleep(30 * time.Millisecond)
	}
	tn.awaitReady("box-0", "box-1", "box-2", "box-3", "box-4", "box-5")
	m, err := admin.AskMembers(tn.t.Context(), tn.admin)
	if err != nil {
		t.Fatal(err)
	}
	for i, r := range m.Endpoints {
		if r.Address != tn.endpoints[(i+1)%6].Target().Address {
			t.Errorf("%s is at %s", r.UID, r.Address)
		}
	}
	tn.awaitServed(100)
	tn.stopCallers()
}

func TestConsulOneAddressTwice(t *testing.T) {
	t.Parallel()
	tn := startConsulRig(t, 2)
	tn.open(tn.text("127.0.0.1:1", "consul"))
	tn.awaitReady("box-0", "box-1")
	tn.consul.Update(func(all []consul.Instance) []consul.Instance { return append(all, inst(tn.endpoints[0], "again")) })
	tn.awaitReady("again", "box-1")
	third := startCountedEndpoint(t, "third")
	before := tn.endpoints[1].count()
	index := tn.consul.Update(func(all []consul.Instance) []consul.Instance { // box-1 moves
		all[1] = inst(third, "box-1")
		return all
	})
	tn.checkDrained(tn.endpoints[1], index)
	tn.until("the new address is used", func() bool { return third.count() > 0 })
	if before == 0 {
		t.Error("box-1 was never used")
	}
	tn.stopCallers()
}

// Over the platform's list Consul's bad news count, the platform's too, and each alone.
func TestConsulOverlay(t *testing.T) {
	t.Parallel()
	tn := startConsulRig(t, 4)
	var targets []booking.Target
	for _, b := range tn.endpoints {
		targets = append(targets, b.Target())
	}
	d := startDiscovery(t, targets...)
	tn.open(tn.text(d.Address(), "overlay"))
	tn.awaitReady("box-0", "box-1", "box-2", "box-3")
	tn.checkDrained(tn.endpoints[0], tn.consul.SetStatus("box-0", "critical"))
	targets[1].State = "Terminating" // and Consul has it passing
	d.Set(targets[1])
	tn.awaitReady("box-2", "box-3")
	targets[2].State = "Gone"
	d.Set(targets[2])
	tn.awaitReady("box-3")
	tn.consul.Update(func([]consul.Instance) []consul.Instance { return nil }) // it knows of nobody: that says nothing
	tn.consul.SetFault(consul.Fault{Refuse: true})
	tn.awaitServed(100)
	tn.stopCallers()
}

// A rehearsal serves by the platform and logs where Consul differs.
func TestConsulRehearsal(t *testing.T) {
	t.Parallel()
	tn := startConsulRig(t, 3)
	d := startDiscovery(t, tn.endpoints[0].Target(), tn.endpoints[1].Target())
	tn.open(tn.text(d.Address(), "rehearsal"))
	tn.awaitReady("box-0", "box-1")
	tn.p.awaitLog("rehearsal: box-2: only consul lists it")
	tn.consul.SetStatus("box-0", "critical")
	tn.p.awaitLog("rehearsal: box-0: the platform has it ready, consul draining")
	before := tn.endpoints[0].count()
	tn.until("box-0 goes on", func() bool { return tn.endpoints[0].count() > before+20 })
	tn.stopCallers()
}

// SIGHUP changes the mode, the service and the agents under load.
func TestConsulReload(t *testing.T) {
	t.Parallel()
	tn := startConsulRig(t, 3)
	d := startDiscovery(t, tn.endpoints[0].Target(), tn.endpoints[1].Target())
	other, err := consul.Start("", inst(tn.endpoints[1], "other-1"), inst(tn.endpoints[2], "other-2"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(other.Close)
	text := tn.text(d.Address(), "platform")
	tn.open(text)
	reload := func(before, after string) {
		t.Helper()
		text = strings.Replace(text, before, after, 1)
		tn.p.writeFile(text)
		tn.p.signal(syscall.SIGHUP)
		tn.p.awaitLog("reload: discovery is")
	}
	tn.awaitReady("box-0", "box-1")
	reload(`"platform"`, `"consul"`)
	tn.awaitReady("box-0", "box-1", "box-2")
	tn.awaitServed(50)
	reload(tn.consul.Address(), other.Address())
	tn.awaitReady("other-1", "other-2")
	tn.awaitServed(50)
	third := startCountedEndpoint(t, "third")
	other.Update(func(all []consul.Instance) []consul.Instance {
		for i := range all {
			all[i].Service = "slot-keeper"
		}
		next := inst(third, "third")
		next.Service = "slot-keeper-v2"
		return append(all, next)
	})
	reload(`service = "slot-keeper"`, `service = "slot-keeper-v2"`)
	tn.awaitReady("third") // the old ones are not doubted away: the catalogue lacks them too, or time tells
	tn.awaitServed(50)
	reload(`"consul"`, `"overlay"`)
	tn.awaitReady("box-0", "box-1")
	reload(`"overlay"`, `"rehearsal"`)
	tn.awaitServed(50)
	reload(`"rehearsal"`, `"platform"`)
	tn.awaitReady("box-0", "box-1")
	health, _ := other.Queries()
	tn.awaitServed(50)
	time.Sleep(1500 * time.Millisecond) // longer than a question is held
	if again, _ := other.Queries(); again > health+1 {
		t.Error("consul is asked though nothing is to come of it")
	}
	tn.stopCallers()
}

// The sidecar is killed and starts again while Consul does wrong, and serves as soon as Consul does.
func TestConsulRestartDuringFault(t *testing.T) {
	for name, f := range map[string]consul.Fault{
		"500": {Status: 500}, "empty": {Empty: true}, "hangs": {Hang: true}, "refuses": {Refuse: true},
		"half": {FirstHalf: true}, "no leader": {NoLeader: true, Empty: true}, "403": {Status: 403}, "cut": {Truncate: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			tn := startConsulRig(t, 4)
			tn.open(tn.text("127.0.0.1:1", "consul"))
			tn.awaitServed(50)
			tn.stopCallers()
			tn.p.kill()
			tn.consul.SetFault(f)
			mend := time.AfterFunc(300*time.Millisecond, func() { tn.consul.SetFault(consul.Fault{}) })
			defer mend.Stop()
			tn.open(tn.text("127.0.0.1:1", "consul")) // waits until it is ready
			tn.awaitServed(50)
			tn.awaitReady("box-0", "box-1", "box-2", "box-3")
			tn.stopCallers()
		})
	}
}

// amidst is a state of Consul and the platform in the middle of which a sidecar starts.
type amidst struct {
	name, source string
	change       func(tn *consulRig, all []consul.Instance) []consul.Instance
	platform     []string // ids that discovery lists too
	want         []string // that are ready
}

// withStatus sets the status of an instance's check, or of all where the id is empty.
func withStatus(all []consul.Instance, id, status string) []consul.Instance {
	for i := range all {
		if all[i].ID == id || id == "" {
			all[i].Checks = []consul.Check{{CheckID: "c", Status: status}}
		}
	}
	return all
}

// The sidecar is killed and starts again in the middle of what Consul and the platform may say, and comes to the
// same view as before.
func TestConsulRestartAmidst(t *testing.T) {
	firstCritical := func(_ *consulRig, all []consul.Instance) []consul.Instance {
		return withStatus(all, "box-0", "critical")
	}
	for _, c := range []amidst{
		{"two at one address", "consul", func(tn *consulRig, all []consul.Instance) []consul.Instance {
			return append(all, inst(tn.endpoints[0], "again"))
		}, nil, []string{"again", "box-1", "box-2"}},
		{"all critical", "consul", func(_ *consulRig, all []consul.Instance) []consul.Instance {
			return withStatus(all, "", "critical")
		}, nil, []string{"box-0", "box-1", "box-2"}},
		{"all but one critical", "consul", func(_ *consulRig, all []consul.Instance) []consul.Instance {
			return withStatus(withStatus(all, "", "critical"), "box-1", "passing")
		}, nil, []string{"box-1"}},
		{"overlay", "overlay", firstCritical, []string{"box-0", "box-1"}, []string{"box-1"}},
		{
			"overlay of nobody", "overlay", func(*consulRig, []consul.Instance) []consul.Instance { return nil },
			[]string{"box-0", "box-1"},
			[]string{"box-0", "box-1"},
		},
		{"rehearsal", "rehearsal", firstCritical, []string{"box-0", "box-1"}, []string{"box-0", "box-1"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			tn := startConsulRig(t, 3)
			discovery := c.discovery(t, tn)
			tn.open(tn.text(discovery, c.source))
			tn.awaitServed(30)
			tn.consul.Update(func(all []consul.Instance) []consul.Instance { return c.change(tn, all) })
			tn.awaitReady(c.want...)
			tn.awaitServed(30)
			for range 2 {
				tn.stopCallers()
				tn.p.kill()
				tn.open(tn.text(discovery, c.source))
				tn.awaitReady(c.want...)
				tn.awaitServed(30)
			}
			c.checkIdle(t, tn)
			tn.stopCallers()
		})
	}
}

// discovery is the address of a discovery that lists the boxes of platform; of none where that is nil.
func (c *amidst) discovery(t *testing.T, tn *consulRig) (address string) {
	t.Helper()
	if c.platform == nil {
		return "127.0.0.1:1"
	}
	var targets []booking.Target
	for _, b := range tn.endpoints {
		if slices.Contains(c.platform, b.Name) {
			targets = append(targets, b.Target())
		}
	}
	return startDiscovery(t, targets...).Address()
}

// checkIdle looks whether nothing goes to those that the sidecar does not show, though it has just started.
func (c *amidst) checkIdle(t *testing.T, tn *consulRig) {
	t.Helper()
	var before []int
	for _, b := range tn.endpoints {
		before = append(before, b.count())
	}
	tn.awaitServed(50)
	for i, b := range tn.endpoints {
		busy := slices.Contains(c.want, b.Name) || b == tn.endpoints[0] && slices.Contains(c.want, "again")
		if got := b.count() - before[i]; got > 0 && !busy {
			t.Errorf("%s got %d bookings", b.Name, got)
		}
	}
}

// The sidecar is killed and starts again while a check flaps and the fleet's ids change their addresses.
func TestConsulRestartDuringChanges(t *testing.T) {
	t.Parallel()
	tn := startConsulRig(t, 4)
	tn.open(tn.text("127.0.0.1:1", "consul"))
	stop, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
			}
			tn.consul.SetStatus("box-0", []string{"critical", "passing"}[i%2])
			tn.consul.Update(func(all []consul.Instance) []consul.Instance {
				all[2].Port, all[3].Port = all[3].Port, all[2].Port
				return all
			})
		}
	}()
	for range 3 {
		tn.awaitServed(50)
		tn.stopCallers()
		tn.p.kill()
		tn.open(tn.text("127.0.0.1:1", "consul"))
	}
	tn.awaitServed(50)
	close(stop)
	<-ended
	tn.consul.SetStatus("box-0", "critical")
	tn.awaitReady("box-1", "box-2", "box-3")
	tn.stopCallers()
}

// A new instance without a start time counts as cold and is spared; one that says it started long ago is not.
// Over many bookings the two are told apart by far more than chance.
func TestConsulNewInstanceIsSpared(t *testing.T) {
	t.Parallel()
	tn := startConsulRig(t, 3)
	// The warm-up lasts longer than the bookings, however slow the machine is: the cold one stays at its first share.
	tn.open(tn.text("127.0.0.1:1", "consul") + "[warmup]\nwarm_after = \"1h\"\n")
	tn.awaitReady("box-0", "box-1", "box-2")
	tn.awaitServed(500) // so that the module knows what warm boxes take
	cold, warm := startCountedEndpoint(t, "cold"), startCountedEndpoint(t, "warm")
	tn.consul.Update(func(all []consul.Instance) []consul.Instance {
		old := inst(warm, "warm")
		old.Meta = map[string]string{"started_ms": "1"}
		return append(all, inst(cold, "cold"), old)
	})
	tn.awaitReady("box-0", "box-1", "box-2", "cold", "warm")
	a, b := cold.count(), warm.count()
	tn.awaitServed(1500)
	a, b = cold.count()-a, warm.count()-b
	if a == 0 || 10*a > 8*b {
		t.Errorf("of 1,500 bookings the cold box got %d, the warm one %d", a, b)
	}
	tn.stopCallers()
}
