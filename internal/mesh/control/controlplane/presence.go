package controlplane

import (
	"slices"
	"time"

	"quincegap/internal/mesh/control/consensus"
)

// peer is what this process knows of another one of the core by its answers to Describe.
type peer struct {
	tracked time.Time // since when its answers are awaited
	heard   time.Time // its last answer; zero for none
	alive   time.Time // since when it has answered without a gap
	asked   bool      // an answer is awaited
	ready   bool
	silent  []string // voters that do not answer it
}

// peerTable is the failure detector of the core: which processes answer, and which of the voters others report as silent. Time
// is an argument.
type peerTable struct {
	peers map[string]*peer
}

// track keeps to the processes of interest.
func (t *peerTable) track(now time.Time, nodes []string) {
	if t.peers == nil {
		t.peers = map[string]*peer{}
	}
	for _, node := range nodes {
		if t.peers[node] == nil {
			t.peers[node] = &peer{tracked: now}
		}
	}
	for node := range t.peers {
		if !slices.Contains(nodes, node) {
			delete(t.peers, node)
		}
	}
}

// wake starts all silences anew: this process stood still itself.
func (t *peerTable) wake(now time.Time) {
	for _, p := range t.peers {
		p.tracked, p.alive = now, now
		if !p.heard.IsZero() {
			p.heard = now
		}
	}
}

// due are those that are to be asked now.
func (t *peerTable) due() (nodes []string) {
	for node, p := range t.peers {
		if !p.asked {
			p.asked = true
			nodes = append(nodes, node)
		}
	}
	slices.Sort(nodes)
	return nodes
}

// answered takes an answer, or that none came.
func (t *peerTable) answered(now time.Time, node string, reply *consensus.Reply) {
	p := t.peers[node]
	if p == nil {
		return
	}
	p.asked = false
	if reply == nil {
		return
	}
	if p.silence(now) >= consensus.ReplaceDelay || p.heard.IsZero() {
		p.alive = now
	}
	p.heard, p.ready, p.silent = now, reply.Ready, reply.Unresponsive
}

// silence is how long a peer has not answered.
func (p *peer) silence(now time.Time) time.Duration {
	if p.heard.After(p.tracked) {
		return now.Sub(p.heard)
	}
	return now.Sub(p.tracked)
}

// silent are those of a list that have not answered for consensus.ReplaceDelay.
func (t *peerTable) silent(now time.Time, list []string) (nodes []string) {
	for _, node := range list {
		if p := t.peers[node]; p != nil && p.silence(now) >= consensus.ReplaceDelay {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// presence is what the planner is told: own are the voters that are silent here, if this process votes.
func (t *peerTable) presence(now time.Time, voters, own []string, dropped func(node string) bool) (list []consensus.PeerStatus) {
	for node, p := range t.peers {
		one := consensus.PeerStatus{Node: node, Ready: p.ready, RemovedFromSeeds: dropped(node), StateDuration: p.silence(now)}
		if !p.heard.IsZero() && one.StateDuration < consensus.ReplaceDelay {
			one.Responsive, one.StateDuration = true, now.Sub(p.alive)
		}
		if slices.Contains(own, node) {
			one.UnresponsiveReports++
		}
		for _, v := range voters {
			if other := t.peers[v]; other != nil && other.silence(now) < consensus.ReplaceDelay && slices.Contains(other.silent, node) {
				one.UnresponsiveReports++
			}
		}
		list = append(list, one)
	}
	slices.SortFunc(list, func(a, b consensus.PeerStatus) int { return compareNodes(a.Node, b.Node) })
	return list
}

// replacements bounds how many voters are replaced at once, and how soon again.
type replacements struct {
	epoch  uint64
	voters []string
	made   []time.Time
}

const (
	replacePause  = time.Second     // between two changes that take a voter's place
	replaceWindow = 4 * time.Second // in which no more voters are replaced than may be lost at once
)

// observe notes the newest membership.
func (r *replacements) observe(now time.Time, e consensus.VoterSet) {
	if e.Epoch > r.epoch && len(r.voters) > 0 {
		for _, v := range r.voters {
			if !e.Contains(v) {
				r.made = append(r.made, now)
				break
			}
		}
	}
	if e.Epoch > r.epoch || len(r.voters) == 0 {
		r.epoch, r.voters = e.Epoch, e.Voters
	}
	r.made = slices.DeleteFunc(r.made, func(at time.Time) bool { return now.Sub(at) >= replaceWindow })
}

// allowed tells whether one more voter may be replaced now.
func (r *replacements) allowed(now time.Time, tolerated int) bool {
	n := len(r.made)
	return n == 0 || n < max(1, tolerated) && now.Sub(r.made[n-1]) >= replacePause
}
