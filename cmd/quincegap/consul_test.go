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

// box is an endpoint that notes when bookings come.
type box struct {
	*booking.Endpoint
	mu   sync.Mutex
	last time.Time // when the last booking came
	n    int
}

func startBox(tb testing.TB, name string) *box {
	tb.Helper()
	b := &box{}
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

func (b *box) count() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.n
}

// came is when the last booking came.
func (b *box) came() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.last
}

// town is a stand-in Consul with boxes, a sidecar that follows it, and callers who book without pause.
type town struct {
	t      testing.TB
	consul *consul.Server
	boxes  []*box
	p      *process
	admin  string
	served atomic.Int64
	calm   func() // ends the callers, and checks that every booking was served
	stalls *stalls
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

func inst(b *box, id string) consul.Instance {
	return consul.Instance{Node: "n", ID: id, PassingWeight: 1, WarningWeight: 1}.WithAddress(b.Target().Address)
}

func build(tb testing.TB, n int) *town {
	tb.Helper()
	tn := &town{t: tb, admin: "unix:" + filepath.Join(tb.TempDir(), "s"), stalls: &stalls{}}
	var all []consul.Instance
	for i := range n {
		b := startBox(tb, fmt.Sprintf("box-%d", i))
		tn.boxes = append(tn.boxes, b)
		all = append(all, inst(b, b.Name))
	}
	var err error
	if tn.consul, err = consul.Start("", all...); err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(tn.consul.Close)
	return tn
}

func (t *town) text(discovery, source string) string {
	return fmt.Sprintf(consulFile, discovery, source, t.consul.Address(), t.admin)
}

// open starts the sidecar, and callers.
func (t *town) open(text string, env ...string) {
	t.t.Helper()
	t.p = launch(t.t, text, env...)
	calm := t.p.callers(3, &t.served)
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		t.stalls.run(done)
	}()
	t.calm = sync.OnceFunc(func() {
		calm()
		close(done)
		<-ended
	})
	t.t.Cleanup(t.calm)
}

// goOn waits until so many more bookings have been served.
func (t *town) goOn(n int64) {
	t.t.Helper()
	want := t.served.Load() + n
	t.until("bookings go on", func() bool { return t.served.Load() >= want })
}

func (t *town) until(what string, done func() bool) {
	t.t.Helper()
	for end := time.Now().Add(patience); !done(); time.Sleep(2 * time.Millisecond) {
		if t.t.Failed() || time.Now().After(end) {
			t.t.Fatalf("never: %s", what)
		}
	}
}

// shows waits until the sidecar's view has just these ready.
func (t *town) shows(ids ...string) {
	t.t.Helper()
	t.until(fmt.Sprint("ready ", ids), func() bool { return slices.Equal(t.ready(), ids) })
}

func (t *town) ready() (ready []string) {
	m, err := admin.AskMembers(t.admin)
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

// drained checks that nothing new came to a box later than 250 ms after the answer that told of an index.
func (t *town) drained(b *box, index uint64) {
	t.t.Helper()
	var told time.Time
	t.until("the answer is out", func() (ok bool) { told, ok = t.consul.AnsweredAt(index); return ok })
	// Bookings that come after this would have been seen by then.
	time.Sleep(time.Until(told.Add(400 * time.Millisecond)))
	t.goOn(50)
	if late := b.came().Sub(told); late > 250*time.Millisecond+t.stalls.longest() {
		t.t.Errorf("%s got a booking %v after the answer that told of it (the machine stalled for %v)", b.Name, late, t.stalls.longest())
	}
}

func TestConsulCheckFails(t *testing.T) {
	t.Parallel()
	tn := build(t, 4)
	tn.open(tn.text("127.0.0.1:1", "consul"))
	tn.shows("box-0", "box-1", "box-2", "box-3")
	tn.goOn(100)
	index := tn.consul.SetStatus("box-1", "critical")
	tn.drained(tn.boxes[1], index)
	tn.shows("box-0", "box-2", "box-3")
	index = tn.consul.Update(func(all []consul.Instance) []consul.Instance {
		all[2].Checks = []consul.Check{{CheckID: "_service_maintenance:box-2", Status: "critical"}}
		return all
	})
	tn.drained(tn.boxes[2], index)
	index = tn.consul.Update(func(all []consul.Instance) []consul.Instance { return all[:3] }) // deregistered
	tn.drained(tn.boxes[3], index)
	tn.shows("box-0")
	tn.consul.SetStatus("box-1", "passing")
	tn.shows("box-0", "box-1")
	before := tn.boxes[1].count()
	tn.until("box-1 is used again", func() bool { return tn.boxes[1].count() > before })
	tn.calm()
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
			tn := build(t, 6)
			tn.open(tn.text("127.0.0.1:1", "consul"))
			all := []string{"box-0", "box-1", "box-2", "box-3", "box-4", "box-5"}
			tn.shows(all...)
			tn.goOn(50)
			tn.consul.SetFault(f)
			began := time.Now()
			for time.Since(began) < 1500*time.Millisecond {
				tn.goOn(20)
			}
			if got := tn.ready(); !slices.Equal(got, all) {
				t.Errorf("ready are %v", got)
			}
			tn.consul.SetFault(consul.Fault{})
			tn.shows(all...)
			tn.drained(tn.boxes[0], tn.consul.SetStatus("box-0", "critical"))
			tn.shows(all[1:]...)
			tn.calm()
		})
	}
}

