package lease

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// The holder stops before the voter grants the lease to another process. A restarted voter waits before its first grant.
func TestHolderStopsBeforeAnotherIsGranted(t *testing.T) {
	c := qt.New(t)
	voter := NewVoter(0, true)
	holder := NewCandidate("a", 1, "d", func() float64 { return 0 })
	request := holder.Tick(0, 1, 0)
	c.Assert(holder.HandleReply(time.Millisecond, 0, "v", voter.Handle(time.Millisecond, initialStatus, request)), qt.IsTrue)
	first, ok := holder.Holds(Duration / 2)
	c.Assert(ok, qt.IsTrue)
	_, ok = holder.Holds(Duration)
	c.Assert(ok, qt.IsFalse)
	other := &Request{Holder: "b", Incarnation: 2, Roles: []RoleRequest{{Role: "d", FencingToken: first + 1}}}
	c.Assert(voter.Handle(Duration, initialStatus, other).Grants[0].Granted, qt.IsFalse)
	c.Assert(voter.Handle(Duration+time.Millisecond, initialStatus, other).Grants[0].Granted, qt.IsTrue)
	// The first holder's token is out of date now.
	outdated := &Request{Holder: "a", Incarnation: 1, Roles: []RoleRequest{{Role: "d", FencingToken: first}}}
	c.Assert(voter.Handle(3*Duration, initialStatus, outdated).Grants[0].Granted, qt.IsFalse)
	// A voter that has restarted grants nothing yet.
	voter = NewVoter(4*Duration, false)
	c.Assert(voter.Handle(5*Duration-1, initialStatus, other).Grants[0].Granted, qt.IsFalse)
}

// A lease is requested from disjoint majorities. a and b of the old voter set granted it just before the new set was chosen by b, c and d;
// c and d know nothing of the holder. A candidate that knows the new voter set obtains the lease only after the holder has stopped.
// The holder itself, if it loses the lease, has to wait as well.
func TestDisjointMajorities(t *testing.T) {
	c := qt.New(t)
	zero := func() float64 { return 0 }
	voters := map[string]*Voter{}
	for _, name := range []string{"a", "b", "c", "d"} {
		voters[name] = NewVoter(0, true)
	}
	oldVoters, newVoters := []string{"a", "b", "c"}, []string{"b", "c", "d"}
	accepted := map[string]VoterStatus{"a": initialStatus, "b": initialStatus, "c": initialStatus, "d": initialStatus}
	ask := func(candidate *Candidate, now time.Duration, epoch uint64, among []string, reach ...string) bool {
		request := candidate.Tick(now, len(among), epoch)
		obtained := false
		for _, name := range reach {
			if request != nil {
				obtained = candidate.HandleReply(now, now, name, voters[name].Handle(now, accepted[name], request)) || obtained
			}
		}
		return obtained
	}
	holder, other := NewCandidate("h", 1, "d", zero), NewCandidate("o", 2, "d", zero)
	c.Assert(ask(holder, 0, 0, oldVoters, "a", "b"), qt.IsTrue)
	first, _ := holder.Holds(0)

	chosen := time.Millisecond
	for _, name := range newVoters {
		accepted[name] = VoterStatus{Ready: true, VoterSetEpoch: 1}
	}
	c.Assert(ask(holder, renewInterval, 0, oldVoters, "a", "b"), qt.IsFalse) // b rejects the old voter set
	c.Assert(ask(other, chosen, 1, newVoters, "c", "d"), qt.IsFalse)         // too early to ask
	_, ok := holder.Holds(holderDuration - 1)
	c.Assert(ok, qt.IsTrue)
	c.Assert(ask(other, holderDuration, 1, newVoters, "c", "d"), qt.IsFalse)
	c.Assert(ask(other, chosen+voterChangeDelay, 1, newVoters, "c", "d"), qt.IsTrue)
	second, _ := other.Holds(chosen + voterChangeDelay)
	c.Assert(second > first, qt.IsTrue)
	_, ok = holder.Holds(chosen + voterChangeDelay)
	c.Assert(ok, qt.IsFalse)

	// The holder learns of the new voter set while it holds the lease, cannot renew it, and waits like any other candidate.
	holder = NewCandidate("h", 3, "e", zero)
	c.Assert(ask(holder, 0, 0, oldVoters), qt.IsFalse)
	holder.HandleReply(0, 0, "a", &Reply{Grants: []RoleReply{{Role: "e", Granted: true, FencingToken: 1}}})
	c.Assert(holder.HandleReply(0, 0, "b", &Reply{Grants: []RoleReply{{Role: "e", Granted: true, FencingToken: 1}}}), qt.IsTrue)
	c.Assert(holder.Tick(holderDuration-1, 3, 1), qt.IsNotNil) // renews under the new voter set
	for now := holderDuration; now < holderDuration-1+voterChangeDelay; now += retryDelay {
		c.Assert(holder.Tick(now, 3, 1), qt.IsNil)
	}
	c.Assert(holder.Tick(holderDuration-1+voterChangeDelay, 3, 1), qt.IsNotNil)
}

