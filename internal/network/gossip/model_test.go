package gossip

import (
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/memberlist"

	"quincegap/internal/modules/peers"
)

// fleet are members in virtual time.
type fleet struct {
	t       *testing.T
	net     *network
	members []*Group // nil for one that is dead
	lives   []int    // of each, so that a new one has an address of its own where it moves
	story   []string
	began   time.Time
	join    string
	most    int
}

func newFleet(t *testing.T, n int, seed uint64) *fleet {
	return &fleet{
		t: t, net: newNetwork(seed), members: make([]*Group, n), lives: make([]int, n), began: time.Now(),
		join: strings.Join([]string{address(0), address(1), address(2)}, ","), most: 2000,
	}
}

func (f *fleet) say(format string, args ...any) {
	f.story = append(f.story, fmt.Sprintf("%6.2fs ", time.Since(f.began).Seconds())+fmt.Sprintf(format, args...))
}

// addresses is where a member is.
func (f *fleet) at(i int) string { return address(i) }

func (f *fleet) start(i, expected int, change func(*Config)) {
	c := Config{
		Settings: *Table.Default(), Name: fmt.Sprintf("front-%03d", i), Application: "booking-front", Version: "1", ExpectedMembers: expected,
		OnShare: func(peers.Share) {}, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		NewTransport: func() (memberlist.Transport, error) { return f.net.open(f.at(i)) },
	}
	c.Join, c.MaxMembers, c.Listen = f.join, f.most, f.at(i)
	if change != nil {
		change(&c)
	}
	g, err := Open(c)
	if err != nil {
		f.t.Fatal(err)
	}
	f.members[i] = g
}

// kill ends one without a word.
func (f *fleet) kill(i int) {
	g := f.members[i]
	if g == nil {
		return
	}
	f.members[i] = nil
	f.net.set(func() { // nothing more of it gets out
		if e := f.net.ends[f.at(i)]; e != nil {
			e.closed = true
			delete(f.net.ends, f.at(i))
		}
	})
	g.stop()
	<-g.loopDone
	g.list.Shutdown()
}

// halve cuts the first half off from the second.
func (f *fleet) halve() {
	var all []string
	for i := range f.members {
		all = append(all, f.at(i))
	}
	half := len(all) / 2
	f.net.apart(all[:half], all[half:], true)
	f.net.apart(all[half:], all[:half], true)
}

func (f *fleet) end() {
	for i := range f.members {
		f.kill(i)
	}
	time.Sleep(time.Minute) // memberlist's goroutines end with their time-outs, and time stands still once the test returns
}

func (g *Group) state() (peers.Share, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s, ok := g.view.Share(g.now())
	return s, ok
}

// agree tells whether all that live have the group of just these, and are as confident.
func (f *fleet) agree(want peers.Confidence) bool {
	names := 0
	for _, g := range f.members {
		if g != nil {
			names++
		}
	}
	for i, g := range f.members {
		if g == nil {
			continue
		}
		s, ok := g.state()
		if !ok || s.Confidence != want || s.Instances != names || !s.OwnsName || s.Names[s.Ordinal] != f.members[i].config.Name {
			return false
		}
	}
	return true
}

// oneSettled fails where two members are settled in groups that have nobody in common.
func (f *fleet) oneSettled() {
	f.t.Helper()
	var first []string
	for i, g := range f.members {
		if g == nil {
			continue
		}
		s, ok := g.state()
		if !ok || s.Confidence != peers.Settled {
			continue
		}
		if first == nil {
			first = s.Names
		} else if !slices.ContainsFunc(s.Names, func(n string) bool { return slices.Contains(first, n) }) {
			f.t.Fatalf("%d is settled in %v, another one in %v\n%s", i, s.Names, first, strings.Join(f.story, "\n"))
		}
	}
}

// within waits until something holds, and returns how long it took; it fails where it does not in time.
func (f *fleet) within(d time.Duration, what string, holds func() bool) time.Duration {
	f.t.Helper()
	began := time.Now()
	for !holds() {
		if time.Since(began) > d {
			f.t.Fatalf("%s: not within %v\n%s\n%s", what, d, strings.Join(f.story, "\n"), f.views())
		}
		time.Sleep(50 * time.Millisecond)
	}
	return time.Since(began)
}

