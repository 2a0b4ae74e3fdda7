package gossip

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"quincegap/internal/modules/peers"
)

// After a partition into halves neither half is settled, each half's view contains its own members, and the halves merge after the
// partition has healed.
func TestPartitionIntoHalves(t *testing.T) {
	useOneProcessor(t)
	synctest.Test(t, func(t *testing.T) {
		const n = 10
		fleet := newFleet(t, n, 1)
		defer fleet.killAll()
		fleet.startAll(nil)
		fleet.waitFor(convergenceTimeout, "all members to settle after the start", fleet.converged)
		fleet.partitionHalves()
		parts := func() bool { return haveShares(fleet.members, peers.Partitioned, n/2, n) }
		fleet.waitFor(20*time.Second, "both halves to be partitioned", parts)
		for range 150 {
			time.Sleep(time.Second)
			for i, g := range fleet.members {
				if s, _ := g.currentShare(); s.Confidence == peers.Settled {
					t.Fatalf("member %d is settled in one half: %+v, want confidence %v", i, s, peers.Partitioned)
				}
			}
		}
		fleet.heal()
		fleet.waitFor(convergenceTimeout, "all members to settle after the partition", fleet.converged)
	})
}

// Members of another application or with another key are rejected and counted, and are in no view.
func TestForeignMembersAreRejected(t *testing.T) {
	useOneProcessor(t)
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, 5, 1)
		defer fleet.killAll()
		key := []byte("0123456789abcdef")
		other := []byte("fedcba9876543210")
		for i := range 3 {
			fleet.start(i, 3, func(c *Config) { c.Keys = [][]byte{key} })
		}
		fleet.start(3, 3, func(c *Config) { c.Keys = [][]byte{key}; c.Application = "slot-keeper" })
		fleet.start(4, 3, func(c *Config) { c.Keys = [][]byte{other} })
		three := func() bool { return haveShares(fleet.members[:3], peers.Settled, 3, 0) }
		fleet.waitFor(convergenceTimeout, "the three members of one application to settle", three)
		time.Sleep(time.Minute)
		rejected := map[string]int{}
		for _, g := range fleet.members[:3] {
			for reason, n := range g.Report().Rejected {
				rejected[reason] += n
			}
		}
		if !three() || rejected["other application"] == 0 || rejected["other key"] == 0 {
			t.Errorf("rejections by reason are %v, want some by application and by key, and three settled members\n%s", rejected, fleet.describeViews())
		}
		for _, i := range []int{3, 4} {
			if s, ok := fleet.members[i].currentShare(); ok && s.Instances > 1 {
				t.Errorf("member %d of another application or key is in a group of several: %+v", i, s)
			}
		}
	})
}

// A key is replaced member by member, with both keys installed in between, and no member is lost.
func TestKeyIsReplaced(t *testing.T) {
	useOneProcessor(t)
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, 5, 1)
		defer fleet.killAll()
		oldKey := []byte("0123456789abcdef")
		newKey := []byte("0123456789abcdef0123456789abcdef")
		for i := range 5 {
			fleet.start(i, 5, func(c *Config) { c.Keys = [][]byte{oldKey} })
		}
		fleet.waitFor(convergenceTimeout, "all members to settle after the start", fleet.converged)
		for _, keys := range [][][]byte{{oldKey, newKey}, {newKey, oldKey}, {newKey}} {
			for _, g := range fleet.members {
				if err := g.ReplaceKeys(keys); err != nil {
					t.Fatal(err)
				}
				time.Sleep(3 * time.Second)
				if !fleet.converged() {
					t.Fatalf("the members are not settled in one group after a key change of one of them\n%s", fleet.describeViews())
				}
			}
		}
	})
}

// Many members join within a second through one seed member: 60, and 200 in `make soak`.
func TestManyJoinThroughOne(t *testing.T) {
	useOneProcessor(t)
	synctest.Test(t, func(t *testing.T) {
		n := 60
		if soaking() {
			n = 200
		}
		fleet := newFleet(t, n, 1)
		defer fleet.killAll()
		fleet.join = address(0)
		for i := range n {
			fleet.start(i, n, nil)
			time.Sleep(time.Second / time.Duration(n))
		}
		t.Log("settled after", fleet.waitFor(2*convergenceTimeout, "all members to settle after they joined through one", fleet.converged))
	})
}