// A late release of an earlier token does not end a newer grant. After a release the next candidate obtains the lease at once.
func TestRelease(t *testing.T) {
	c := qt.New(t)
	zero := func() float64 { return 0 }
	voter := NewVoter(0, true)
	first, second := NewCandidate("a", 1, "d", zero), NewCandidate("b", 2, "d", zero)
	c.Assert(first.HandleReply(0, 0, "v", voter.Handle(0, initialStatus, first.Tick(0, 1, 0))), qt.IsTrue)
	late := first.releaseRequest()
	first.ObserveToken(0, 7) // tokens were used that the voter forgot
	c.Assert(first.HandleReply(0, 0, "v", voter.Handle(0, initialStatus, first.Tick(0, 1, 0))), qt.IsFalse)
	token, _ := first.Holds(0)
	c.Assert(token > 7, qt.IsTrue)
	voter.Handle(0, initialStatus, late)
	second.ObserveToken(0, token)
	second.HandleReply(0, 0, "v", voter.Handle(0, initialStatus, second.Tick(0, 1, 0)))
	_, ok := second.Holds(0)
	c.Assert(ok, qt.IsFalse)

	now := 10 * time.Millisecond
	release := first.Resign()
	_, ok = first.Holds(now)
	c.Assert(ok, qt.IsFalse)
	voter.Handle(now, initialStatus, release)
	second.HolderReleased(now, "a")
	c.Assert(second.HandleReply(now, now, "v", voter.Handle(now, initialStatus, second.Tick(now, 1, 0))), qt.IsTrue)
	nextToken, _ := second.Holds(now)
	c.Assert(nextToken > token, qt.IsTrue)
	c.Assert(first.Tick(Duration*5, 1, 0), qt.IsNil)
}

// A voter grants nothing under a voter set older than the one it accepted, or while it does not know which that is. It reports its
// epoch.
func TestVoterRejectsOldVoterSets(t *testing.T) {
	voter := NewVoter(0, true)
	request := &Request{Holder: "a", Incarnation: 1, VoterSetEpoch: 4, Roles: []RoleRequest{{Role: "d", FencingToken: 1}}}
	for _, test := range []struct {
		name    string
		status  VoterStatus
		granted bool
	}{
		{"it accepted a newer one", VoterStatus{Ready: true, VoterSetEpoch: 5}, false},
		{"it is not ready", VoterStatus{Ready: false, VoterSetEpoch: 4}, false},
		{"it accepted the same", VoterStatus{Ready: true, VoterSetEpoch: 4}, true},
		{"it accepted an older one", VoterStatus{Ready: true, VoterSetEpoch: 3}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			reply := voter.Handle(0, test.status, request)
			qt.Assert(t, reply.Grants[0].Granted, qt.Equals, test.granted)
			qt.Assert(t, reply.VoterSetEpoch, qt.Equals, test.status.VoterSetEpoch)
		})
	}
}

// A candidate that one voter rejected, while a majority granted it the lease, renews the lease in time.
func TestHolderRenewsAfterARefusal(t *testing.T) {
	c := qt.New(t)
	candidate := NewCandidate("x", 1, "d", func() float64 { return 1 })
	candidate.SetRank(4)
	c.Assert(candidate.Tick(0, 3, 0), qt.IsNotNil)
	candidate.HandleReply(0, 0, "a", &Reply{Grants: []RoleReply{{Role: "d", FencingToken: 1, Holder: "y", Remaining: Duration}}})
	granted := &Reply{Grants: []RoleReply{{Role: "d", Granted: true, FencingToken: 1}}}
	candidate.HandleReply(0, 0, "b", granted)
	c.Assert(candidate.HandleReply(0, 0, "c", granted), qt.IsTrue)
	c.Assert(candidate.Tick(renewInterval, 3, 0), qt.IsNotNil)
}

// A holder whose clock is slow by 4.9% against the voters' has stopped before they grant the lease to another.
func TestDriftingClocks(t *testing.T) {
	const fast = 1.049
	voter := NewVoter(0, true)
	holder := NewCandidate("h", 1, "d", func() float64 { return 0 })
	qt.Assert(t, holder.HandleReply(0, 0, "v", voter.Handle(0, initialStatus, holder.Tick(0, 1, 0))), qt.IsTrue)
	for now := time.Duration(0); ; now += time.Millisecond {
		other := &Request{Holder: "o", Incarnation: 2, Roles: []RoleRequest{{Role: "d", FencingToken: 2}}}
		if voter.Handle(localTime(now, fast), initialStatus, other).Grants[0].Granted {
			_, holds := holder.Holds(now)
			qt.Assert(t, holds, qt.IsFalse, qt.Commentf("%v after the request", now))
			return
		}
	}
}