func (f *fleet) views() string {
	var b strings.Builder
	for i, g := range f.members {
		if g == nil {
			fmt.Fprintf(&b, "%d: dead\n", i)
			continue
		}
		s, ok := g.state()
		fmt.Fprintf(&b, "%d: %v %v", i, ok, s)
		r := g.Report()
		for _, m := range r.Members {
			if !m.InGroup || m.State != "serving" {
				fmt.Fprintf(&b, "; %s %s %s reached %v for %dms inc %d", m.Name, m.Process[:4], m.State, m.Reachable, m.StateAgeMS, m.Incarnation)
			}
		}
		b.WriteString("\n")
	}
	return b.String()
}

// settles is the stated time until all views are equal and settled after the last fault: it takes up to maxJoinBackoff and
// half as much until somebody is tried again, and DampFor until one that came and went counts.
const settles = 60 * time.Second

func soaked(n int) int {
	if os.Getenv("SOAK") != "" {
		return 375 * n
	}
	return n
}

// Whatever was cut, delayed, lost, paused, killed and started anew: once it is over, all have one view, settled, in a stated time;
// and at no time are two settled in groups that have nobody in common, as two sides of a cut of halves would be.
func TestRandomSchedules(t *testing.T) {
	for seed := range uint64(soaked(8)) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { schedule(t, seed) })
		})
	}
}

func schedule(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 3))
	sizes := []int{3, 4, 5, 7, 10, 16}
	if os.Getenv("SOAK") != "" {
		if seed%40 == 0 {
			sizes = []int{30, 50}
		}
	}
	n := sizes[rng.IntN(len(sizes))]
	f := newFleet(t, n, seed)
	defer f.end()
	for i := range n {
		f.start(i, n, nil)
	}
	f.say("%d members", n)
	f.within(settles, "the start", func() bool { return f.agree(peers.Settled) })
	f.say("settled")
	all := make([]string, n)
	for i := range all {
		all[i] = f.at(i)
	}
	for range 2 + rng.IntN(5) {
		switch rng.IntN(7) {
		case 0:
			k := 1 + rng.IntN(n-1)
			rng.Shuffle(n, func(i, j int) { all[i], all[j] = all[j], all[i] })
			f.say("cut into %d and %d: %v", k, n-k, all[:k])
			f.net.apart(all[:k], all[k:], true)
			f.net.apart(all[k:], all[:k], true)
		case 1:
			i := rng.IntN(n)
			f.say("%s is heard by none", all[i])
			f.net.apart(all[i:i+1], all, true)
		case 2:
			f.net.set(func() { f.net.loss, f.net.late = 0.3*rng.Float64(), time.Duration(rng.IntN(300))*time.Millisecond })
			f.say("loss %.2f, up to %v late", f.net.loss, f.net.late)
		case 3:
			for range 1 + rng.IntN(n) {
				i := rng.IntN(n)
				f.say("%s is killed", f.at(i))
				f.kill(i)
			}
		case 4:
			i := rng.IntN(n)
			f.say("%s starts anew at once", f.at(i))
			f.kill(i)
			f.start(i, n, nil)
		case 5:
			i, last := rng.IntN(n), time.Duration(rng.IntN(20000))*time.Millisecond
			f.say("%s stands still for %v", f.at(i), last)
			f.net.set(func() { f.net.still[f.at(i)] = time.Now().Add(last) })
		case 6:
			f.say("healed")
			f.net.set(func() { clear(f.net.cut) })
		}
		for end := time.Now().Add(time.Duration(rng.IntN(15000)) * time.Millisecond); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
			f.oneSettled()
		}
	}
	f.net.set(func() { clear(f.net.cut); clear(f.net.still); f.net.loss, f.net.late = 0, 2*time.Millisecond })
	for i := range n {
		if f.members[i] == nil {
			f.start(i, n, nil)
		}
	}
	f.say("all over")
	took := f.within(settles, "after the last fault", func() bool { return f.agree(peers.Settled) })
	t.Logf("%d members: %v", n, took)
}

