package controlplane

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"quincegap/internal/mesh/control/configuration"
	"quincegap/internal/mesh/control/consensus"
	"quincegap/internal/mesh/transport/codec"
)

// The voter set grows from three to five voters. Then two of the five are lost, or lose their disks, immediately after the acknowledgement
// of a change that only these two and one other have stored. The change is still read.
func TestTwoOfFiveAreLost(t *testing.T) {
	for _, lost := range [][2]int{{0, 1}, {1, 2}, {2, 3}, {3, 4}, {0, 4}} {
		for _, dead := range []bool{false, true} {
			t.Run(fmt.Sprintf("%v, dead: %v", lost, dead), func(t *testing.T) {
				runGrown(t, 5, 2, 5, func(ctx context.Context, core *testCore) { core.loseTwoOfFive(ctx, lost, dead) })
			})
		}
	}
}

// loseTwoOfFive loses the disks of two servers. These start again immediately, or, if dead is true, after the next change.
func (t *testCore) loseTwoOfFive(ctx context.Context, lost [2]int, dead bool) {
	var isolated []int
	for i := range 5 {
		if i != lost[0] && i != lost[1] && len(isolated) < 2 {
			isolated = append(isolated, i)
			t.isolate(i, true)
		}
	}
	t.c.Assert(t.replace(ctx, lost[0], 0, 5), qt.Equals, Committed)
	for _, i := range lost {
		t.loseMachine(i)
	}
	for _, i := range isolated {
		t.isolate(i, false)
	}
	restart := func() {
		for _, i := range lost {
			t.start(i, false)
		}
	}
	at := isolated[0]
	if !dead {
		restart()
		at = lost[1]
	}
	t.c.Assert(t.newest(ctx, at), qt.Equals, configuration.Version(5))
	t.c.Assert(t.replace(ctx, at, 5, 6), qt.Equals, Committed)
	if dead {
		restart()
	}
	time.Sleep(5 * time.Second) // until the two servers have recovered their records
	t.isolate(isolated[0], true)
	t.isolate(isolated[1], true)
	t.c.Assert(t.newest(ctx, lost[0]), qt.Equals, configuration.Version(6))
	t.c.Assert(t.replace(ctx, lost[1], 6, 7), qt.Equals, Committed)
}

// All five servers are stopped immediately after an acknowledgement, and two of their disks are lost. The acknowledged version is still
// read.
func TestAllAreKilledAndTwoDisksLost(t *testing.T) {
	runGrown(t, 5, 2, 5, func(ctx context.Context, core *testCore) {
		core.c.Assert(core.replace(ctx, 1, 0, 5), qt.Equals, Committed)
		for i := range 5 {
			core.stop(i)
		}
		core.disks[node(1)] = nil
		core.disks[node(2)] = nil
		for i := range 5 {
			core.start(i, false)
		}
		core.c.Assert(core.newest(ctx, 1), qt.Equals, configuration.Version(5))
		core.c.Assert(core.replace(ctx, 2, 5, 6), qt.Equals, Committed)
		core.c.Assert(core.allKnowVoters(5), qt.IsTrue)
	})
}

// While the voter set grows and messages are delayed and lost, the outcome of each change is Committed or Unknown, and no committed change
// is lost.
func TestChangesWhileVotersChange(t *testing.T) {
	runCore(t, 0, func(ctx context.Context, core *testCore) {
		core.tolerated = 2
		core.maxDelay, core.lossRate = float64(30*time.Millisecond), 0.1
		for i := range 5 {
			core.start(i, true)
		}
		base, notCommitted := configuration.Version(0), 0
		began := time.Now()
		for version := configuration.Version(1); time.Since(began) < 20*time.Second; version++ {
			shortCtx, cancel := context.WithTimeout(ctx, callTimeout)
			outcome := core.server(int(version)%5).Replace(shortCtx, base, config(version, "")).Outcome
			cancel()
			core.c.Assert(outcome == Committed || outcome == Unknown, qt.IsTrue,
				qt.Commentf("outcome of the change to %v on %v: %v", version, base, outcome))
			if newest := core.newest(ctx, int(version+1)%5); newest == version {
				base = version
			} else {
				core.c.Assert(outcome, qt.Equals, Unknown)
				core.c.Assert(newest, qt.Equals, base)
				notCommitted++
			}
			time.Sleep(50 * time.Millisecond)
		}
		t.Logf("newest version %v, %d changes with an unknown outcome were not committed", base, notCommitted)
		core.mu.Lock()
		core.maxDelay, core.lossRate = 0, 0
		core.mu.Unlock()
		core.await(5*time.Second, func() bool { return core.allKnowVoters(5) })
	})
}

