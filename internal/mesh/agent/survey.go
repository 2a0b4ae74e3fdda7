package agent

import "time"

const (
	surveyPeers   = 4                      // that are asked for their version
	surveyTimeout = 250 * time.Millisecond // until those that have not answered are left
)

// survey is how a process that holds no configuration chooses its first one. The first peer that it hears of may have been cut
// off from the core for long and hold an old version; so a few peers are asked for their versions, and the newest of these is
// fetched. Once a process holds a configuration it takes newer ones as it hears of them.
type survey struct {
	began   time.Duration
	open    map[string]bool // peers that were asked and have not answered; nil while no survey is under way
	newest  uint64
	peer    string // that holds the newest version
	started bool
}

// hear takes a version that a peer holds. A new survey begins if none is under way; ask is then to be asked.
func (s *survey) hear(now time.Duration, peer string, version uint64, candidates func() []string) (ask []string) {
	if !s.started {
		s.started, s.began, s.newest, s.open = true, now, 0, map[string]bool{}
		for _, p := range candidates() {
			if p != peer && len(s.open) < surveyPeers && !s.open[p] {
				s.open[p] = true
				ask = append(ask, p)
			}
		}
	}
	s.note(peer, version)
	return ask
}

// note takes an answer of a peer; version 0 says that it holds none.
func (s *survey) note(peer string, version uint64) {
	if !s.started {
		return
	}
	delete(s.open, peer)
	if version > s.newest {
		s.newest, s.peer = version, peer
	}
}

// end gives the newest version found and who holds it, once all have answered or the time is over. The survey is then finished.
func (s *survey) end(now time.Duration) (peer string, version uint64, ok bool) {
	if !s.started || len(s.open) > 0 && now-s.began < surveyTimeout {
		return "", 0, false
	}
	s.started = false
	return s.peer, s.newest, s.newest > 0
}