// After a cut into halves no side is settled, each has a view of itself, and they merge once it heals.
func TestHalves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n = 10
		f := newFleet(t, n, 1)
		defer f.end()
		for i := range n {
			f.start(i, n, nil)
		}
		f.within(settles, "the start", func() bool { return f.agree(peers.Settled) })
		f.halve()
		parts := func() bool {
			for _, g := range f.members {
				if s, _ := g.state(); s.Confidence != peers.Partitioned || s.Instances != n/2 || s.MaxInstances != n {
					return false
				}
			}
			return true
		}
		f.within(20*time.Second, "two parts", parts)
		for range 150 {
			time.Sleep(time.Second)
			for i, g := range f.members {
				if s, _ := g.state(); s.Confidence == peers.Settled {
					t.Fatalf("%d is settled in a half: %+v", i, s)
				}
			}
		}
		f.net.set(func() { clear(f.net.cut) })
		f.within(settles, "healed", func() bool { return f.agree(peers.Settled) })
	})
}

// Members of another application, with another key or another format are refused and counted, and are in nobody's view.
func TestStrangers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 5, 1)
		defer f.end()
		key, other := []byte("0123456789abcdef"), []byte("fedcba9876543210")
		for i := range 3 {
			f.start(i, 3, func(c *Config) { c.Keys = [][]byte{key} })
		}
		f.start(3, 3, func(c *Config) { c.Keys, c.Application = [][]byte{key}, "slot-keeper" })
		f.start(4, 3, func(c *Config) { c.Keys = [][]byte{other} })
		three := func() bool {
			for _, g := range f.members[:3] {
				if s, _ := g.state(); s.Confidence != peers.Settled || s.Instances != 3 {
					return false
				}
			}
			return true
		}
		f.within(settles, "three members", three)
		time.Sleep(time.Minute)
		refused := map[string]int{}
		for _, g := range f.members[:3] {
			for reason, n := range g.Report().Rejected {
				refused[reason] += n
			}
		}
		if !three() || refused["other application"] == 0 || refused["other key"] == 0 {
			t.Errorf("refused %v\n%s", refused, f.views())
		}
		for _, i := range []int{3, 4} {
			if s, ok := f.members[i].state(); ok && s.Instances > 1 {
				t.Errorf("a stranger has a group: %+v", s)
			}
		}
	})
}

// A key is replaced member by member, with both known meanwhile, and nobody is lost.
func TestKeyIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 5, 1)
		defer f.end()
		old, fresh := []byte("0123456789abcdef"), []byte("0123456789abcdef0123456789abcdef")
		for i := range 5 {
			f.start(i, 5, func(c *Config) { c.Keys = [][]byte{old} })
		}
		f.within(settles, "the start", func() bool { return f.agree(peers.Settled) })
		for _, keys := range [][][]byte{{old, fresh}, {fresh, old}, {fresh}} {
			for _, g := range f.members {
				if err := g.ReplaceKeys(keys); err != nil {
					t.Fatal(err)
				}
				time.Sleep(3 * time.Second)
				if !f.agree(peers.Settled) {
					t.Fatalf("lost somebody\n%s", f.views())
				}
			}
		}
	})
}

// Many join within a second through one seed member: 60, and 200 in `make soak`.
func TestManyJoinThroughOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := 60
		if os.Getenv("SOAK") != "" {
			n = 200
		}
		f := newFleet(t, n, 1)
		defer f.end()
		f.join = f.at(0)
		for i := range n {
			f.start(i, n, nil)
			time.Sleep(time.Second / time.Duration(n))
		}
		t.Log("settled after", f.within(2*settles, "200 join", func() bool { return f.agree(peers.Settled) }))
	})
}

