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

// catchUp is the shortest time between the start of a successor and the next loss that docs/control-safety.md allows.
const catchUp = 4 * time.Second

// secondLoss is a loss during, or soon after, the replacement of a voter that was lost before.
type secondLoss struct {
	name string
	wipe bool // it loses a disk, so it may only come catchUp after the successor's start
	do   func(core *testCore, victim int, running []int)
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

// A voter is lost for good, and an empty machine starts at another address. Then another voter is lost, at any moment at which the pages
// allow it. What was acknowledged is still read, and the next change is applied.
func TestSecondLossAfterReplacement(t *testing.T) {
	for _, loss := range secondLosses {
		t.Run(loss.name, func(t *testing.T) {
			for after := time.Duration(0); after <= catchUp; after += 500 * time.Millisecond {
				if loss.wipe {
					after = catchUp
				}
				for victim := 1; victim <= 3; victim++ {
					runSecondLoss(t, loss, victim, after)
				}
			}
		})
	}
}

// runSecondLoss replaces the lost server 0 by the empty server 3, and loses another server some time after the start of 3.
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
		if loss.wipe {
			core.c.Assert(core.server(2).Voters(), qt.DeepEquals, []string{node(1), node(2), node(3)})
			core.c.Assert(core.replace(ctx, 1, 1, 2), qt.Equals, Committed)
			version = 2
		}
		loss.do(core, victim, []int{1, 2, 3})
		at := victim%3 + 1
		core.c.Assert(core.newest(ctx, at), qt.Equals, version, qt.Commentf("%v, node %d", at, victim))
		core.c.Assert(core.replace(ctx, at, version, version+1), qt.Equals, Committed)
		core.await(2*catchUp, func() bool { return slices.Contains(core.server(at).Voters(), node(3)) })
	})
}

// A voter that shuts down gives its place to a standby, and may be switched off at once: if another disk is lost after that, nothing
// that was acknowledged is lost.
func TestHandOver(t *testing.T) {
	for leaving := range 3 {
		for victim := range 4 {
			if victim == leaving {
				continue
			}
			runGrown(t, 4, 1, 3, func(ctx context.Context, core *testCore) {
				time.Sleep(2 * time.Second) // they know each other
				other := (leaving + 1) % 3
				core.isolate(other, true) // so that only the leaving voter and one more accept the change
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
				core.c.Assert(core.newest(ctx, victim), qt.Equals, configuration.Version(1), qt.Commentf("%d leaves, %d is lost", leaving, victim))
				core.c.Assert(core.replace(ctx, victim, 1, 2), qt.Equals, Committed)
				core.c.Assert(len(core.server(victim).Voters()), qt.Equals, 3)
				core.c.Assert(slices.Contains(core.server(victim).Voters(), node(leaving)), qt.IsFalse)
			})
		}
	}
}

