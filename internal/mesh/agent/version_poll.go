package agent

import "time"

const (
	pollPeers   = 4                      // that are asked for their versions
	pollTimeout = 250 * time.Millisecond // after which the poll ends without the missing answers
)

// versionPoll chooses the first configuration of a process that has none. The first peer that reports a version may have been
// partitioned from the core processes for long, and have an old one. Therefore a few peers are asked for their versions, and the newest
// is fetched. A process with a configuration needs no poll: it fetches every newer version that a peer reports. The zero value is ready
// for use.
type versionPoll struct {
	running    bool
	startedAt  time.Duration
	unanswered map[string]bool // peers that were asked and have not answered
	newest     uint64          // version that was reported so far
	newestPeer string          // that reported it
}

// observe records a version that a peer reports. If no poll runs, it starts one, and returns the peers to ask: the first of the
// candidates.
func (v *versionPoll) observe(now time.Duration, peer string, version uint64, candidates func() []string) (ask []string) {
	if !v.running {
		ask = v.start(now, peer, candidates())
	}
	v.record(peer, version)
	return ask
}

// start starts a poll of up to pollPeers candidates, each once, without the peer whose version is known already.
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

// record records a peer's answer; version 0 means that the peer has no configuration.
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

// finish ends the poll if all peers have answered or pollTimeout is over, and returns the newest version that was reported and the peer
// that has it. It reports false if the poll isn't over, if no poll runs, or if no peer has a configuration.
func (v *versionPoll) finish(now time.Duration) (peer string, version uint64, ok bool) {
	if !v.running || len(v.unanswered) > 0 && now-v.startedAt < pollTimeout {
		return "", 0, false
	}
	v.running = false
	return v.newestPeer, v.newest, v.newest > 0
}