// Consul cannot be reached from the start: the last known list serves, and Consul's takes over when it comes.
func TestConsulUnreachableFromTheStart(t *testing.T) {
	t.Parallel()
	tn := build(t, 3)
	tn.consul.SetFault(consul.Fault{Refuse: true})
	target := tn.boxes[0].Target()
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
	tn.goOn(100)
	tn.shows("known")
	tn.consul.SetFault(consul.Fault{})
	tn.shows("box-0", "box-1", "box-2")
	tn.goOn(100)
	tn.calm()
}

func TestConsulAllCritical(t *testing.T) {
	t.Parallel()
	tn := build(t, 3)
	tn.open(tn.text("127.0.0.1:1", "consul"))
	tn.shows("box-0", "box-1", "box-2")
	tn.consul.Update(func(all []consul.Instance) []consul.Instance {
		for i := range all {
			all[i].Checks = []consul.Check{{CheckID: "c", Status: "critical"}}
		}
		return all
	})
	tn.until("it says why", func() bool {
		m, err := admin.AskMembers(tn.admin)
		return err == nil && len(m.Endpoints) == 3 && strings.Contains(m.Endpoints[0].Why, "not believed")
	})
	tn.goOn(200)
	tn.drained(tn.boxes[0], tn.consul.SetStatus("box-1", "passing"))
	tn.shows("box-1")
	tn.calm()
}

func TestConsulFlaps(t *testing.T) {
	t.Parallel()
	tn := build(t, 3)
	tn.open(tn.text("127.0.0.1:1", "consul"))
	tn.shows("box-0", "box-1", "box-2")
	var index uint64
	for i := range 15 {
		index = tn.consul.SetStatus("box-1", []string{"critical", "passing"}[i%2])
		time.Sleep(200 * time.Millisecond)
	}
	tn.drained(tn.boxes[1], index)
	tn.consul.SetStatus("box-1", "passing")
	tn.goOn(50)
	if got := tn.ready(); len(got) != 2 {
		t.Errorf("a flapping check is believed at once: %v", got)
	}
	tn.calm()
}

// The whole fleet restarts: each box leaves and comes back at another's address, under its own id. The boxes
// themselves never stop, so that each booking has to be served.
func TestConsulWholeFleetRestarts(t *testing.T) {
	t.Parallel()
	tn := build(t, 6)
	tn.open(tn.text("127.0.0.1:1", "consul"))
	tn.shows("box-0", "box-1", "box-2", "box-3", "box-4", "box-5")
	for i := range 6 {
		tn.consul.SetStatus(fmt.Sprintf("box-%d", i), "critical")
		time.Sleep(30 * time.Millisecond)
	}
	for i := range 6 {
		tn.consul.Update(func(all []consul.Instance) []consul.Instance {
			n := slices.IndexFunc(all, func(x consul.Instance) bool { return x.ID == fmt.Sprintf("box-%d", i) })
			all[n] = inst(tn.boxes[(i+1)%6], all[n].ID)
			return all
		})
		time.Sleep(30 * time.Millisecond)
	}
	tn.shows("box-0", "box-1", "box-2", "box-3", "box-4", "box-5")
	m, err := admin.AskMembers(tn.admin)
	if err != nil {
		t.Fatal(err)
	}
	for i, r := range m.Endpoints {
		if r.Address != tn.boxes[(i+1)%6].Target().Address {
			t.Errorf("%s is at %s", r.UID, r.Address)
		}
	}
	tn.goOn(100)
	tn.calm()
}

func TestConsulOneAddressTwice(t *testing.T) {
	t.Parallel()
	tn := build(t, 2)
	tn.open(tn.text("127.0.0.1:1", "consul"))
	tn.shows("box-0", "box-1")
	tn.consul.Update(func(all []consul.Instance) []consul.Instance { return append(all, inst(tn.boxes[0], "again")) })
	tn.shows("again", "box-1")
	third := startBox(t, "third")
	before := tn.boxes[1].count()
	index := tn.consul.Update(func(all []consul.Instance) []consul.Instance { // box-1 moves
		all[1] = inst(third, "box-1")
		return all
	})
	tn.drained(tn.boxes[1], index)
	tn.until("the new address is used", func() bool { return third.count() > 0 })
	if before == 0 {
		t.Error("box-1 was never used")
	}
	tn.calm()
}