// Two of five voters are lost for good, or shut down, at the same time, and two empty machines start. After catchUp any two of the
// remaining disks are lost.
func TestTwoReplacedThenTwoLost(t *testing.T) {
	for _, handOver := range []bool{false, true} {
		for _, victims := range [][2]int{{2, 3}, {3, 4}, {2, 5}, {5, 6}, {4, 6}} {
			t.Run(fmt.Sprintf("victims %v, handed over: %v", victims, handOver), func(t *testing.T) {
				runGrown(t, 5, 2, 5, func(ctx context.Context, core *testCore) {
					core.c.Assert(core.replace(ctx, 1, 0, 1), qt.Equals, Committed)
					core.replaceFirstTwo(ctx, handOver)
					time.Sleep(catchUp)
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

// replaceFirstTwo replaces servers 0 and 1 by the empty servers 5 and 6. If handOver is true, 0 and 1 hand over to them; otherwise they
// are lost before 5 and 6 start.
func (t *testCore) replaceFirstTwo(ctx context.Context, handOver bool) {
	if handOver {
		t.start(5, false)
		t.start(6, false)
		time.Sleep(time.Second)
		var both sync.WaitGroup
		for i := range 2 {
			leaving := t.server(i)
			both.Go(func() {
				short, cancel := context.WithTimeout(ctx, 2500*time.Millisecond)
				defer cancel()
				t.c.Check(leaving.HandOver(short), qt.IsNil)
			})
		}
		both.Wait()
	}
	t.loseMachine(0)
	t.loseMachine(1)
	if !handOver {
		time.Sleep(time.Second)
		t.start(5, false)
		t.start(6, false)
	}
}

// Without a standby, a voter that shuts down stays a voter and does not wait. One that reaches no other process gets an error in time.
func TestHandOverToNobody(t *testing.T) {
	runGrown(t, 3, 1, 3, func(ctx context.Context, core *testCore) {
		began := time.Now()
		core.c.Assert(core.server(0).HandOver(ctx), qt.IsNil)
		core.c.Assert(time.Since(began) < 100*time.Millisecond, qt.IsTrue)
		core.c.Assert(len(core.server(1).Voters()), qt.Equals, 3)
		core.c.Assert(core.server(1).VoterSet().Epoch, qt.Equals, uint64(0))

		core.isolate(0, true)
		short, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		core.c.Assert(core.server(0).HandOver(short), qt.IsNotNil)
	})
}

// A voter that only one process cannot reach is not replaced, and a process that reaches no other one replaces nobody.
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

// However often voters become unresponsive, the number of replacements in a minute is limited.
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
		time.Sleep(catchUp)
		epochs := core.server(0).VoterSet().Epoch - initialEpoch
		t.Logf("%d changes of the voters in a minute", epochs)
		core.c.Assert(epochs <= uint64(2*time.Minute/replaceWindow)+1, qt.IsTrue, qt.Commentf("%d", epochs))
		core.c.Assert(len(core.server(0).Voters()), qt.Equals, 5)
		core.c.Assert(core.newest(ctx, 3), qt.Equals, configuration.Version(1))
	})
}

// The time from a successor's start until it is a voter, with messages that are late and lost, is below the time after which the pages
// allow the next loss.
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
			core.await(2*catchUp, func() bool { return slices.Contains(core.server(at).Voters(), node(3)) })
			core.c.Assert(core.newest(ctx, 3), qt.Equals, configuration.Version(1))
			took = append(took, time.Since(began))
		})
	}
	slices.Sort(took)
	t.Logf("from the successor's start until it votes, %d runs: p50 %v, max %v", runs, took[runs/2], took[runs-1])
	qt.Assert(t, took[runs-1] < catchUp, qt.IsTrue)
}

// Probes, replies and timeouts of the failure detector, at given times.
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
	detector.resetTimeouts(at(60000)) // this process was suspended: nobody is unresponsive yet
	c.Assert(detector.unresponsive(at(61000), []string{"a", "b"}), qt.HasLen, 0)
	detector.observeReply(at(61000), "b", &consensus.Reply{})
	c.Assert(detector.unresponsive(at(62000), []string{"a", "b"}), qt.DeepEquals, []string{"a"})
	detector.track(at(62000), []string{"b"})
	detector.observeReply(at(62000), "a", &consensus.Reply{}) // not tracked any more
	c.Assert(len(detector.peerStatuses(at(62000), nil, nil, never)), qt.Equals, 1)
}

// When a change of the voters returns, a majority of the new voters has the new set on disk, even if no Commit arrived.
func TestChangeReturnsWithTheListOnDisk(t *testing.T) {
	runGrownWithChange(t, func(ctx context.Context, core *testCore) {
		core.mu.Lock()
		core.drops = consensus.Commit
		core.mu.Unlock()
		old := core.server(0).VoterSet()
		core.c.Assert(core.server(0).voters.change(ctx, old, consensus.VoterChange{Add: node(3), Remove: node(0)}), qt.IsNil)
		onDisk := 0
		for i := 1; i <= 3; i++ {
			if core.server(i).acceptor.status().decidedEpoch == old.Epoch+1 {
				onDisk++
			}
		}
		core.c.Assert(onDisk >= 2, qt.IsTrue, qt.Commentf("%d have it", onDisk))
	})
}

// After its own suspension a process considers no other one unresponsive, and plans no change.
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

// One voter may be replaced in a window, or as many as may be lost at once, with a pause in between.
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
		limiter.observe(start, voterSet(5, "a", "b", "c", "d")) // nobody was replaced
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
