package controlplane

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"quincegap/internal/mesh/control/configuration"
	"quincegap/internal/mesh/control/consensus"
)

// minLossInterval is the shortest time between the start of a successor and the next loss of a disk that docs/control-safety.md allows.
const minLossInterval = 4 * time.Second

// secondLoss is a failure during, or soon after, the replacement of a voter that was lost before.
type secondLoss struct {
	name      string
	losesDisk bool // whether a disk is lost; if so, the loss may happen only minLossInterval after the successor's start
	cause     func(core *testCore, victim int, running []int)
}

var secondLosses = []secondLoss{
	{"wiped", true, func(core *testCore, victim int, _ []int) {
		core.loseMachine(victim)
		core.start(victim, false)
	}},
	{"wiped, power off for all", true, func(core *testCore, victim int, running []int) {
		for _, i := range running {
			core.stop(i)
		}
		core.disks[node(victim)] = nil
		for _, i := range running {
			core.start(i, false)
		}
	}},
	{"gone", true, func(core *testCore, victim int, _ []int) { core.loseMachine(victim) }},
	{"killed", false, func(core *testCore, victim int, _ []int) {
		core.stop(victim)
		core.start(victim, false)
	}},
	{"power off for all", false, func(core *testCore, _ int, running []int) {
		for _, i := range running {
			core.stop(i)
		}
		for _, i := range running {
			core.start(i, false)
		}
	}},
	{"cut off", false, func(core *testCore, victim int, _ []int) {
		core.isolate(victim, true)
		time.Sleep(3 * time.Second)
		core.isolate(victim, false)
	}},
}

// A voter is lost permanently, and a machine with an empty disk starts at another address. Then another voter fails, at any time at which
// the documentation allows it. The acknowledged version is still read, and the next change is applied.
func TestSecondLossAfterReplacement(t *testing.T) {
	for _, loss := range secondLosses {
		t.Run(loss.name, func(t *testing.T) {
			for after := time.Duration(0); after <= minLossInterval; after += 500 * time.Millisecond {
				if loss.losesDisk {
					after = minLossInterval
				}
				for victim := 1; victim <= 3; victim++ {
					runSecondLoss(t, loss, victim, after)
				}
			}
		})
	}
}

// runSecondLoss replaces the lost server 0 by the empty server 3, and causes the second loss some time after the start of server 3.
func runSecondLoss(t *testing.T, loss secondLoss, victim int, after time.Duration) {
	t.Helper()
	runCore(t, 0, func(ctx context.Context, core *testCore) {
		core.tolerated = 1
		for i := range 3 {
			core.start(i, true)
		}
		core.c.Assert(core.replace(ctx, 0, 0, 1), qt.Equals, Committed)
		core.loseMachine(0)
		core.start(3, false)
		time.Sleep(after)
		version := configuration.Version(1)
		if loss.losesDisk {
			core.c.Assert(core.server(2).Voters(), qt.DeepEquals, []string{node(1), node(2), node(3)})
			core.c.Assert(core.replace(ctx, 1, 1, 2), qt.Equals, Committed)
			version = 2
		}
		loss.cause(core, victim, []int{1, 2, 3})
		at := victim%3 + 1
		core.c.Assert(core.newest(ctx, at), qt.Equals, version,
			qt.Commentf("version that server %v reads after the failure of server %d", at, victim))
		core.c.Assert(core.replace(ctx, at, version, version+1), qt.Equals, Committed)
		core.await(2*minLossInterval, func() bool { return slices.Contains(core.server(at).Voters(), node(3)) })
	})
}

// A voter that shuts down is replaced by a standby, and may be switched off immediately: if another disk is lost after that, no
// acknowledged change is lost.
func TestHandOver(t *testing.T) {
	for leaving := range 3 {
		for victim := range 4 {
			if victim == leaving {
				continue
			}
			runGrown(t, 4, 1, 3, func(ctx context.Context, core *testCore) {
				time.Sleep(2 * time.Second) // until all servers know each other's status
				other := (leaving + 1) % 3
				core.isolate(other, true) // so that only the leaving voter and one other accept the change
				core.c.Assert(core.replace(ctx, leaving, 0, 1), qt.Equals, Committed)
				core.isolate(other, false)
				began := time.Now()
				core.c.Assert(core.server(leaving).HandOver(ctx), qt.IsNil)
				core.c.Assert(time.Since(began) < time.Second, qt.IsTrue)
				core.c.Assert(slices.Contains(core.server(leaving).Voters(), node(3)), qt.IsTrue)
				core.loseMachine(leaving)
				core.loseMachine(victim)
				core.start(victim, false)
				ctx, cancel := context.WithTimeout(ctx, time.Minute)
				defer cancel()
				core.c.Assert(core.newest(ctx, victim), qt.Equals, configuration.Version(1),
					qt.Commentf("version read after server %d left and server %d lost its disk", leaving, victim))
				core.c.Assert(core.replace(ctx, victim, 1, 2), qt.Equals, Committed)
				core.c.Assert(len(core.server(victim).Voters()), qt.Equals, 3)
				core.c.Assert(slices.Contains(core.server(victim).Voters(), node(leaving)), qt.IsFalse)
			})
		}
	}
}