// Packets that are played again when all that they say is long forgotten change nothing, and revive nobody.
func TestReplayOfWhatIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 5, 1)
		defer f.end()
		f.net.keeps = true
		for i := range 5 {
			f.start(i, 4, func(c *Config) { c.ForgetAfter = time.Minute })
		}
		f.within(settles, "the start", func() bool { return f.agree(peers.Settled) })
		f.kill(4)
		f.within(settles, "four left", func() bool { return f.agree(peers.Settled) })
		f.net.set(func() { f.net.keeps = false })
		time.Sleep(2 * time.Minute)
		f.net.set(func() {
			for to, tape := range f.net.tape {
				for _, r := range tape {
					f.net.deliver(f.at(4), to, r.text)
				}
			}
		})
		for range 60 {
			time.Sleep(500 * time.Millisecond)
			for i, g := range f.members[:4] {
				if s, _ := g.state(); slices.Contains(s.Names, "front-004") || s.Instances != 4 {
					t.Fatalf("%d has the dead one in its group: %+v", i, s)
				}
			}
		}
	})
}

// One that says of all others, again and again, that they are gone moves nobody's group.
func TestLiar(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n = 8
		f := newFleet(t, n, 1)
		defer f.end()
		for i := range n {
			f.start(i, n, nil)
		}
		f.within(settles, "the start", func() bool { return f.agree(peers.Settled) })
		liar := f.members[n-1]
		for range 120 {
			liar.mu.Lock()
			for _, r := range liar.view.Records() {
				if r.Process != liar.announced.Process {
					r.State = peers.Gone
					liar.broadcast(r)
				}
			}
			liar.mu.Unlock()
			time.Sleep(500 * time.Millisecond)
			for i, g := range f.members[:n-1] {
				if s, _ := g.state(); s.Instances != n || s.Confidence != peers.Settled {
					t.Fatalf("%d was moved: %+v", i, s)
				}
			}
		}
	})
}

// Two fleets that were joined by mistake and parted again are a part each, for none can tell this from a cut, and go by who is
// there; those that are started anew settle.
func TestJoinedByMistake(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 10, 1)
		defer f.end()
		for i := range 10 {
			f.start(i, 5, func(c *Config) { c.Join = f.at(i / 5 * 5) })
		}
		side := func(from, sharing int, want peers.Confidence) func() bool {
			return func() bool {
				for _, g := range f.members[from : from+5] {
					if s, _ := g.state(); s.Instances != 5 || s.MaxInstances != sharing || s.Confidence != want {
						return false
					}
				}
				return true
			}
		}
		f.within(settles, "one fleet", side(0, 5, peers.Settled))
		f.within(settles, "the other", side(5, 5, peers.Settled))
		go f.members[0].list.Join([]string{f.at(5)})
		f.within(settles, "joined", func() bool { return f.agree(peers.Settled) })
		f.halve()
		f.within(settles, "parted", side(0, 10, peers.Partitioned))
		f.within(settles, "parted", side(5, 10, peers.Partitioned))
		for i := range 5 {
			f.kill(i)
			f.start(i, 5, func(c *Config) { c.Join = f.at(0) })
		}
		f.within(settles, "started anew", side(0, 5, peers.Settled))
	})
}

// All have other addresses after a restart of everything but one whose rejoin list has only old ones, with a file that names
// one that is still right: they are one again.
func TestAllAddressesChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 12, 1)
		defer f.end()
		f.join = f.at(0)
		names := func(i int) func(c *Config) { return func(c *Config) { c.Name = fmt.Sprintf("front-%03d", i%6) } }
		for i := range 6 {
			f.start(i, 6, names(i))
		}
		f.within(settles, "the start", func() bool { return f.agree(peers.Settled) })
		learnt := f.members[3].joinSchedule.Learned()
		for i := range 6 {
			f.kill(i)
		}
		for i := range 6 { // at addresses 6 to 11; two find the old seed's machine anew
			f.start(6+i, 6, func(c *Config) {
				names(i)(c)
				c.Join, c.SettledNames, c.KnownAddresses = f.at(6)+","+f.at(0), []string{"front-000", "front-001", "front-002"}, learnt
			})
		}
		f.within(settles, "elsewhere", func() bool { return f.agree(peers.Settled) })
	})
}
