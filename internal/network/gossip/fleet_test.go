package gossip

import (
	"fmt"
	"io"
	"log/slog"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/memberlist"

	"quincegap/internal/modules/peers"
)

// convergenceTimeout is the specified time within which all views are equal and settled after the last fault. Up to maxJoinBackoff and half
// as much passes until an address is tried again, and the damping window passes until a name that has flapped counts.
const convergenceTimeout = 60 * time.Second

// useOneProcessor restricts a test in virtual time to one processor if the race detector is enabled. Go 1.26 uses one context of the
// detector for all timers of a synctest bubble, and uses it without a lock if a goroutine receives from a ticker that is already due
// (runtime.(*timer).maybeRunChan) while another timer runs. Two threads in one context make the detector itself crash, for example
// with "CHECK failed: tsan_rtl.cpp:346". The detector examines the order of synchronisation, not what runs at the same moment, so it
// also reports races between goroutines that take turns on one processor.
func useOneProcessor(t *testing.T) {
	t.Helper()
	if !raceDetector {
		return
	}
	processors := runtime.GOMAXPROCS(1)
	t.Cleanup(func() { runtime.GOMAXPROCS(processors) })
}

// virtualFleet is a fleet of members in virtual time, on a virtual network.
type virtualFleet struct {
	t          *testing.T
	net        *network
	members    []*Group // nil for a member that is dead
	history    []string // steps of the test, printed on a failure
	startedAt  time.Time
	join       string
	maxMembers int
}

func newFleet(t *testing.T, n int, seed uint64) *virtualFleet {
	t.Helper()
	return &virtualFleet{
		t:          t,
		net:        newNetwork(seed),
		members:    make([]*Group, n),
		startedAt:  time.Now(),
		join:       strings.Join([]string{address(0), address(1), address(2)}, ","),
		maxMembers: 2000,
	}
}

// recordStep adds a step, with the time since the start, to the history that a failure prints.
func (v *virtualFleet) recordStep(format string, args ...any) {
	v.history = append(v.history, fmt.Sprintf("%6.2fs ", time.Since(v.startedAt).Seconds())+fmt.Sprintf(format, args...))
}

// start starts member i. expected is its ExpectedMembers; configure, unless it is nil, changes its configuration.
func (v *virtualFleet) start(i, expected int, configure func(*Config)) {
	v.t.Helper()
	config := Config{
		Settings:        *Table.Default(),
		Name:            fmt.Sprintf("front-%03d", i),
		Application:     "booking-front",
		Version:         "1",
		ExpectedMembers: expected,
		OnShare:         func(peers.Share) {},
		Log:             slog.New(slog.NewTextHandler(io.Discard, nil)),
		NewTransport:    func() (memberlist.Transport, error) { return v.net.open(address(i)) },
	}
	config.Join = v.join
	config.MaxMembers = v.maxMembers
	config.Listen = address(i)
	if configure != nil {
		configure(&config)
	}
	g, err := Open(config)
	if err != nil {
		v.t.Fatal(err)
	}
	v.members[i] = g
}

// startAll starts all members. configure, unless it is nil, changes their configurations.
func (v *virtualFleet) startAll(configure func(*Config)) {
	v.t.Helper()
	for i := range v.members {
		v.start(i, len(v.members), configure)
	}
}

// kill stops a member that runs, without an announcement to the others.
func (v *virtualFleet) kill(i int) {
	v.t.Helper()
	g := v.members[i]
	if g == nil {
		return
	}
	v.members[i] = nil
	v.net.remove(address(i))
	g.stop()
	<-g.loopDone
	if err := g.list.Shutdown(); err != nil {
		v.t.Error(err)
	}
}

// addresses returns the addresses of all members, including dead ones.
func (v *virtualFleet) addresses() (all []string) {
	for i := range v.members {
		all = append(all, address(i))
	}
	return all
}