// Two of five voters are lost permanently, or shut down, at the same time, and two machines with empty disks start. After minLossInterval
// two of the remaining disks are lost. The acknowledged version is still read, and the next change is applied.
func TestTwoReplacedThenTwoLost(t *testing.T) {
	for _, handOver := range []bool{false, true} {
		for _, victims := range [][2]int{{2, 3}, {3, 4}, {2, 5}, {5, 6}, {4, 6}} {
			t.Run(fmt.Sprintf("victims %v, handed over: %v", victims, handOver), func(t *testing.T) {
				runGrown(t, 5, 2, 5, func(ctx context.Context, core *testCore) {
					core.c.Assert(core.replace(ctx, 1, 0, 1), qt.Equals, Committed)
					core.replaceFirstTwo(ctx, handOver)
					time.Sleep(minLossInterval)
					core.c.Assert(core.server(4).Voters(), qt.DeepEquals, []string{node(2), node(3), node(4), node(5), node(6)})
					core.c.Assert(core.replace(ctx, 4, 1, 2), qt.Equals, Committed)
					for _, victim := range victims {
						core.loseMachine(victim)
					}
					for _, victim := range victims {
						core.start(victim, false)
					}
					core.c.Assert(core.newest(ctx, victims[0]), qt.Equals, configuration.Version(2))
					core.c.Assert(core.replace(ctx, victims[1], 2, 3), qt.Equals, Committed)
				})
			})
		}
	}
}

// replaceFirstTwo replaces servers 0 and 1 by the empty servers 5 and 6. If handOver is true, servers 0 and 1 hand over to them;
// otherwise servers 0 and 1 are lost before 5 and 6 start.
func (t *testCore) replaceFirstTwo(ctx context.Context, handOver bool) {
	if handOver {
		t.start(5, false)
		t.start(6, false)
		time.Sleep(time.Second)
		var handOvers sync.WaitGroup
		for i := range 2 {
			leaving := t.server(i)
			handOvers.Go(func() {
				shortCtx, cancel := context.WithTimeout(ctx, 2500*time.Millisecond)
				defer cancel()
				t.c.Check(leaving.HandOver(shortCtx), qt.IsNil)
			})
		}
		handOvers.Wait()
	}
	t.loseMachine(0)
	t.loseMachine(1)
	if !handOver {
		time.Sleep(time.Second)
		t.start(5, false)
		t.start(6, false)
	}
}

// Without a standby, a voter that shuts down stays a voter and does not wait. A voter that reaches no other process gets an error when its
// context ends.
func TestHandOverToNobody(t *testing.T) {
	runGrown(t, 3, 1, 3, func(ctx context.Context, core *testCore) {
		began := time.Now()
		core.c.Assert(core.server(0).HandOver(ctx), qt.IsNil)
		core.c.Assert(time.Since(began) < 100*time.Millisecond, qt.IsTrue)
		core.c.Assert(len(core.server(1).Voters()), qt.Equals, 3)
		core.c.Assert(core.server(1).VoterSet().Epoch, qt.Equals, uint64(0))

		core.isolate(0, true)
		shortCtx, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		core.c.Assert(core.server(0).HandOver(shortCtx), qt.IsNotNil)
	})
}

