package controlplane

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"quincegap/internal/mesh/control/configuration"
	"quincegap/internal/mesh/control/consensus"
	"quincegap/internal/mesh/transport/codec"
)

// A process whose folder belongs to another system, with a newer voter set, starts at an address of this system. Neither side adopts the
// other's voter set, value or votes, and the system ID in the folder does not change.
func TestFolderOfAnotherSystem(t *testing.T) {
	runGrownWithChange(t, func(ctx context.Context, core *testCore) {
		foreign := consensus.InitialRecord(node(4), []string{node(4), node(5), node(6)})
		foreign.State.VoterSet = consensus.VoterSet{Epoch: 9, Voters: []string{node(4), node(5), node(6)}}
		foreign.Vote = consensus.Vote{
			Ballot: consensus.Ballot{Number: 99, Proposer: "x"},
			Value:  consensus.Value{Version: 7, Body: config(7, ""), VoterSet: foreign.State.VoterSet},
		}
		disk := &memoryStore{records: map[string][]byte{
			stateKey: codec.MarshalAppend(nil, &foreign.State),
			voteKey:  codec.MarshalAppend(nil, &foreign.Vote),
		}}
		core.disks[node(4)] = disk
		core.start(4, false)
		time.Sleep(time.Minute)
		core.c.Assert(core.server(0).VoterSet().Epoch, qt.Equals, uint64(0))
		core.c.Assert(core.server(4).VoterSet().Epoch, qt.Equals, uint64(9))
		core.c.Assert(core.replace(ctx, 0, 1, 2), qt.Equals, Committed)
		core.c.Assert(core.newest(ctx, 2), qt.Equals, configuration.Version(2))
		request := &consensus.Request{
			Kind:     consensus.ReadVote,
			Epoch:    9,
			VoterSet: foreign.State.VoterSet,
			System:   foreign.State.System,
		}
		reply, err := core.server(0).responder.answer(ctx, request)
		core.c.Assert(err, qt.IsNil)
		core.c.Assert(reply.Kind, qt.Equals, consensus.ForeignSystem)
		var state consensus.ReplicaState
		core.c.Assert(codec.Unmarshal(disk.record(stateKey), &state), qt.IsNil)
		core.c.Assert(state.System, qt.Equals, foreign.State.System)
	})
}

// A request with other voters for an epoch that this process knows is rejected and changes nothing.
func TestRequestWithOtherVotersIsRejected(t *testing.T) {
	runGrownWithChange(t, func(ctx context.Context, core *testCore) {
		otherSet := consensus.VoterSet{Voters: []string{node(0), node(7), node(8)}}
		for _, kind := range []consensus.RequestKind{consensus.ReadVote, consensus.Prepare, consensus.Accept, consensus.Recover} {
			request := &consensus.Request{
				Kind:            kind,
				Ballot:          consensus.Ballot{Number: 99, Proposer: "x"},
				VoterSet:        otherSet,
				Node:            "x",
				DiskIncarnation: 9,
			}
			reply, err := core.server(0).responder.answer(ctx, request)
			core.c.Assert(err, qt.IsNil)
			core.c.Assert(reply.Kind, qt.Equals, consensus.ConflictingVoters)
		}
		core.c.Assert(core.server(0).Voters(), qt.DeepEquals, []string{node(0), node(1), node(2)})
		core.c.Assert(core.replace(ctx, 0, 1, 2), qt.Equals, Committed)
	})
}

// A record that a version without system IDs wrote gets the ID that is derived from its voters, and a process that joins learns the ID.
func TestSystemIsLearnt(t *testing.T) {
	runGrownWithChange(t, func(ctx context.Context, core *testCore) {
		want := consensus.NewSystemID([]string{node(0), node(1), node(2)})
		for i := range 4 {
			core.c.Assert(core.server(i).learner.system(), qt.Equals, want)
		}
		core.stop(1)
		disk := core.disks[node(1)]
		var state consensus.ReplicaState
		core.c.Assert(codec.Unmarshal(disk.record(stateKey), &state), qt.IsNil)
		state.System = 0
		core.c.Assert(disk.Put(stateKey, codec.MarshalAppend(nil, &state)), qt.IsNil)
		core.start(1, false)
		core.c.Assert(core.newest(ctx, 1), qt.Equals, configuration.Version(1))
		core.c.Assert(core.server(1).learner.system(), qt.Equals, want)
		core.start(5, false)
		time.Sleep(5 * time.Second)
		core.c.Assert(core.server(5).learner.system(), qt.Equals, want)
	})
}
