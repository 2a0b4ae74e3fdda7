package lease

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// The holder stops holding the lease before the voter grants it to another process. A restarted voter waits before its first grant.
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
	// The voter rejects the first holder's token, as a higher one was granted.
	outdated := &Request{Holder: "a", Incarnation: 1, Roles: []RoleRequest{{Role: "d", FencingToken: first}}}
	c.Assert(voter.Handle(3*Duration, initialStatus, outdated).Grants[0].Granted, qt.IsFalse)
	// A voter that has just restarted grants nothing for Duration.
	voter = NewVoter(4*Duration, false)
	c.Assert(voter.Handle(5*Duration-1, initialStatus, other).Grants[0].Granted, qt.IsFalse)
}

// Majorities of the old and of the new voter set can be disjoint: a and b of the old set grant the lease just before b, c and d
// choose the new set, so c and d know nothing of the holder. A candidate that knows the new voter set obtains the lease only after
// the holder has stopped. The holder itself, if it loses the lease, has to wait as well.
func TestDisjointMajorities(t *testing.T) {
	c := qt.New(t)
	noJitter := func() float64 { return 0 }
	voters := map[string]*Voter{}
	for _, name := range []string{"a", "b", "c", "d"} {
		voters[name] = NewVoter(0, true)
	}
	oldVoters, newVoters := []string{"a", "b", "c"}, []string{"b", "c", "d"}
	accepted := map[string]VoterStatus{"a": initialStatus, "b": initialStatus, "c": initialStatus, "d": initialStatus}
	ask := func(candidate *Candidate, now time.Duration, epoch uint64, voterNames []string, reachable ...string) bool {
		request := candidate.Tick(now, len(voterNames), epoch)
		obtained := false
		for _, name := range reachable {
			if request != nil {
				obtained = candidate.HandleReply(now, now, name, voters[name].Handle(now, accepted[name], request)) || obtained
			}
		}
		return obtained
	}
	holder, other := NewCandidate("h", 1, "d", noJitter), NewCandidate("o", 2, "d", noJitter)
	c.Assert(ask(holder, 0, 0, oldVoters, "a", "b"), qt.IsTrue)
	first, _ := holder.Holds(0)

	chosen := time.Millisecond
	for _, name := range newVoters {
		accepted[name] = VoterStatus{Ready: true, VoterSetEpoch: 1}
	}
	c.Assert(ask(holder, renewInterval, 0, oldVoters, "a", "b"), qt.IsFalse) // b rejects the request under the old voter set
	c.Assert(ask(other, chosen, 1, newVoters, "c", "d"), qt.IsFalse)         // the candidate sends no request for voterChangeDelay
	_, ok := holder.Holds(holderDuration - 1)
	c.Assert(ok, qt.IsTrue)
	c.Assert(ask(other, holderDuration, 1, newVoters, "c", "d"), qt.IsFalse)
	c.Assert(ask(other, chosen+voterChangeDelay, 1, newVoters, "c", "d"), qt.IsTrue)
	second, _ := other.Holds(chosen + voterChangeDelay)
	c.Assert(second > first, qt.IsTrue)
	_, ok = holder.Holds(chosen + voterChangeDelay)
	c.Assert(ok, qt.IsFalse)

	// A holder learns of the new voter set while it holds the lease. It cannot renew the lease, and then waits like any other
	// candidate.
	holder = NewCandidate("h", 3, "e", noJitter)
	c.Assert(ask(holder, 0, 0, oldVoters), qt.IsFalse)
	holder.HandleReply(0, 0, "a", &Reply{Grants: []RoleReply{{Role: "e", Granted: true, FencingToken: 1}}})
	c.Assert(holder.HandleReply(0, 0, "b", &Reply{Grants: []RoleReply{{Role: "e", Granted: true, FencingToken: 1}}}), qt.IsTrue)
	c.Assert(holder.Tick(holderDuration-1, 3, 1), qt.IsNotNil) // requests a renewal under the new voter set
	for now := holderDuration; now < holderDuration-1+voterChangeDelay; now += retryDelay {
		c.Assert(holder.Tick(now, 3, 1), qt.IsNil)
	}
	c.Assert(holder.Tick(holderDuration-1+voterChangeDelay, 3, 1), qt.IsNotNil)
}

// A delayed release under an earlier token does not end a newer grant. After a release another candidate obtains the lease
// immediately.
func TestRelease(t *testing.T) {
	c := qt.New(t)
	noJitter := func() float64 { return 0 }
	voter := NewVoter(0, true)
	first, second := NewCandidate("a", 1, "d", noJitter), NewCandidate("b", 2, "d", noJitter)
	c.Assert(first.HandleReply(0, 0, "v", voter.Handle(0, initialStatus, first.Tick(0, 1, 0))), qt.IsTrue)
	lateRelease := first.releaseRequest()
	first.ObserveToken(0, 7) // as if the voter had granted higher tokens before a restart
	c.Assert(first.HandleReply(0, 0, "v", voter.Handle(0, initialStatus, first.Tick(0, 1, 0))), qt.IsFalse)
	token, _ := first.Holds(0)
	c.Assert(token > 7, qt.IsTrue)
	voter.Handle(0, initialStatus, lateRelease)
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

// A voter grants nothing under a voter set older than the newest one that it accepted, or while it does not know which one that is.
// Its reply contains the epoch of that voter set.
func TestVoterRejectsOldVoterSets(t *testing.T) {
	voter := NewVoter(0, true)
	request := &Request{Holder: "a", Incarnation: 1, VoterSetEpoch: 4, Roles: []RoleRequest{{Role: "d", FencingToken: 1}}}
	for _, test := range []struct {
		name    string
		status  VoterStatus
		granted bool
	}{
		{"voter accepted a newer voter set", VoterStatus{Ready: true, VoterSetEpoch: 5}, false},
		{"voter is not ready", VoterStatus{Ready: false, VoterSetEpoch: 4}, false},
		{"voter accepted the same voter set", VoterStatus{Ready: true, VoterSetEpoch: 4}, true},
		{"voter accepted an older voter set", VoterStatus{Ready: true, VoterSetEpoch: 3}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			reply := voter.Handle(0, test.status, request)
			qt.Assert(t, reply.Grants[0].Granted, qt.Equals, test.granted)
			qt.Assert(t, reply.VoterSetEpoch, qt.Equals, test.status.VoterSetEpoch)
		})
	}
}

// A candidate that one voter rejected, while a majority granted it the lease, renews the lease after renewInterval: the rejection
// does not postpone the renewal.
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

// A holder whose clock is 4.9% slower than the voter's has stopped before the voter grants the lease to another process.
func TestDriftingClocks(t *testing.T) {
	const fast = 1.049
	voter := NewVoter(0, true)
	holder := NewCandidate("h", 1, "d", func() float64 { return 0 })
	qt.Assert(t, holder.HandleReply(0, 0, "v", voter.Handle(0, initialStatus, holder.Tick(0, 1, 0))), qt.IsTrue)
	for now := time.Duration(0); ; now += time.Millisecond {
		other := &Request{Holder: "o", Incarnation: 2, Roles: []RoleRequest{{Role: "d", FencingToken: 2}}}
		if voter.Handle(localTime(now, fast), initialStatus, other).Grants[0].Granted {
			_, holds := holder.Holds(now)
			qt.Assert(t, holds, qt.IsFalse,
				qt.Commentf("holder still holds the lease when it is granted to another process, %v after the request", now))
			return
		}
	}
}
