package agent

import "time"

const (
	pollPeers   = 4                      // maximum number of peers that are asked for their versions
	pollTimeout = 250 * time.Millisecond // time after which a poll ends even if peers have not answered
)

// versionPoll selects the first configuration to fetch in a process that has none. The first peer that reports a version may have been
// partitioned from the core processes for a long time, and have an old version. Therefore, a few peers are asked for their versions, and
// the newest is fetched. A process with a configuration needs no poll, as it fetches every newer version that a peer reports. The zero
// value is ready for use.
type versionPoll struct {
	running    bool
	startedAt  time.Duration
	unanswered map[string]bool // peers that were asked and have not answered yet
	newest     uint64          // newest version reported during the poll; 0 if none was
	newestPeer string          // first peer that reported the newest version
}

// observe records a version that a peer has reported. If no poll is running, it starts one and returns the peers to ask, which are the
// first of the candidates.
func (v *versionPoll) observe(now time.Duration, peer string, version uint64, candidates func() []string) (ask []string) {
	if !v.running {
		ask = v.start(now, peer, candidates())
	}
	v.record(peer, version)
	return ask
}

// start starts a poll, and returns the peers to ask: the first pollPeers candidates, without duplicates and without except, the peer whose
// version is already known.
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

// record records the version that a peer has reported; 0 means that the peer has no configuration. It has no effect if no poll is running.
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

// finish ends the poll if all peers have answered or pollTimeout has passed, and returns the newest reported version and the peer that has
// it. It reports false if the poll has not ended, no poll is running, or no peer has a configuration.
func (v *versionPoll) finish(now time.Duration) (peer string, version uint64, ok bool) {
	if !v.running || len(v.unanswered) > 0 && now-v.startedAt < pollTimeout {
		return "", 0, false
	}
	v.running = false
	return v.newestPeer, v.newest, v.newest > 0
}
