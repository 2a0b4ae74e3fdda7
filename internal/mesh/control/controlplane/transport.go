package controlplane

import (
	"context"

	"github.com/gravitational/trace"

	"quincegap/internal/mesh/control/consensus"
	"quincegap/internal/mesh/transport/codec"
)

// Transport asks another core process; node is its name in the membership. There, Serve answers.
type Transport interface {
	Ask(ctx context.Context, node string, request []byte) ([]byte, error)
}

// Serve answers a request of a peer.
func (d *Server) Serve(ctx context.Context, request []byte) ([]byte, error) {
	var q consensus.Request
	if err := codec.Unmarshal(request, &q); err != nil {
		return nil, trace.BadParameter("request: %v", err)
	}
	reply, err := d.serve(ctx, &q)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return codec.MarshalAppend(nil, reply), nil
}

func (d *Server) serve(ctx context.Context, q *consensus.Request) (*consensus.Reply, error) {
	if own := d.knownSystemID(); !own.Matches(q.System) {
		d.options.Log.WithField("peer", q.Sender).Error("controlplane: a request of another system is refused; is a folder or an address in use twice?")
		return &consensus.Reply{Kind: consensus.ForeignSystem, Ballot: q.Ballot, System: own}, nil
	}
	d.observeBallot(q.Ballot)
	d.adoptVoterSet(q.VoterSet)
	if q.Kind == consensus.Describe {
		d.mu.Lock()
		defer d.mu.Unlock()
		return &consensus.Reply{Kind: consensus.Reported, VoterSet: d.voterSet, Ready: d.ready, Unresponsive: d.unresponsive, System: d.systemID}, nil
	}
	reply, err := d.submit(ctx, &acceptorJob{request: q})
	if err == nil && reply.Kind == consensus.ConflictingVoters {
		d.options.Log.WithField("peer", q.Sender).WithField("epoch", q.VoterSet.Epoch).WithField("voters", q.VoterSet.Voters).
			WithField("own", reply.VoterSet.Voters).Error("controlplane: a request under another list of voters for the same epoch is refused")
	}
	return reply, trace.Wrap(err)
}

// knownSystemID is the system that this process belongs to, as far as it knows yet.
func (d *Server) knownSystemID() consensus.SystemID {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.systemID
}

// adoptSystemID notes the system once it is known.
func (d *Server) adoptSystemID(s consensus.SystemID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.systemID == 0 {
		d.systemID = s
	}
}

// sign completes a request of this process.
func (d *Server) sign(q consensus.Request) consensus.Request {
	q.System, q.Sender = d.knownSystemID(), d.options.Self
	return q
}

// ask asks a voter, which may be this process; raw is the request as it is sent.
func (d *Server) ask(ctx context.Context, node string, q consensus.Request, raw []byte) (*consensus.Reply, error) {
	if node == d.options.Self {
		return d.serve(ctx, &q)
	}
	raw, err := d.options.Transport.Ask(ctx, node, raw)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	var reply consensus.Reply
	if err := codec.Unmarshal(raw, &reply); err != nil {
		return nil, trace.BadParameter("reply of %s: %v", node, err)
	}
	if reply.Kind == consensus.ForeignSystem || !d.knownSystemID().Matches(reply.System) {
		d.options.Log.WithField("peer", node).Error("controlplane: the process at this address belongs to another system")
		return nil, trace.BadParameter("%s belongs to another system", node)
	}
	return &reply, nil
}

type peerReply struct {
	node  string
	reply *consensus.Reply // nil: none came
}

// broadcast asks all nodes; each of them answers once, sooner or later. What was sent stays on its way when the asker has
// enough answers, so that the others learn of it too.
func (d *Server) broadcast(nodes []string, q *consensus.Request) <-chan peerReply {
	answers := make(chan peerReply, len(nodes))
	one := d.sign(*q)
	raw := codec.MarshalAppend(nil, &one)
	for _, node := range nodes {
		go func() { // ends with the server
			ctx, cancel := context.WithTimeout(d.ctx, requestTimeout)
			defer cancel()
			reply, err := d.ask(ctx, node, one, raw)
			if err != nil {
				d.options.Log.WithError(err).WithField("node", node).Debug("no answer")
			}
			answers <- peerReply{node, reply}
		}()
	}
	return answers
}
