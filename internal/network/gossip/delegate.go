package gossip

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/hashicorp/memberlist"
)

// digestBytes is the length of the view's digest in the answer to a probe, a little-endian integer.
const digestBytes = 8

// delegate implements the callbacks of memberlist. memberlist calls them with its locks held, so no method blocks or calls memberlist.
type delegate struct{ group *Group }

var (
	_ memberlist.Delegate      = (*delegate)(nil)
	_ memberlist.EventDelegate = (*delegate)(nil)
	_ memberlist.AliveDelegate = (*delegate)(nil)
	_ memberlist.MergeDelegate = (*delegate)(nil)
	_ memberlist.PingDelegate  = (*delegate)(nil)
)

// NodeMeta returns the node's metadata, or nil if it is larger than limit bytes.
func (d *delegate) NodeMeta(limit int) []byte {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	if m := d.group.metadata(); len(m) <= limit {
		return m
	}
	return nil
}

// NotifyMsg handles a message from a member: a broadcast, a query or an answer.
func (d *delegate) NotifyMsg(b []byte) {
	g := d.group
	e := g.receive(b)
	if e == nil {
		return
	}
	if e.query != 0 {
		g.enqueueAnswer(e)
	}
	g.pendingAnswers.deliver(e)
}

// GetBroadcasts returns the queued broadcasts that fit into limit bytes.
func (d *delegate) GetBroadcasts(overhead, limit int) [][]byte {
	return d.group.queue.GetBroadcasts(overhead, limit)
}

// LocalState returns all records of the view, for a full exchange.
func (d *delegate) LocalState(_ bool) []byte {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	return d.group.encodeRecords(d.group.view.Records()...)
}

// MergeRemoteState merges the records of another member after a full exchange.
func (d *delegate) MergeRemoteState(b []byte, _ bool) { d.group.receive(b) }

// AckPayload returns the digest of this member's view, which memberlist sends with each answer to a probe.
func (d *delegate) AckPayload() []byte {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	return binary.LittleEndian.AppendUint64(nil, d.group.view.Digest(d.group.now()))
}

// NotifyPingComplete compares the digest of a probed member with that of this member's view, and schedules a full exchange if they
// differ. After a partition a member may reach all others and still be gone in their views. They don't probe it, so only the digests
// that it receives show the difference.
func (d *delegate) NotifyPingComplete(n *memberlist.Node, _ time.Duration, payload []byte) {
	if len(payload) != digestBytes {
		return
	}
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	if d.group.view.ShouldExchange(d.group.now(), binary.LittleEndian.Uint64(payload)) {
		d.group.exchangeWith = n.Address()
	}
}

// NotifyAlive returns an error, so that memberlist ignores an alive message, if its node belongs to another application or MaxMembers nodes
// are known already, whether or not the node is one of them.
func (d *delegate) NotifyAlive(n *memberlist.Node) error {
	_, rejection := d.group.decodeAndCheck(n.Meta)
	if rejection == "" && int(d.group.nodes.Load()) >= d.group.config.MaxMembers {
		rejection = rejectedMember
	}
	return d.reject(n, rejection)
}

// NotifyMerge returns an error, which rejects the whole exchange, if any of the nodes belongs to another application: otherwise that
// application's members would learn of this one's.
func (d *delegate) NotifyMerge(nodes []*memberlist.Node) error {
	for _, n := range nodes {
		_, rejection := d.group.decodeAndCheck(n.Meta)
		if err := d.reject(n, rejection); err != nil {
			return err
		}
	}
	return nil
}

// reject counts a rejected node and returns an error with the reason. It returns nil if the reason, rejection, is empty.
func (d *delegate) reject(n *memberlist.Node, rejection string) error {
	if rejection == "" {
		return nil
	}
	d.group.rejections.add(rejection)
	return fmt.Errorf("%s: %s", n.Address(), rejection)
}

// NotifyJoin marks a node as reachable that has joined.
func (d *delegate) NotifyJoin(n *memberlist.Node) {
	d.group.nodes.Add(1)
	d.markReachable(n)
}

// NotifyUpdate merges a node's new metadata and marks the node as reachable.
func (d *delegate) NotifyUpdate(n *memberlist.Node) { d.markReachable(n) }

// markReachable merges the record in a node's metadata, remembers the node's address and marks its process as reachable.
func (d *delegate) markReachable(n *memberlist.Node) {
	e := d.decodeMetadata(n)
	if e == nil {
		return
	}
	g := d.group
	g.mu.Lock()
	defer g.mu.Unlock()
	process := e.records[0].Process
	g.merge(e)
	g.addresses[process] = n.Address()
	g.joinSchedule.Learn(n.Address())
	g.view.MarkReachable(g.now(), process)
}

// NotifyLeave marks a node as unreachable that has left or that memberlist has declared dead.
func (d *delegate) NotifyLeave(n *memberlist.Node) {
	d.group.nodes.Add(-1)
	e := d.decodeMetadata(n)
	if e == nil {
		return
	}
	g := d.group
	g.mu.Lock()
	defer g.mu.Unlock()
	process := e.records[0].Process
	delete(g.addresses, process)
	if r, ok := g.view.MarkUnreachable(g.now(), process); ok {
		g.broadcast(r)
	}
}

// decodeMetadata returns the envelope in a node's metadata, which has one record. It returns nil for this member itself and for
// metadata without exactly one record.
func (d *delegate) decodeMetadata(n *memberlist.Node) *envelope {
	e, rejection := d.group.decodeAndCheck(n.Meta)
	if rejection != "" || len(e.records) != 1 || n.Name == d.group.nodeName() {
		return nil
	}
	return e
}