// Packets that are replayed after their records have been discarded change no group, and bring back no dead member.
func TestReplayOfWhatIsForgotten(t *testing.T) {
	useOneProcessor(t)
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, 5, 1)
		defer fleet.killAll()
		fleet.net.recording = true
		for i := range 5 {
			fleet.start(i, 4, func(c *Config) { c.ForgetAfter = time.Minute })
		}
		fleet.waitFor(convergenceTimeout, "all members to settle after the start", fleet.converged)
		fleet.kill(4)
		fleet.waitFor(convergenceTimeout, "the four survivors to settle", fleet.converged)
		fleet.net.update(func() { fleet.net.recording = false })
		time.Sleep(2 * time.Minute)
		fleet.net.update(func() {
			for to, packets := range fleet.net.recorded {
				for _, r := range packets {
					fleet.net.deliver(address(4), to, r.packet)
				}
			}
		})
		for range 60 {
			time.Sleep(500 * time.Millisecond)
			for i, g := range fleet.members[:4] {
				if s, _ := g.currentShare(); slices.Contains(s.Names, "front-004") || s.Instances != 4 {
					t.Fatalf("member %d: share %+v after a replay, want 4 instances without front-004", i, s)
				}
			}
		}
	})
}

// A member that repeatedly broadcasts that all others are gone changes no group.
func TestFalseDeathReports(t *testing.T) {
	useOneProcessor(t)
	synctest.Test(t, func(t *testing.T) {
		const n = 8
		fleet := newFleet(t, n, 1)
		defer fleet.killAll()
		fleet.startAll(nil)
		fleet.waitFor(convergenceTimeout, "all members to settle after the start", fleet.converged)
		reporter := fleet.members[n-1]
		for range 120 {
			reporter.mu.Lock()
			for _, r := range reporter.view.Records() {
				if r.Process != reporter.announced.Process {
					r.State = peers.Gone
					reporter.broadcast(r)
				}
			}
			reporter.mu.Unlock()
			time.Sleep(500 * time.Millisecond)
			for i, g := range fleet.members[:n-1] {
				if s, _ := g.currentShare(); s.Instances != n || s.Confidence != peers.Settled {
					t.Fatalf("member %d: share %+v after false reports, want %d instances, settled", i, s, n)
				}
			}
		}
	})
}

// Two fleets that were joined by mistake and separated again are partitioned, since this looks like a network partition, and count their
// current members; members that restart settle.
func TestJoinedByMistake(t *testing.T) {
	useOneProcessor(t)
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, 10, 1)
		defer fleet.killAll()
		for i := range 10 {
			fleet.start(i, 5, func(c *Config) { c.Join = address(i / 5 * 5) })
		}
		side := func(from, maxInstances int, want peers.Confidence) func() bool {
			return func() bool { return haveShares(fleet.members[from:from+5], want, 5, maxInstances) }
		}
		fleet.waitFor(convergenceTimeout, "the first fleet to settle", side(0, 5, peers.Settled))
		fleet.waitFor(convergenceTimeout, "the second fleet to settle", side(5, 5, peers.Settled))
		go func() { _, _ = fleet.members[0].list.Join([]string{address(5)}) }() // the check below shows whether the join succeeded
		fleet.waitFor(convergenceTimeout, "the joined fleets to settle as one", fleet.converged)
		fleet.partitionHalves()
		fleet.waitFor(convergenceTimeout, "the first fleet to be partitioned", side(0, 10, peers.Partitioned))
		fleet.waitFor(convergenceTimeout, "the second fleet to be partitioned", side(5, 10, peers.Partitioned))
		for i := range 5 {
			fleet.kill(i)
			fleet.start(i, 5, func(c *Config) { c.Join = address(0) })
		}
		fleet.waitFor(convergenceTimeout, "the restarted fleet to settle", side(0, 5, peers.Settled))
	})
}

// All members restart at other addresses, and know only old addresses except for one valid one in their settings: they form one group again.
func TestAllAddressesChange(t *testing.T) {
	useOneProcessor(t)
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, 12, 1)
		defer fleet.killAll()
		fleet.join = address(0)
		names := func(i int) func(c *Config) { return func(c *Config) { c.Name = fmt.Sprintf("front-%03d", i%6) } }
		for i := range 6 {
			fleet.start(i, 6, names(i))
		}
		fleet.waitFor(convergenceTimeout, "all members to settle after the start", fleet.converged)
		learned := fleet.members[3].joinSchedule.Learned()
		for i := range 6 {
			fleet.kill(i)
		}
		for i := range 6 { // the new addresses are 6 to 11; no member uses the old seed's address
			fleet.start(6+i, 6, func(c *Config) {
				names(i)(c)
				c.Join = address(6) + "," + address(0)
				c.SettledNames = []string{"front-000", "front-001", "front-002"}
				c.KnownAddresses = learned
			})
		}
		fleet.waitFor(convergenceTimeout, "the members to settle at their new addresses", fleet.converged)
	})
}