// Over the platform's list Consul's bad news count, the platform's too, and each alone.
func TestConsulOverlay(t *testing.T) {
	t.Parallel()
	tn := build(t, 4)
	var targets []booking.Target
	for _, b := range tn.boxes {
		targets = append(targets, b.Target())
	}
	d := listing(t, targets...)
	tn.open(tn.text(d.Address(), "overlay"))
	tn.shows("box-0", "box-1", "box-2", "box-3")
	tn.drained(tn.boxes[0], tn.consul.SetStatus("box-0", "critical"))
	targets[1].State = "Terminating" // and Consul has it passing
	d.Set(targets[1])
	tn.shows("box-2", "box-3")
	targets[2].State = "Gone"
	d.Set(targets[2])
	tn.shows("box-3")
	tn.consul.Update(func([]consul.Instance) []consul.Instance { return nil }) // it knows of nobody: that says nothing
	tn.consul.SetFault(consul.Fault{Refuse: true})
	tn.goOn(100)
	tn.calm()
}

// A rehearsal serves by the platform and logs where Consul differs.
func TestConsulRehearsal(t *testing.T) {
	t.Parallel()
	tn := build(t, 3)
	d := listing(t, tn.boxes[0].Target(), tn.boxes[1].Target())
	tn.open(tn.text(d.Address(), "rehearsal"))
	tn.shows("box-0", "box-1")
	tn.p.said("rehearsal: box-2: only consul lists it")
	tn.consul.SetStatus("box-0", "critical")
	tn.p.said("rehearsal: box-0: the platform has it ready, consul draining")
	before := tn.boxes[0].count()
	tn.until("box-0 goes on", func() bool { return tn.boxes[0].count() > before+20 })
	tn.calm()
}

