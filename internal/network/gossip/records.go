package gossip

import (
	"github.com/hashicorp/memberlist"

	"quincegap/internal/modules/peers"
)

// recordBroadcast is a record in memberlist's queue. A later one of the same process takes its place.
type recordBroadcast struct {
	process uint64
	message []byte
}

// Invalidates tells whether a broadcast need not be sent any more.
func (r recordBroadcast) Invalidates(b memberlist.Broadcast) bool {
	other, ok := b.(recordBroadcast)
	return ok && other.process == r.process
}

// Name is the same for all broadcasts of a process.
func (r recordBroadcast) Name() string { return peers.FormatProcess(r.process) }

// Message is what is sent.
func (r recordBroadcast) Message() []byte { return r.message }

// Finished is called once the broadcast has been sent often enough.
func (r recordBroadcast) Finished() {}

// broadcast queues records for the others. g.mu is held, or nobody else knows of g.
func (g *Group) broadcast(records ...peers.Record) {
	for _, r := range records {
		g.queue.QueueBroadcast(recordBroadcast{process: r.Process, message: g.encodeRecords(r)})
	}
}

func (g *Group) encodeRecords(records ...peers.Record) []byte {
	e := envelope{application: g.config.Application, records: records, witness: g.config.Name}
	return e.encode()
}

// metadata is what memberlist tells of this node: its own record. g.mu is held, or nobody else knows of g.
func (g *Group) metadata() []byte { return g.encodeRecords(g.announced) }

// decodeOwn reads an envelope of this application; rejection is the reason why it is none.
func (g *Group) decodeOwn(b []byte) (e *envelope, rejection string) {
	e, err := decode(b)
	switch {
	case err != nil:
		return nil, rejectedMalformed
	case e.format != format:
		return nil, rejectedFormat
	case e.application != g.config.Application:
		return nil, rejectedApplication
	}
	return e, ""
}

// receive takes the records of a message; nil for one that is rejected.
func (g *Group) receive(b []byte) *envelope {
	e, rejection := g.decodeOwn(b)
	if rejection != "" {
		g.rejections.add(rejection)
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.merge(e)
	return e
}

// merge hands records to the view, and broadcasts those that say something new. g.mu is held.
func (g *Group) merge(e *envelope) {
	for _, r := range e.records {
		if !g.view.Merge(g.now(), r, e.witness) {
			continue
		}
		if r.Process == g.process {
			g.reannounce = true // in the next tick, however many such records come until then
		} else {
			g.broadcast(r)
		}
	}
}
