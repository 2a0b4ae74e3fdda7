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
func (s *versionPoll) observe(now time.Duration, peer string, version uint64, candidates func() []string) (ask []string) {
	if !s.running {
		s.running, s.startedAt, s.newest, s.unanswered = true, now, 0, map[string]bool{}
		for _, p := range candidates() {
			if p != peer && len(s.unanswered) < pollPeers && !s.unanswered[p] {
				s.unanswered[p] = true
				ask = append(ask, p)
			}
		}
	}
	s.record(peer, version)
	return ask
}

// record takes an answer of a peer; version 0 says that it holds none.
func (s *versionPoll) record(peer string, version uint64) {
	if !s.running {
		return
	}
	delete(s.unanswered, peer)
	if version > s.newest {
		s.newest, s.newestPeer = version, peer
	}
}

// finish gives the newest version found and who holds it, once all have answered or the time is over. The survey is then finished.
func (s *versionPoll) finish(now time.Duration) (peer string, version uint64, ok bool) {
	if !s.running || len(s.unanswered) > 0 && now-s.startedAt < pollTimeout {
		return "", 0, false
	}
	s.running = false
	return s.newestPeer, s.newest, s.newest > 0
}