// A voter is retired while it is stopped, and starts again after ten minutes with its old voter set. Changes and reads at it have correct
// results, it learns that it is not a voter, and it does not become a voter automatically. After AddVoter it votes.
func TestRetiredComesBack(t *testing.T) {
	runGrown(t, 4, 1, 3, func(ctx context.Context, core *testCore) {
		core.c.Assert(core.replace(ctx, 1, 0, 1), qt.Equals, Committed)
		core.stop(0)
		core.c.Assert(core.server(1).RetireVoter(ctx, node(0)), qt.IsNil)
		core.await(10*time.Second, func() bool { return core.allKnowVoters(3) })
		core.c.Assert(slices.Contains(core.server(1).Voters(), node(3)), qt.IsTrue)
		core.c.Assert(core.replace(ctx, 1, 1, 2), qt.Equals, Committed)
		time.Sleep(10 * time.Minute) // longer than any timeout of the core
		core.seeds = []string{node(0), node(1), node(2)}
		core.start(0, false)
		core.isolate(3, true) // all of the old voters are reachable, and two of the new ones
		core.c.Assert(core.replace(ctx, 0, 1, 3), qt.Equals, Conflict)
		core.c.Assert(core.newest(ctx, 0), qt.Equals, configuration.Version(2))
		core.isolate(3, false)
		time.Sleep(10 * time.Second)
		core.c.Assert(slices.Contains(core.server(0).Voters(), node(0)), qt.IsFalse)
		core.c.Assert(core.server(0).Voters(), qt.DeepEquals, core.server(1).Voters())
		request := &consensus.Request{Kind: consensus.Prepare, Ballot: consensus.Ballot{Number: 99, Proposer: "x"}}
		reply, err := core.server(0).responder.answer(ctx, request)
		core.c.Assert(err, qt.IsNil)
		core.c.Assert(reply.Kind, qt.Equals, consensus.StaleEpoch)

		core.c.Assert(core.server(1).AddVoter(ctx, node(0)), qt.IsNil)
		core.isolate(2, true)
		core.c.Assert(core.replace(ctx, 0, 2, 4), qt.Equals, Committed)
		core.c.Assert(core.newest(ctx, 3), qt.Equals, configuration.Version(4))
	})
}

// A voter that is unresponsive for less than the timeout stays a voter. After the timeout a standby takes its place. Without a
// standby it stays a voter, however long it is unresponsive.
func TestUnresponsiveVoterIsReplaced(t *testing.T) {
	runGrown(t, 4, 1, 3, func(ctx context.Context, core *testCore) {
		core.isolate(0, true)
		time.Sleep(consensus.ReplaceDelay - probeTicks*reconfigureInterval)
		core.isolate(0, false)
		time.Sleep(5 * time.Minute)
		core.c.Assert(slices.Contains(core.server(1).Voters(), node(0)), qt.IsTrue)

		core.loseMachine(0)
		core.await(minLossInterval, func() bool { return !slices.Contains(core.server(1).Voters(), node(0)) })
		core.c.Assert(len(core.server(1).Voters()), qt.Equals, 3)
		core.c.Assert(core.replace(ctx, 3, 0, 1), qt.Equals, Committed)
		core.stop(1)
		time.Sleep(10 * time.Minute)
		core.c.Assert(slices.Contains(core.server(2).Voters(), node(1)), qt.IsTrue)
		core.start(0, false)
		core.await(minLossInterval, func() bool { return slices.Contains(core.server(2).Voters(), node(0)) })
		core.start(1, false)
		time.Sleep(10 * time.Second)
		core.c.Assert(core.newest(ctx, 1), qt.Equals, configuration.Version(1))
		core.c.Assert(len(core.server(1).Voters()), qt.Equals, 3)
	})
}