// partition drops everything that is sent between some members and others, in both directions.
func (v *virtualFleet) partition(some, others []string) {
	v.net.partition(some, others)
	v.net.partition(others, some)
}

// partitionHalves separates the first half of the members from the second.
func (v *virtualFleet) partitionHalves() {
	all := v.addresses()
	half := len(all) / 2
	v.partition(all[:half], all[half:])
}

// heal removes all partitions.
func (v *virtualFleet) heal() { v.net.update(func() { clear(v.net.partitioned) }) }

// killAll kills all members, and sleeps until the timeouts of memberlist's goroutines have expired: virtual time stops when the test
// returns.
func (v *virtualFleet) killAll() {
	v.t.Helper()
	for i := range v.members {
		v.kill(i)
	}
	time.Sleep(time.Minute)
}

// currentShare returns the member's current share, and false if it has none.
func (g *Group) currentShare() (peers.Share, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s, ok := g.view.Share(g.now())
	return s, ok
}

// converged reports whether all running members are settled in the same group, which contains exactly them.
func (v *virtualFleet) converged() bool {
	var alive []*Group
	for _, g := range v.members {
		if g != nil {
			alive = append(alive, g)
		}
	}
	for _, g := range alive {
		s, ok := g.currentShare()
		if !ok || s.Confidence != peers.Settled || s.Instances != len(alive) || !s.OwnsName || s.Names[s.Ordinal] != g.config.Name {
			return false
		}
	}
	return true
}

// haveShares reports whether the shares of all members have the given Confidence, Instances and MaxInstances; a maxInstances of 0 matches
// any.
func haveShares(members []*Group, confidence peers.Confidence, instances, maxInstances int) bool {
	for _, g := range members {
		s, _ := g.currentShare()
		if s.Confidence != confidence || s.Instances != instances || maxInstances != 0 && s.MaxInstances != maxInstances {
			return false
		}
	}
	return true
}

// checkOneSettledGroup fails the test if a member is settled in a group that has no member in common with that of the first settled member.
func (v *virtualFleet) checkOneSettledGroup() {
	v.t.Helper()
	var first []string
	for i, g := range v.members {
		if g == nil {
			continue
		}
		s, ok := g.currentShare()
		if !ok || s.Confidence != peers.Settled {
			continue
		}
		if first == nil {
			first = s.Names
			continue
		}
		if !slices.ContainsFunc(s.Names, func(name string) bool { return slices.Contains(first, name) }) {
			v.t.Fatalf("member %d is settled in group %v, another member in group %v; want a common member; steps:\n%s",
				i, s.Names, first, strings.Join(v.history, "\n"))
		}
	}
}

// waitFor waits until a condition holds, and returns how long that took. It fails the test if the condition does not hold within d.
func (v *virtualFleet) waitFor(d time.Duration, description string, condition func() bool) time.Duration {
	v.t.Helper()
	startedAt := time.Now()
	for !condition() {
		if time.Since(startedAt) > d {
			v.t.Fatalf("waited for %s: not reached within %v; steps:\n%s\nviews:\n%s", description, d, strings.Join(v.history, "\n"), v.describeViews())
		}
		time.Sleep(50 * time.Millisecond)
	}
	return time.Since(startedAt)
}

// describeViews returns the views of all members as text, to be printed on a failure.
func (v *virtualFleet) describeViews() string {
	var text strings.Builder
	for i, g := range v.members {
		if g == nil {
			fmt.Fprintf(&text, "%d: dead\n", i)
			continue
		}
		s, ok := g.currentShare()
		fmt.Fprintf(&text, "%d: %v %v", i, ok, s)
		for _, m := range g.Report().Members {
			if !m.InGroup || m.State != "serving" {
				fmt.Fprintf(&text, "; %s %s %s reached %v for %dms inc %d",
					m.Name, m.Process[:4], m.State, m.Reachable, m.StateAgeMS, m.Incarnation)
			}
		}
		text.WriteString("\n")
	}
	return text.String()
}
