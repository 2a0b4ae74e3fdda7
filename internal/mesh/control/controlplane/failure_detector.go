package controlplane

import (
	"cmp"
	"slices"
	"time"

	"quincegap/internal/mesh/control/consensus"
)

// failureDetector knows which core processes answer Describe, and which voters they report as unresponsive. The time is an argument of its methods.
type failureDetector struct {
	peers map[string]*peerState // by name
}

// peerState is what this process knows of another core process by its answers to Describe.
type peerState struct {
	awaitedSince    time.Time // since when its answers are awaited
	lastReply       time.Time // zero while there was none
	responsiveSince time.Time // since when it has answered without a gap
	probing         bool      // a reply is awaited
	ready           bool      // to vote
	unresponsive    []string  // voters that do not answer it
}

// track sets the processes of interest.
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

// resetTimeouts counts the time without a reply from now on: this process stood still itself.
func (f *failureDetector) resetTimeouts(now time.Time) {
	for _, peer := range f.peers {
		peer.awaitedSince = now
		peer.responsiveSince = now
		if !peer.lastReply.IsZero() {
			peer.lastReply = now
		}
	}
}

// startProbes are the processes that are to be asked now, sorted: those of which no reply is awaited. Each probe ends with
// observeReply.
func (f *failureDetector) startProbes() (nodes []string) {
	for node, peer := range f.peers {
		if !peer.probing {
			peer.probing = true
			nodes = append(nodes, node)
		}
	}
	slices.Sort(nodes)
	return nodes
}

// observeReply notes the reply to a probe, or with nil that none came.
func (f *failureDetector) observeReply(now time.Time, node string, reply *consensus.Reply) {
	peer := f.peers[node]
	if peer == nil {
		return
	}
	peer.probing = false
	if reply == nil {
		return
	}
	if peer.lastReply.IsZero() || peer.unresponsiveFor(now) >= consensus.ReplaceDelay {
		peer.responsiveSince = now
	}
	peer.lastReply = now
	peer.ready = reply.Ready
	peer.unresponsive = reply.Unresponsive
}

// unresponsiveFor is the time since the last reply, or since replies are awaited.
func (p *peerState) unresponsiveFor(now time.Time) time.Duration {
	if p.lastReply.After(p.awaitedSince) {
		return now.Sub(p.lastReply)
	}
	return now.Sub(p.awaitedSince)
}

// unresponsive are those of a list that have not answered for consensus.ReplaceDelay.
func (f *failureDetector) unresponsive(now time.Time, list []string) (nodes []string) {
	for _, node := range list {
		if peer := f.peers[node]; peer != nil && peer.unresponsiveFor(now) >= consensus.ReplaceDelay {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// peerStatuses is what the planner of voter changes needs to know, sorted by name. reported are the voters that this process
// reports as unresponsive; only a voter does. removed reports whether the operator's seeds named a process once, and don't now.
func (f *failureDetector) peerStatuses(now time.Time, voters, reported []string, removed func(node string) bool) (list []consensus.PeerStatus) {
	for node, peer := range f.peers {
		status := consensus.PeerStatus{
			Node: node, Ready: peer.ready, RemovedFromSeeds: removed(node), StateDuration: peer.unresponsiveFor(now),
			UnresponsiveReports: f.reports(now, voters, node),
		}
		if slices.Contains(reported, node) {
			status.UnresponsiveReports++
		}
		if !peer.lastReply.IsZero() && status.StateDuration < consensus.ReplaceDelay {
			status.Responsive = true
			status.StateDuration = now.Sub(peer.responsiveSince)
		}
		list = append(list, status)
	}
	slices.SortFunc(list, func(a, b consensus.PeerStatus) int { return cmp.Compare(a.Node, b.Node) })
	return list
}

// reports is how many voters that answer this process report another one as unresponsive.
func (f *failureDetector) reports(now time.Time, voters []string, node string) (n int) {
	for _, voter := range voters {
		peer := f.peers[voter]
		if peer != nil && peer.unresponsiveFor(now) < consensus.ReplaceDelay && slices.Contains(peer.unresponsive, node) {
			n++
		}
	}
	return n
}