// All voters are replaced one by one. The seeds still name only the first voters, of which none runs any more.
func TestAllVotersAreReplacedOneByOne(t *testing.T) {
	runGrown(t, 4, 1, 3, func(ctx context.Context, core *testCore) {
		version := configuration.Version(0)
		for i := range 3 {
			core.c.Assert(core.server(3).RetireVoter(ctx, node(i)), qt.IsNil)
			core.await(10*time.Second, func() bool { return core.allKnowVoters(3) })
			core.stop(i)
			core.c.Assert(core.replace(ctx, 3, version, version+1), qt.Equals, Committed)
			version++
			if i < 2 {
				core.start(4+i, false) // with an empty disk
				time.Sleep(5 * time.Second)
				core.c.Assert(core.newest(ctx, 4+i), qt.Equals, version)
			}
		}
		for i := 3; i < 6; i++ {
			core.stop(i)
		}
		for i := 3; i < 6; i++ {
			core.start(i, false)
		}
		core.c.Assert(core.newest(ctx, 4), qt.Equals, version)
	})
}

// Two of three voters are stopped during the system's first start and restart with empty disks, as if they had not written anything yet.
// Their recovery finds that nothing was accepted, and they vote again.
func TestKilledBeforeTheFirstRecord(t *testing.T) {
	runCore(t, 3, func(ctx context.Context, core *testCore) {
		core.newest(ctx, 0)
		for i := 1; i < 3; i++ {
			core.loseMachine(i)
		}
		for i := 1; i < 3; i++ {
			core.start(i, false)
		}
		core.c.Assert(core.replace(ctx, 1, 0, 1), qt.Equals, Committed)
	})
}

// Voters with blank disks do not vote if a change was accepted, or while another voter does not answer.
func TestBlankVotersWait(t *testing.T) {
	runCore(t, 3, func(ctx context.Context, core *testCore) {
		core.c.Assert(core.replace(ctx, 0, 0, 1), qt.Equals, Committed)
		synctest.Wait() // until server 0 has accepted the change too, even if the other two were the majority
		_, err := core.disks[node(0)].Get(voteKey)
		core.c.Assert(err, qt.IsNil)
		for i := 1; i < 3; i++ {
			core.loseMachine(i)
			core.start(i, false)
		}
		shortCtx, cancel := context.WithTimeout(ctx, 20*time.Second)
		defer cancel()
		core.c.Assert(core.replace(shortCtx, 0, 1, 2), qt.Equals, Unknown)
	})
	runCore(t, 3, func(ctx context.Context, core *testCore) {
		core.newest(ctx, 0)
		for i := 1; i < 3; i++ {
			core.loseMachine(i)
		}
		core.start(1, false)
		shortCtx, cancel := context.WithTimeout(ctx, 20*time.Second)
		defer cancel()
		core.c.Assert(core.replace(shortCtx, 0, 0, 1), qt.Equals, Unknown)
		core.start(2, false)
		core.c.Assert(core.replace(ctx, 0, 0, 1), qt.Equals, Committed)
	})
}

// Folders of an earlier version, whose voter set was fixed, are read. The processes work with them, and the voter set grows.
func TestFolderOfAnEarlierVersion(t *testing.T) {
	runCore(t, 0, func(ctx context.Context, core *testCore) {
		core.tolerated = 2
		vote := consensus.Vote{Ballot: consensus.Ballot{Number: 7, Proposer: "x"}, Value: consensus.Value{
			Version: 5, Body: config(5, ""),
			History: []consensus.VersionDigest{{Version: 5}},
		}}
		for i := range 5 {
			old := legacyState{voters: core.seeds, ready: i < 3, diskIncarnation: 1}
			disk := &memoryStore{records: map[string][]byte{stateKey: codec.MarshalAppend(nil, &old)}}
			if i < 2 {
				disk.records[voteKey] = codec.MarshalAppend(nil, &vote)
			}
			core.disks[node(i)] = disk
			core.start(i, false)
		}
		core.c.Assert(core.newest(ctx, 4), qt.Equals, configuration.Version(5))
		core.c.Assert(core.replace(ctx, 4, 5, 6), qt.Equals, Committed)
		core.await(10*time.Second, func() bool { return core.allKnowVoters(5) })
		core.c.Assert(core.server(0).VoterSet().Epoch, qt.Equals, uint64(2))
		synctest.Wait()
	})
}

// legacyState is a consensus.ReplicaState in the format of earlier versions, whose voter set was fixed.
type legacyState struct {
	voters          []string
	ready           bool
	diskIncarnation uint64
}

func (l *legacyState) Fields(visitor *codec.Visitor) {
	visitor.Strings(1, &l.voters)
	visitor.Bool(2, &l.ready)
	visitor.Uint64(3, &l.diskIncarnation)
}
