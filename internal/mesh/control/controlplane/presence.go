package controlplane

import (
	"slices"
	"time"

	"quincegap/internal/mesh/control/consensus"
)

// peerState is what this process knows of another one of the core by its answers to Describe.
type peerState struct {
	awaitedSince    time.Time // since when its answers are awaited
	lastReply       time.Time // its last answer; zero for none
	responsiveSince time.Time // since when it has answered without a gap
	probing         bool      // an answer is awaited
	ready           bool
	unresponsive    []string // voters that do not answer it
}

// failureDetector is the failure detector of the core: which processes answer, and which of the voters others report as silent. Time
// is an argument.
type failureDetector struct {
	peers map[string]*peerState
}

// track keeps to the processes of interest.
func (f *failureDetector) track(now time.Time, nodes []string) {
	if f.peers == nil {
		f.peers = map[string]*peerState{}
	}
	for _, node := range nodes {
		if f.peers[node] == nil {
			f.peers[node] = &peerState{awaitedSince: now}
		}
	}
	for node := range f.peers {
		if !slices.Contains(nodes, node) {
			delete(f.peers, node)
		}
	}
}

// resetTimeouts starts all silences anew: this process stood still itself.
func (f *failureDetector) resetTimeouts(now time.Time) {
	for _, p := range f.peers {
		p.awaitedSince, p.responsiveSince = now, now
		if !p.lastReply.IsZero() {
			p.lastReply = now
		}
	}
}

// startProbes are those that are to be asked now.
func (f *failureDetector) startProbes() (nodes []string) {
	for node, p := range f.peers {
		if !p.probing {
			p.probing = true
			nodes = append(nodes, node)
		}
	}
	slices.Sort(nodes)
	return nodes
}

// observeReply takes an answer, or that none came.
func (f *failureDetector) observeReply(now time.Time, node string, reply *consensus.Reply) {
	p := f.peers[node]
	if p == nil {
		return
	}
	p.probing = false
	if reply == nil {
		return
	}
	if p.unresponsiveFor(now) >= consensus.ReplaceDelay || p.lastReply.IsZero() {
		p.responsiveSince = now
	}
	p.lastReply, p.ready, p.unresponsive = now, reply.Ready, reply.Unresponsive
}

// unresponsiveFor is how long a peer has not answered.
func (p *peerState) unresponsiveFor(now time.Time) time.Duration {
	if p.lastReply.After(p.awaitedSince) {
		return now.Sub(p.lastReply)
	}
	return now.Sub(p.awaitedSince)
}

// unresponsive are those of a list that have not answered for consensus.ReplaceDelay.
func (f *failureDetector) unresponsive(now time.Time, list []string) (nodes []string) {
	for _, node := range list {
		if p := f.peers[node]; p != nil && p.unresponsiveFor(now) >= consensus.ReplaceDelay {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// peers is what the planner is told: own are the voters that are silent here, if this process votes.
func (f *failureDetector) peerStatuses(now time.Time, voters, own []string, dropped func(node string) bool) (list []consensus.PeerStatus) {
	for node, p := range f.peers {
		one := consensus.PeerStatus{Node: node, Ready: p.ready, RemovedFromSeeds: dropped(node), StateDuration: p.unresponsiveFor(now)}
		if !p.lastReply.IsZero() && one.StateDuration < consensus.ReplaceDelay {
			one.Responsive, one.StateDuration = true, now.Sub(p.responsiveSince)
		}
		if slices.Contains(own, node) {
			one.UnresponsiveReports++
		}
		for _, v := range voters {
			if other := f.peers[v]; other != nil && other.unresponsiveFor(now) < consensus.ReplaceDelay && slices.Contains(other.unresponsive, node) {
				one.UnresponsiveReports++
			}
		}
		list = append(list, one)
	}
	slices.SortFunc(list, func(a, b consensus.PeerStatus) int { return compareNodes(a.Node, b.Node) })
	return list
}

// replacementLimiter bounds how many voters are replaced at once, and how soon again.
type replacementLimiter struct {
	epoch      uint64
	voters     []string
	replacedAt []time.Time
}

const (
	minReplaceInterval = time.Second     // between two changes that take a voter's place
	replaceWindow      = 4 * time.Second // in which no more voters are replaced than may be lost at once
)

// observe notes the newest membership.
func (r *replacementLimiter) observe(now time.Time, e consensus.VoterSet) {
	if e.Epoch > r.epoch && len(r.voters) > 0 {
		for _, v := range r.voters {
			if !e.Contains(v) {
				r.replacedAt = append(r.replacedAt, now)
				break
			}
		}
	}
	if e.Epoch > r.epoch || len(r.voters) == 0 {
		r.epoch, r.voters = e.Epoch, e.Voters
	}
	r.replacedAt = slices.DeleteFunc(r.replacedAt, func(at time.Time) bool { return now.Sub(at) >= replaceWindow })
}

// allows tells whether one more voter may be replaced now.
func (r *replacementLimiter) allows(now time.Time, tolerated int) bool {
	n := len(r.replacedAt)
	return n == 0 || n < max(1, tolerated) && now.Sub(r.replacedAt[n-1]) >= minReplaceInterval
}
