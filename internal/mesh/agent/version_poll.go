package agent

import "time"

const (
	pollPeers   = 4                      // that are asked for their version
	pollTimeout = 250 * time.Millisecond // until the answers that have not come are not waited for
)

// versionPoll is how a process that holds no configuration chooses its first one. The first peer that it learns of a version from may
// have been partitioned from the core processes for long, and hold an old one; so a few peers are asked for their versions, and the newest of
// these is fetched. Once a process holds a configuration, it fetches newer ones as it learns of them. The zero value is ready for use.
type versionPoll struct {
	running    bool
	startedAt  time.Duration
	unanswered map[string]bool // peers that were asked and have not answered
	newest     uint64          // version found so far
	newestPeer string          // that holds it
}

// observe takes a version that a peer holds. If no poll runs, a new one starts, and ask are the peers to ask, out of the candidates in
// their order.
func (v *versionPoll) observe(now time.Duration, peer string, version uint64, candidates func() []string) (ask []string) {
	if !v.running {
		ask = v.start(now, peer, candidates())
	}
	v.record(peer, version)
	return ask
}

// start starts a poll of up to pollPeers candidates, each once, without the peer that is known already.
func (v *versionPoll) start(now time.Duration, except string, candidates []string) (ask []string) {
	v.running = true
	v.startedAt = now
	v.newest = 0
	v.unanswered = map[string]bool{}
	for _, p := range candidates {
		if p != except && len(v.unanswered) < pollPeers && !v.unanswered[p] {
			v.unanswered[p] = true
			ask = append(ask, p)
		}
	}
	return ask
}

// record takes a peer's answer; version 0 says that it holds none.
func (v *versionPoll) record(peer string, version uint64) {
	if !v.running {
		return
	}
	delete(v.unanswered, peer)
	if version > v.newest {
		v.newest = version
		v.newestPeer = peer
	}
}

// finish returns the newest version found and a peer that holds it, once all have answered or the time is over; false before, and if
// no poll runs.
func (v *versionPoll) finish(now time.Duration) (peer string, version uint64, ok bool) {
	if !v.running || len(v.unanswered) > 0 && now-v.startedAt < pollTimeout {
		return "", 0, false
	}
	v.running = false
	return v.newestPeer, v.newest, v.newest > 0
}
