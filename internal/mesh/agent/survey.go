package agent

import "time"

const (
	pollPeers   = 4                      // that are asked for their version
	pollTimeout = 250 * time.Millisecond // until those that have not answered are left
)

// versionPoll is how a process that holds no configuration chooses its first one. The first peer that it hears of may have been cut
// off from the core for long and hold an old version; so a few peers are asked for their versions, and the newest of these is
// fetched. Once a process holds a configuration it takes newer ones as it hears of them.
type versionPoll struct {
	startedAt  time.Duration
	unanswered map[string]bool // peers that were asked and have not answered; nil while no survey is under way
	newest     uint64
	newestPeer string // that holds the newest version
	running    bool
}

// observe takes a version that a peer holds. A new survey begins if none is under way; ask is then to be asked.
func (v *versionPoll) observe(now time.Duration, peer string, version uint64, candidates func() []string) (ask []string) {
	if !v.running {
		v.running, v.startedAt, v.newest, v.unanswered = true, now, 0, map[string]bool{}
		for _, p := range candidates() {
			if p != peer && len(v.unanswered) < pollPeers && !v.unanswered[p] {
				v.unanswered[p] = true
				ask = append(ask, p)
			}
		}
	}
	v.record(peer, version)
	return ask
}

// record takes an answer of a peer; version 0 says that it holds none.
func (v *versionPoll) record(peer string, version uint64) {
	if !v.running {
		return
	}
	delete(v.unanswered, peer)
	if version > v.newest {
		v.newest, v.newestPeer = version, peer
	}
}

// finish gives the newest version found and who holds it, once all have answered or the time is over. The survey is then finished.
func (v *versionPoll) finish(now time.Duration) (peer string, version uint64, ok bool) {
	if !v.running || len(v.unanswered) > 0 && now-v.startedAt < pollTimeout {
		return "", 0, false
	}
	v.running = false
	return v.newestPeer, v.newest, v.newest > 0
}
