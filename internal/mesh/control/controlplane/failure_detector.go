package controlplane

import (
	"cmp"
	"slices"
	"time"

	"quincegap/internal/mesh/control/consensus"
)

// failureDetector tracks which core processes answer Describe requests, and which voters these processes report as unresponsive. Its
// methods take the current time as an argument. It is not safe for concurrent use.
type failureDetector struct {
	peers map[string]*peerState // tracked processes by name
}

// peerState is the state of another core process according to its replies to Describe requests.
type peerState struct {
	awaitedSince    time.Time // time at which tracking began, or at which this process resumed after a suspension
	lastReply       time.Time // time of the last reply; zero before the first reply
	responsiveSince time.Time // time since which there was no gap of consensus.ReplaceDelay between replies
	probing         bool      // whether a probe is in flight
	ready           bool      // whether the process has a complete record and may vote
	unresponsive    []string  // voters that do not answer the process
}

// track sets the processes to probe, and discards the state of all others.
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

// resetTimeouts restarts all timeouts. It is called after this process itself was suspended and could not receive replies.
func (f *failureDetector) resetTimeouts(now time.Time) {
	for _, peer := range f.peers {
		peer.awaitedSince = now
		peer.responsiveSince = now
		if !peer.lastReply.IsZero() {
			peer.lastReply = now
		}
	}
}

// startProbes marks a probe as in flight for each process without one, and returns these processes, sorted by name. The caller sends the
// probes, and ends each of them with observeReply.
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

// observeReply ends a probe. reply is nil if the process did not reply.
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

// unresponsiveFor returns the time since the last reply, or since awaitedSince if that is later.
func (p *peerState) unresponsiveFor(now time.Time) time.Duration {
	if p.lastReply.After(p.awaitedSince) {
		return now.Sub(p.lastReply)
	}
	return now.Sub(p.awaitedSince)
}

// unresponsive returns those of the candidates that have not answered for consensus.ReplaceDelay.
func (f *failureDetector) unresponsive(now time.Time, candidates []string) (nodes []string) {
	for _, node := range candidates {
		if peer := f.peers[node]; peer != nil && peer.unresponsiveFor(now) >= consensus.ReplaceDelay {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// peerStatuses returns the statuses of all tracked processes, sorted by name, for consensus.PlanVoterChange. reported contains the voters
// that this process itself reports as unresponsive; it is empty unless this process is a voter. removed tells whether a process was
// removed from the operator's seeds.
func (f *failureDetector) peerStatuses(
	now time.Time, voters, reported []string, removed func(node string) bool,
) (list []consensus.PeerStatus) {
	for node, peer := range f.peers {
		status := consensus.PeerStatus{
			Node:                node,
			Ready:               peer.ready,
			RemovedFromSeeds:    removed(node),
			StateDuration:       peer.unresponsiveFor(now),
			UnresponsiveReports: f.countReports(now, voters, node),
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

// countReports returns the number of responsive voters that report a node as unresponsive.
func (f *failureDetector) countReports(now time.Time, voters []string, node string) (n int) {
	for _, voter := range voters {
		peer := f.peers[voter]
		if peer != nil && peer.unresponsiveFor(now) < consensus.ReplaceDelay && slices.Contains(peer.unresponsive, node) {
			n++
		}
	}
	return n
}
