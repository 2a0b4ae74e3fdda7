package consensus

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// A voter that knows a newer voter set to be decided rejects requests of rounds under an older one, and reports the newer set.
// It answers a recovering replica under any voter set.
func TestOldVoterSetIsRejected(t *testing.T) {
	c := qt.New(t)
	newer := VoterSet{Epoch: 3, Voters: []string{"v0", "v1", "v3"}, Previous: []string{"v0", "v1", "v2"}}
	record := Record{State: ReplicaState{VoterSet: newer, Ready: true, DiskIncarnation: 1}}
	for _, kind := range []RequestKind{ReadVote, Prepare, Accept} {
		request := Request{Kind: kind, Ballot: Ballot{5, "p"}, Epoch: 2}
		reply, next, changed := record.Handle(&request)
		c.Assert(reply.Kind, qt.Equals, StaleEpoch)
		c.Assert(reply.VoterSet, qt.DeepEquals, newer)
		c.Assert(next, qt.DeepEquals, record)
		c.Assert(changed.Any(), qt.IsFalse)
		request.Epoch = 3
		reply, _, _ = record.Handle(&request)
		c.Assert(reply.Kind, qt.Not(qt.Equals), StaleEpoch)
	}
	reply, _, _ := record.Handle(&Request{Kind: Recover, Node: "v1", DiskIncarnation: 7})
	c.Assert(reply.Kind, qt.Equals, Reported)
}

// A voter syncs the newer voter set of a request before it replies, and rejects a request whose voter set conflicts with its
// own.
func TestVoterSetsComeWithRequests(t *testing.T) {
	record := InitialRecord("v0", firstVoterSet(3).Voters)
	newer := *NewVoterChange(firstVoterSet(3), VoterChange{Add: "v3", Remove: "v2"}).nextVoters
	for _, kind := range []RequestKind{ReadVote, Prepare, Accept, Recover} {
		request := &Request{Kind: kind, Ballot: Ballot{5, "p"}, Epoch: 1, VoterSet: newer, Node: "x", DiskIncarnation: 7}
		reply, next, changed := record.Handle(request)
		qt.Assert(t, reply.Kind != StaleEpoch && reply.Kind != ConflictingVoters, qt.IsTrue)
		qt.Assert(t, changed.State, qt.IsTrue)
		qt.Assert(t, next.DecidedVoters().Voters, qt.DeepEquals, newer.Voters)
		other := newer
		other.Voters = []string{"v0", "v1", "v9"}
		request.VoterSet = other
		reply, after, changed := next.Handle(request)
		qt.Assert(t, reply.Kind, qt.Equals, ConflictingVoters)
		qt.Assert(t, changed.Any(), qt.IsFalse)
		qt.Assert(t, after.DecidedVoters().Voters, qt.DeepEquals, newer.Voters)
	}
}

// The kind of a voter's reply, and the parts of its record to sync before the reply, depend on what it has promised and
// accepted.
func TestHandle(t *testing.T) {
	voters := firstVoterSet(3)
	low, mid, high := Ballot{1, "p"}, Ballot{2, "p"}, Ballot{3, "p"}
	system := NewSystemID(voters.Voters)
	first := InitialRecord("v0", voters.Voters)
	promised := first
	promised.State.Promised = mid
	accepted := first
	accepted.Vote = Vote{Ballot: mid, Value: Value{Version: 1}}
	learned := promised
	learned.Vote = Vote{Ballot: low, Value: Value{Version: 1}, Learned: true}
	notReady := first
	notReady.State.Ready = false
	state, vote := Unsynced{State: true}, Unsynced{Vote: true}
	for name, test := range map[string]struct {
		record   Record
		request  Request
		kind     ReplyKind
		unsynced Unsynced
	}{
		"a prepare, nothing was promised":               {first, Request{Kind: Prepare, Ballot: low}, Promise, state},
		"a prepare below the promised ballot":           {promised, Request{Kind: Prepare, Ballot: low}, Rejected, Unsynced{}},
		"the same prepare again":                        {promised, Request{Kind: Prepare, Ballot: mid}, Promise, Unsynced{}},
		"a prepare above the promised ballot":           {promised, Request{Kind: Prepare, Ballot: high}, Promise, state},
		"a prepare below the accepted ballot":           {accepted, Request{Kind: Prepare, Ballot: low}, Rejected, Unsynced{}},
		"an accept without a promise":                   {first, Request{Kind: Accept, Ballot: low}, Accepted, vote},
		"an accept under the promised ballot":           {promised, Request{Kind: Accept, Ballot: mid}, Accepted, vote},
		"an accept below the promised ballot":           {promised, Request{Kind: Accept, Ballot: low}, Rejected, Unsynced{}},
		"the same accept again":                         {accepted, Request{Kind: Accept, Ballot: mid}, Accepted, Unsynced{}},
		"an accept below a promise over a learned vote": {learned, Request{Kind: Accept, Ballot: low}, Rejected, Unsynced{}},
		"a read":                           {accepted, Request{Kind: ReadVote}, Reported, Unsynced{}},
		"a recovery":                       {first, Request{Kind: Recover, Node: "v1", DiskIncarnation: 2}, Reported, state},
		"a recovery with incarnation 0":    {first, Request{Kind: Recover, Node: "v1"}, Rejected, Unsynced{}},
		"a request to describe":            {first, Request{Kind: Describe}, Reported, Unsynced{}},
		"a request to describe, not ready": {notReady, Request{Kind: Describe}, Reported, Unsynced{}},
		"a read, not ready":                {notReady, Request{Kind: ReadVote}, NotReady, Unsynced{}},
		"a read from the same system":      {first, Request{Kind: ReadVote, System: system}, Reported, Unsynced{}},
		"a read from another system":       {first, Request{Kind: ReadVote, System: system + 1}, ForeignSystem, Unsynced{}},
		"an unknown kind":                  {first, Request{Kind: 200, Ballot: low}, NotReady, Unsynced{}},
	} {
		t.Run(name, func(t *testing.T) {
			reply, _, unsynced := test.record.Handle(&test.request)
			qt.Check(t, reply.Kind, qt.Equals, test.kind)
			qt.Check(t, unsynced, qt.Equals, test.unsynced)
		})
	}
}