// SIGHUP changes the mode, the service and the agents under load.
func TestConsulReload(t *testing.T) {
	t.Parallel()
	tn := build(t, 3)
	d := listing(t, tn.boxes[0].Target(), tn.boxes[1].Target())
	other, err := consul.Start("", inst(tn.boxes[1], "other-1"), inst(tn.boxes[2], "other-2"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(other.Close)
	text := tn.text(d.Address(), "platform")
	tn.open(text)
	reload := func(before, after string) {
		t.Helper()
		text = strings.Replace(text, before, after, 1)
		tn.p.put(text)
		tn.p.signal(syscall.SIGHUP)
		tn.p.said("reload: discovery is")
	}
	tn.shows("box-0", "box-1")
	reload(`"platform"`, `"consul"`)
	tn.shows("box-0", "box-1", "box-2")
	tn.goOn(50)
	reload(tn.consul.Address(), other.Address())
	tn.shows("other-1", "other-2")
	tn.goOn(50)
	third := startBox(t, "third")
	other.Update(func(all []consul.Instance) []consul.Instance {
		for i := range all {
			all[i].Service = "slot-keeper"
		}
		next := inst(third, "third")
		next.Service = "slot-keeper-v2"
		return append(all, next)
	})
	reload(`service = "slot-keeper"`, `service = "slot-keeper-v2"`)
	tn.shows("third") // the old ones are not doubted away: the catalogue lacks them too, or time tells
	tn.goOn(50)
	reload(`"consul"`, `"overlay"`)
	tn.shows("box-0", "box-1")
	reload(`"overlay"`, `"rehearsal"`)
	tn.goOn(50)
	reload(`"rehearsal"`, `"platform"`)
	tn.shows("box-0", "box-1")
	health, _ := other.Queries()
	tn.goOn(50)
	time.Sleep(1500 * time.Millisecond) // longer than a question is held
	if again, _ := other.Queries(); again > health+1 {
		t.Error("consul is asked though nothing is to come of it")
	}
	tn.calm()
}

// The sidecar is killed and starts again while Consul does wrong, and serves as soon as Consul does.
func TestConsulRestartDuringFault(t *testing.T) {
	for name, f := range map[string]consul.Fault{
		"500": {Status: 500}, "empty": {Empty: true}, "hangs": {Hang: true}, "refuses": {Refuse: true},
		"half": {FirstHalf: true}, "no leader": {NoLeader: true, Empty: true}, "403": {Status: 403}, "cut": {Truncate: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			tn := build(t, 4)
			tn.open(tn.text("127.0.0.1:1", "consul"))
			tn.goOn(50)
			tn.calm()
			tn.p.kill()
			tn.consul.SetFault(f)
			mend := time.AfterFunc(300*time.Millisecond, func() { tn.consul.SetFault(consul.Fault{}) })
			defer mend.Stop()
			tn.open(tn.text("127.0.0.1:1", "consul")) // waits until it is ready
			tn.goOn(50)
			tn.shows("box-0", "box-1", "box-2", "box-3")
			tn.calm()
		})
	}
}

// amidst is a state of Consul and the platform in the middle of which a sidecar starts.
type amidst struct {
	name, source string
	change       func(tn *town, all []consul.Instance) []consul.Instance
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
	firstCritical := func(_ *town, all []consul.Instance) []consul.Instance { return withStatus(all, "box-0", "critical") }
	for _, c := range []amidst{
		{"two at one address", "consul", func(tn *town, all []consul.Instance) []consul.Instance {
			return append(all, inst(tn.boxes[0], "again"))
		}, nil, []string{"again", "box-1", "box-2"}},
		{"all critical", "consul", func(_ *town, all []consul.Instance) []consul.Instance {
			return withStatus(all, "", "critical")
		}, nil, []string{"box-0", "box-1", "box-2"}},
		{"all but one critical", "consul", func(_ *town, all []consul.Instance) []consul.Instance {
			return withStatus(withStatus(all, "", "critical"), "box-1", "passing")
		}, nil, []string{"box-1"}},
		{"overlay", "overlay", firstCritical, []string{"box-0", "box-1"}, []string{"box-1"}},
		{
			"overlay of nobody", "overlay", func(*town, []consul.Instance) []consul.Instance { return nil },
			[]string{"box-0", "box-1"},
			[]string{"box-0", "box-1"},
		},
		{"rehearsal", "rehearsal", firstCritical, []string{"box-0", "box-1"}, []string{"box-0", "box-1"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			tn := build(t, 3)
			discovery := c.discovery(t, tn)
			tn.open(tn.text(discovery, c.source))
			tn.goOn(30)
			tn.consul.Update(func(all []consul.Instance) []consul.Instance { return c.change(tn, all) })
			tn.shows(c.want...)
			tn.goOn(30)
			for range 2 {
				tn.calm()
				tn.p.kill()
				tn.open(tn.text(discovery, c.source))
				tn.shows(c.want...)
				tn.goOn(30)
			}
			c.checkIdle(t, tn)
			tn.calm()
		})
	}
}

// discovery is the address of a discovery that lists the boxes of platform; of none where that is nil.
func (c *amidst) discovery(t *testing.T, tn *town) (address string) {
	t.Helper()
	if c.platform == nil {
		return "127.0.0.1:1"
	}
	var targets []booking.Target
	for _, b := range tn.boxes {
		if slices.Contains(c.platform, b.Name) {
			targets = append(targets, b.Target())
		}
	}
	return listing(t, targets...).Address()
}

// checkIdle looks whether nothing goes to those that the sidecar does not show, though it has just started.
func (c *amidst) checkIdle(t *testing.T, tn *town) {
	t.Helper()
	var before []int
	for _, b := range tn.boxes {
		before = append(before, b.count())
	}
	tn.goOn(50)
	for i, b := range tn.boxes {
		busy := slices.Contains(c.want, b.Name) || b == tn.boxes[0] && slices.Contains(c.want, "again")
		if got := b.count() - before[i]; got > 0 && !busy {
			t.Errorf("%s got %d bookings", b.Name, got)
		}
	}
}

// The sidecar is killed and starts again while a check flaps and the fleet's ids change their addresses.
func TestConsulRestartDuringChanges(t *testing.T) {
	t.Parallel()
	tn := build(t, 4)
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
		tn.goOn(50)
		tn.calm()
		tn.p.kill()
		tn.open(tn.text("127.0.0.1:1", "consul"))
	}
	tn.goOn(50)
	close(stop)
	<-ended
	tn.consul.SetStatus("box-0", "critical")
	tn.shows("box-1", "box-2", "box-3")
	tn.calm()
}

// A new instance without a start time counts as cold and is spared; one that says it started long ago is not.
// Over many bookings the two are told apart by far more than chance.
func TestConsulNewInstanceIsSpared(t *testing.T) {
	t.Parallel()
	tn := build(t, 3)
	tn.open(tn.text("127.0.0.1:1", "consul"))
	tn.shows("box-0", "box-1", "box-2")
	tn.goOn(500) // so that the module knows what warm boxes take
	cold, warm := startBox(t, "cold"), startBox(t, "warm")
	tn.consul.Update(func(all []consul.Instance) []consul.Instance {
		old := inst(warm, "warm")
		old.Meta = map[string]string{"started_ms": "1"}
		return append(all, inst(cold, "cold"), old)
	})
	tn.shows("box-0", "box-1", "box-2", "cold", "warm")
	a, b := cold.count(), warm.count()
	tn.goOn(1500)
	a, b = cold.count()-a, warm.count()-b
	if a == 0 || 10*a > 8*b {
		t.Errorf("of 1,500 bookings the cold box got %d, the warm one %d", a, b)
	}
	tn.calm()
}
