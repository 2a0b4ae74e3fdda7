package consensus

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// A voter that knows a newer voter set to be decided takes no part in a round under an older one, and reports the newer one. It
// answers a replica that recovers under any voter set.
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