// A voter that is unreachable for only one process is not replaced, and a process that reaches no other process replaces no voter.
func TestOneProcessCantReplace(t *testing.T) {
	runGrown(t, 4, 1, 3, func(ctx context.Context, core *testCore) {
		core.mu.Lock()
		core.blocked = map[[2]string]bool{{node(1), node(0)}: true}
		core.mu.Unlock()
		time.Sleep(time.Minute)
		core.c.Assert(core.server(1).VoterSet().Epoch, qt.Equals, uint64(0))
		core.c.Assert(core.replace(ctx, 1, 0, 1), qt.Equals, Committed)

		core.isolate(0, true)
		core.isolate(1, true)
		core.isolate(2, true)
		time.Sleep(time.Minute)
		for i := range 4 {
			core.c.Assert(core.server(i).VoterSet().Epoch, qt.Equals, uint64(0))
		}
	})
}

// The number of replacements in a minute is limited, however often voters become unresponsive.
func TestReplacementsAreBounded(t *testing.T) {
	runGrown(t, 9, 2, 5, func(ctx context.Context, core *testCore) {
		initialEpoch := core.server(0).VoterSet().Epoch
		core.c.Assert(core.replace(ctx, 0, 0, 1), qt.Equals, Committed)
		rng := rand.New(rand.NewPCG(7, 7))
		began := time.Now()
		for time.Since(began) < time.Minute {
			first, second := rng.IntN(9), rng.IntN(9)
			core.isolate(first, true)
			core.isolate(second, true)
			time.Sleep(2500 * time.Millisecond)
			core.isolate(first, false)
			core.isolate(second, false)
			time.Sleep(500 * time.Millisecond)
		}
		time.Sleep(minLossInterval)
		epochs := core.server(0).VoterSet().Epoch - initialEpoch
		t.Logf("%d changes of the voters in a minute", epochs)
		core.c.Assert(epochs <= uint64(2*time.Minute/replaceWindow)+1, qt.IsTrue, qt.Commentf("changes of the voters in a minute: %d", epochs))
		core.c.Assert(len(core.server(0).Voters()), qt.Equals, 5)
		core.c.Assert(core.newest(ctx, 3), qt.Equals, configuration.Version(1))
	})
}

// With delayed and lost messages, the time from a successor's start until it is a voter is below the time after which the documentation
// allows the next loss.
func TestTimeToReplace(t *testing.T) {
	runs := 10
	if os.Getenv("SOAK") != "" {
		runs = 100
	}
	var took []time.Duration
	for run := range runs {
		runCore(t, 0, func(ctx context.Context, core *testCore) {
			core.tolerated, core.maxDelay, core.lossRate = 1, float64(10*time.Millisecond), 0.02
			rng := rand.New(rand.NewPCG(uint64(run), 4))
			core.rng = rand.New(rand.NewPCG(uint64(run), 3))
			for i := range 3 {
				core.start(i, true)
			}
			core.c.Assert(core.replace(ctx, 0, 0, 1), qt.Equals, Committed)
			time.Sleep(time.Duration(rng.IntN(1000)) * time.Millisecond)
			victim := run % 3
			core.loseMachine(victim)
			time.Sleep(time.Second)
			core.start(3, false)
			began := time.Now()
			at := (victim + 1) % 3
			core.await(2*minLossInterval, func() bool { return slices.Contains(core.server(at).Voters(), node(3)) })
			core.c.Assert(core.newest(ctx, 3), qt.Equals, configuration.Version(1))
			took = append(took, time.Since(began))
		})
	}
	slices.Sort(took)
	t.Logf("time from the successor's start until it is a voter, %d runs: p50 %v, max %v", runs, took[runs/2], took[runs-1])
	qt.Assert(t, took[runs-1] < minLossInterval, qt.IsTrue)
}

// The failure detector handles probes, replies and timeouts correctly at given times.
func TestFailureDetector(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var detector failureDetector
	detector.track(at(0), []string{"a", "b"})
	c.Assert(detector.startProbes(), qt.DeepEquals, []string{"a", "b"})
	c.Assert(detector.startProbes(), qt.HasLen, 0)
	detector.observeReply(at(10), "a", &consensus.Reply{Ready: true, Unresponsive: []string{"b"}})
	detector.observeReply(at(1000), "b", nil)
	c.Assert(detector.startProbes(), qt.DeepEquals, []string{"a", "b"})
	c.Assert(detector.unresponsive(at(1999), []string{"a", "b"}), qt.HasLen, 0)
	detector.observeReply(at(1900), "a", &consensus.Reply{Ready: true, Unresponsive: []string{"b"}})
	c.Assert(detector.unresponsive(at(2000), []string{"a", "b"}), qt.DeepEquals, []string{"b"})
	never := func(string) bool { return false }
	statuses := detector.peerStatuses(at(2000), []string{"a", "b", "self"}, []string{"b"}, never)
	c.Assert(statuses, qt.DeepEquals, []consensus.PeerStatus{
		{Node: "a", Responsive: true, StateDuration: 1990 * time.Millisecond, Ready: true},
		{Node: "b", StateDuration: 2 * time.Second, UnresponsiveReports: 2},
	})
	detector.resetTimeouts(at(60000)) // this process was suspended: no other one is unresponsive yet
	c.Assert(detector.unresponsive(at(61000), []string{"a", "b"}), qt.HasLen, 0)
	detector.observeReply(at(61000), "b", &consensus.Reply{})
	c.Assert(detector.unresponsive(at(62000), []string{"a", "b"}), qt.DeepEquals, []string{"a"})
	detector.track(at(62000), []string{"b"})
	detector.observeReply(at(62000), "a", &consensus.Reply{}) // no longer tracked
	c.Assert(len(detector.peerStatuses(at(62000), nil, nil, never)), qt.Equals, 1)
}

