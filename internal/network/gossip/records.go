package gossip

import (
	"github.com/hashicorp/memberlist"

	"quincegap/internal/modules/peers"
)

// recordBroadcast is an encoded record in memberlist's broadcast queue. A later record of the same process replaces it.
type recordBroadcast struct {
	process uint64
	message []byte
}

// Invalidates reports whether this record supersedes another broadcast in the queue.
func (r recordBroadcast) Invalidates(b memberlist.Broadcast) bool {
	other, ok := b.(recordBroadcast)
	return ok && other.process == r.process
}

// Name returns the process as text, so that all broadcasts of a process have the same name.
func (r recordBroadcast) Name() string { return peers.FormatProcess(r.process) }

// Message returns the bytes to send.
func (r recordBroadcast) Message() []byte { return r.message }

// Finished does nothing: no caller waits for a broadcast.
func (r recordBroadcast) Finished() {}

// broadcast queues records to be broadcast. The caller holds g.mu, or g is not shared yet.
func (g *Group) broadcast(records ...peers.Record) {
	for _, r := range records {
		g.queue.QueueBroadcast(recordBroadcast{process: r.Process, message: g.encodeRecords(r)})
	}
}

// encodeRecords returns an encoded envelope with the records, and with this member as their witness.
func (g *Group) encodeRecords(records ...peers.Record) []byte {
	e := envelope{application: g.config.Application, records: records, witness: g.config.Name}
	return e.encode()
}

// metadata returns this node's metadata in memberlist: its own record. The caller holds g.mu, or g is not shared yet.
func (g *Group) metadata() []byte { return g.encodeRecords(g.announced) }

// decodeAndCheck decodes an envelope and checks that it has the current format and belongs to this application. Otherwise e is nil and
// rejection is the reason, one of the rejected constants.
func (g *Group) decodeAndCheck(b []byte) (e *envelope, rejection string) {
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

// receive decodes a message and merges its records. A rejected message is counted, and nil is returned for it.
func (g *Group) receive(b []byte) *envelope {
	e, rejection := g.decodeAndCheck(b)
	if rejection != "" {
		g.rejections.add(rejection)
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.merge(e)
	return e
}

// merge merges the records of an envelope into the view, and broadcasts those that changed it. The caller holds g.mu.
func (g *Group) merge(e *envelope) {
	for _, r := range e.records {
		if !g.view.Merge(g.now(), r, e.witness) {
			continue
		}
		if r.Process == g.process {
			g.reannounce = true // the next tick announces it once, however many such records arrive before
		} else {
			g.broadcast(r)
		}
	}
}
