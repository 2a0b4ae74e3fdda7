package agent

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A process that starts beside a peer that was cut off takes the newest version that one of the asked peers holds, whoever
// answers, in whatever order, and it waits no longer than the timeout.
func TestVersionPollFindsTheNewest(t *testing.T) {
	for seed := range uint64(2000) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var peers []string
		for i := range rng.IntN(8) {
			peers = append(peers, fmt.Sprint("peer", i))
		}
		now, s := time.Duration(rng.Int64N(1e9)), versionPoll{}
		began, newest, holder := now, uint64(5), "cut off"
		ask := s.observe(now, "cut off", 5, func() []string { return append(peers, "cut off", "cut off") })
		qt.Assert(t, len(ask), qt.Equals, min(len(peers), pollPeers))
		rng.Shuffle(len(ask), func(i, j int) { ask[i], ask[j] = ask[j], ask[i] })
		answers := rng.IntN(len(ask) + 1)
		for i, p := range ask[:answers] {
			_, _, over := s.finish(now)
			qt.Assert(t, over, qt.IsFalse, qt.Commentf("%d of %d answered", i, len(ask)))
			now += time.Duration(rng.Int64N(int64(pollTimeout / 8)))
			version := uint64(rng.IntN(12))
			if s.record(p, version); version > newest {
				newest, holder = version, p
			}
			if rng.IntN(4) == 0 {
				qt.Assert(t, s.observe(now, "cut off", 5, nil), qt.HasLen, 0) // heard again: the same survey
			}
		}
		if answers < len(ask) {
			_, _, over := s.finish(began + pollTimeout - 1)
			qt.Assert(t, over, qt.IsFalse)
			now = began + pollTimeout
		}
		peer, version, ok := s.finish(now)
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, version, qt.Equals, newest)
		qt.Assert(t, peer, qt.Equals, holder)
		s.record("late", 99)
		_, _, ok = s.finish(now)
		qt.Assert(t, ok, qt.IsFalse) // it is over
		qt.Assert(t, s.observe(now, "cut off", 5, func() []string { return peers }), qt.HasLen, min(len(peers), pollPeers))
		s.record("peer0", 0) // who holds none counts as an answer
	}
}
