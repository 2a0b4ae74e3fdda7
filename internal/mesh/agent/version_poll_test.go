package agent

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// If the first peer that reports a version was partitioned and has an old one, the poll still finds the newest version among the peers that
// answer, in whatever order they do. It doesn't last longer than pollTimeout, even if some peers don't answer.
func TestVersionPollFindsTheNewest(t *testing.T) {
	for seed := range uint64(2000) {
		checkVersionPoll(t, rand.New(rand.NewPCG(seed, 1)))
	}
}

// checkVersionPoll runs and checks one poll with random peers, answers and times.
func checkVersionPoll(t *testing.T, rng *rand.Rand) {
	t.Helper()
	const partitioned, oldVersion = "partitioned", 5
	var peers []string
	for i := range rng.IntN(8) {
		peers = append(peers, fmt.Sprint("peer", i))
	}
	now := time.Duration(rng.Int64N(1e9))
	began := now
	newest, newestPeer := uint64(oldVersion), partitioned
	var poll versionPoll
	ask := poll.observe(now, partitioned, oldVersion, func() []string { return append(peers, partitioned, partitioned) })
	qt.Assert(t, len(ask), qt.Equals, min(len(peers), pollPeers))
	rng.Shuffle(len(ask), func(i, j int) { ask[i], ask[j] = ask[j], ask[i] })
	answers := rng.IntN(len(ask) + 1)
	for i, peer := range ask[:answers] {
		_, _, over := poll.finish(now)
		qt.Assert(t, over, qt.IsFalse, qt.Commentf("finish after %d of %d answers and before the timeout", i, len(ask)))
		now += time.Duration(rng.Int64N(int64(pollTimeout / 8)))
		version := uint64(rng.IntN(12))
		poll.record(peer, version)
		if version > newest {
			newest, newestPeer = version, peer
		}
		if rng.IntN(4) == 0 {
			qt.Assert(t, poll.observe(now, partitioned, oldVersion, nil), qt.HasLen, 0) // the poll is running, so no new one starts
		}
	}
	if answers < len(ask) {
		_, _, over := poll.finish(began + pollTimeout - 1)
		qt.Assert(t, over, qt.IsFalse)
		now = began + pollTimeout
	}
	peer, version, ok := poll.finish(now)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, version, qt.Equals, newest)
	qt.Assert(t, peer, qt.Equals, newestPeer)
	poll.record("late", 99)
	_, _, ok = poll.finish(now)
	qt.Assert(t, ok, qt.IsFalse) // the poll has ended already
	qt.Assert(t, poll.observe(now, partitioned, oldVersion, func() []string { return peers }), qt.HasLen, min(len(peers), pollPeers))
	poll.record("peer0", 0) // must not panic: version 0 is the answer of a peer without a configuration
}
