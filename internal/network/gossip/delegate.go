package gossip

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/hashicorp/memberlist"
)

// digestBytes is the length of a digest in the answer to a probe, little-endian.
const digestBytes = 8

// delegate is what memberlist calls. It calls with its locks held: no method waits, or calls memberlist.
type delegate struct{ group *Group }

var (
	_ memberlist.Delegate      = (*delegate)(nil)
	_ memberlist.EventDelegate = (*delegate)(nil)
	_ memberlist.AliveDelegate = (*delegate)(nil)
	_ memberlist.MergeDelegate = (*delegate)(nil)
	_ memberlist.PingDelegate  = (*delegate)(nil)
)

// NodeMeta is the node's metadata; nil if it is larger than the limit, in bytes.
func (d *delegate) NodeMeta(limit int) []byte {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	if m := d.group.metadata(); len(m) <= limit {
		return m
	}
	return nil
}

// NotifyMsg takes a message of a member: a broadcast, a query or an answer.
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

// GetBroadcasts is what is to be sent, within a limit in bytes.
func (d *delegate) GetBroadcasts(overhead, limit int) [][]byte {
	return d.group.queue.GetBroadcasts(overhead, limit)
}

// LocalState is all that this member knows, for a full exchange.
func (d *delegate) LocalState(_ bool) []byte {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	return d.group.encodeRecords(d.group.view.Records()...)
}

// MergeRemoteState takes all that another one knows.
func (d *delegate) MergeRemoteState(b []byte, _ bool) { d.group.receive(b) }

// AckPayload goes with each answer to a probe: the digest of this member's view.
func (d *delegate) AckPayload() []byte {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	return binary.LittleEndian.AppendUint64(nil, d.group.view.Digest(d.group.now()))
}

// NotifyPingComplete takes the digest of a member that was probed. After a partition one may reach all others and be gone for
// them, which none of them finds out by probing it.
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

// NotifyAlive rejects whoever is not of this application, or beyond the members that may be known.
func (d *delegate) NotifyAlive(n *memberlist.Node) error {
	_, rejection := d.group.decodeOwn(n.Meta)
	if rejection == "" && int(d.group.nodes.Load()) >= d.group.config.MaxMembers {
		rejection = rejectedMember
	}
	return d.reject(n, rejection)
}

// NotifyMerge rejects a whole list in which a node is of another application: its members would learn of ours.
func (d *delegate) NotifyMerge(nodes []*memberlist.Node) error {
	for _, n := range nodes {
		_, rejection := d.group.decodeOwn(n.Meta)
		if err := d.reject(n, rejection); err != nil {
			return err
		}
	}
	return nil
}

// reject counts a rejection, and makes it an error; nil for none.
func (d *delegate) reject(n *memberlist.Node, rejection string) error {
	if rejection == "" {
		return nil
	}
	d.group.rejections.add(rejection)
	return fmt.Errorf("%s: %s", n.Address(), rejection)
}

// NotifyJoin takes a node that memberlist reaches by now.
func (d *delegate) NotifyJoin(n *memberlist.Node) {
	d.group.nodes.Add(1)
	d.markReachable(n)
}

// NotifyUpdate takes a node's new metadata.
func (d *delegate) NotifyUpdate(n *memberlist.Node) { d.markReachable(n) }

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

// NotifyLeave takes a node that memberlist gave up, or that left.
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

// decodeMetadata reads the one record in a node's metadata; nil for this member itself, and for one that says nothing of itself.
func (d *delegate) decodeMetadata(n *memberlist.Node) *envelope {
	e, rejection := d.group.decodeOwn(n.Meta)
	if rejection != "" || len(e.records) != 1 || n.Name == d.group.nodeName() {
		return nil
	}
	return e
}
