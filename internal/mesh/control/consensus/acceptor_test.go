package consensus

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// A voter that knows a newer list as decided takes no part in a round under an older one, and tells the newer list. It answers a
// replica that recovers under any list.
func TestOldListIsRefused(t *testing.T) {
	c := qt.New(t)
	newer := VoterSet{Epoch: 3, Voters: []string{"v0", "v1", "v3"}, Previous: []string{"v0", "v1", "v2"}}
	r := Record{State: ReplicaState{VoterSet: newer, Ready: true, DiskIncarnation: 1}}
	for _, kind := range []RequestKind{ReadVote, Prepare, Accept} {
		q := Request{Kind: kind, Ballot: Ballot{5, "p"}, Epoch: 2}
		reply, next, changed := r.Handle(&q)
		c.Assert(reply.Kind, qt.Equals, StaleEpoch)
		c.Assert(reply.VoterSet, qt.DeepEquals, newer)
		c.Assert(next, qt.DeepEquals, r)
		c.Assert(changed.Any(), qt.IsFalse)
		q.Epoch = 3
		reply, _, _ = r.Handle(&q)
		c.Assert(reply.Kind, qt.Not(qt.Equals), StaleEpoch)
	}
	reply, _, _ := r.Handle(&Request{Kind: Recover, Node: "v1", DiskIncarnation: 7})
	c.Assert(reply.Kind, qt.Equals, Reported)
}