// When a change of the voters returns, a majority of the new voters has the new set on disk, even if all Commit requests were lost.
func TestChangeReturnsWithTheListOnDisk(t *testing.T) {
	runGrownWithChange(t, func(ctx context.Context, core *testCore) {
		core.mu.Lock()
		core.droppedKind = consensus.Commit
		core.mu.Unlock()
		oldSet := core.server(0).VoterSet()
		core.c.Assert(core.server(0).voters.change(ctx, oldSet, consensus.VoterChange{Add: node(3), Remove: node(0)}), qt.IsNil)
		onDisk := 0
		for i := 1; i <= 3; i++ {
			if core.server(i).acceptor.status().decidedEpoch == oldSet.Epoch+1 {
				onDisk++
			}
		}
		core.c.Assert(onDisk >= 2, qt.IsTrue, qt.Commentf("new voters with the new voter set on disk: %d", onDisk))
	})
}

// After a suspension a process considers no other process unresponsive, and plans no change of the voters.
func TestSuspensionIsNoTimeout(t *testing.T) {
	runGrownWithChange(t, func(_ context.Context, core *testCore) {
		server := core.server(1)
		monitor := newVoterMonitor(server.voters, server.log)
		now := time.Now()
		for range 4 {
			monitor.tick(now)
			now = now.Add(reconfigureInterval)
		}
		for _, node := range []string{node(0), node(2), node(3)} {
			monitor.detector.observeReply(now, node, &consensus.Reply{Ready: true, Unresponsive: []string{"nobody"}})
		}
		monitor.tick(now.Add(time.Minute))
		core.c.Assert(monitor.detector.unresponsive(now.Add(time.Minute), server.Voters()), qt.HasLen, 0)
		core.c.Assert(monitor.planned, qt.Equals, consensus.VoterChange{})
	})
}

// Within replaceWindow as many voters may be replaced as may be lost at once, but always one, and at least minReplaceInterval apart.
func TestReplacementsAllowed(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1000, 0)
	at := start.Add
	voterSet := func(epoch uint64, voters ...string) consensus.VoterSet {
		return consensus.VoterSet{Epoch: epoch, Voters: voters}
	}
	for _, tolerated := range []int{0, 1, 2} {
		var limiter replacementLimiter
		limiter.observe(start, voterSet(4, "a", "b", "c"))
		c.Assert(limiter.allows(start, tolerated), qt.IsTrue)
		limiter.observe(start, voterSet(5, "a", "b", "c", "d")) // a voter was added and none replaced
		c.Assert(limiter.allows(start, tolerated), qt.IsTrue)
		limiter.observe(start, voterSet(6, "a", "b", "d"))
		c.Assert(limiter.allows(at(minReplaceInterval-1), tolerated), qt.IsFalse)
		c.Assert(limiter.allows(at(minReplaceInterval), tolerated), qt.Equals, tolerated == 2)
		limiter.observe(at(minReplaceInterval), voterSet(7, "a", "d", "e"))
		limiter.observe(at(replaceWindow-1), voterSet(7, "a", "d", "e"))
		c.Assert(limiter.allows(at(replaceWindow-1), tolerated), qt.IsFalse)
		limiter.observe(at(replaceWindow+minReplaceInterval), voterSet(7, "a", "d", "e"))
		c.Assert(limiter.allows(at(replaceWindow+minReplaceInterval), tolerated), qt.IsTrue)
	}
}
