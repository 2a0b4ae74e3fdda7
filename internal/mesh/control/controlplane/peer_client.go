package controlplane

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"quincegap/internal/mesh/control/consensus"
	"quincegap/internal/mesh/transport/codec"
)

const (
	requestTimeout = 2 * time.Second        // timeout of a request of a round or a recovery
	probeTimeout   = 600 * time.Millisecond // timeout of a Describe request
)

// Transport sends requests to other core processes. Ask sends an encoded request to the process named node (its control address), and
// returns the result of that process's Server.Serve. Ask has to return soon after ctx ends.
type Transport interface {
	Ask(ctx context.Context, node string, request []byte) ([]byte, error)
}

// peerClient sends requests to core processes, including this one.
type peerClient struct {
	self      string
	transport Transport
	log       *logrus.Logger
	lifetime  *lifetime
	learner   *learner
	local     func(context.Context, *consensus.Request) (*consensus.Reply, error) // answers requests to this process
}

// peerReply is the result of a request to one process.
type peerReply struct {
	node  string
	reply *consensus.Reply // nil if the request failed
}

// withSender returns a copy of a request with this process's name and the ID of its system.
func (p *peerClient) withSender(request consensus.Request) consensus.Request {
	request.System = p.learner.system()
	request.Sender = p.self
	return request
}

// ask sends a request that withSender returned, and waits for the reply; raw is the encoding of the request. The error is a
// trace.BadParameter if the reply cannot be decoded or comes from a process of another system.
func (p *peerClient) ask(ctx context.Context, node string, request consensus.Request, raw []byte) (*consensus.Reply, error) {
	if node == p.self {
		return p.local(ctx, &request)
	}
	raw, err := p.transport.Ask(ctx, node, raw)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	var reply consensus.Reply
	if err := codec.Unmarshal(raw, &reply); err != nil {
		return nil, trace.BadParameter("decode reply of %s: %v", node, err)
	}
	if reply.Kind == consensus.ForeignSystem || !p.learner.system().Matches(reply.System) {
		p.log.WithField("peer", node).Error("rejected a reply: the process at this address belongs to another system")
		return nil, trace.BadParameter("the process at %s belongs to another system", node)
	}
	return &reply, nil
}

// describe asks a process for its own state and for the voter set that it knows.
func (p *peerClient) describe(ctx context.Context, node string) (*consensus.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	request := p.withSender(consensus.Request{Kind: consensus.Describe, VoterSet: p.learner.voterSet()})
	return p.ask(ctx, node, request, codec.MarshalAppend(nil, &request))
}

// broadcast sends a request to all nodes and returns a channel that receives one peerReply for each node. The requests continue after the
// caller stops receiving, so that they still reach the remaining nodes; they end after requestTimeout or when the Server is closed.
func (p *peerClient) broadcast(nodes []string, request *consensus.Request) <-chan peerReply {
	replies := make(chan peerReply, len(nodes))
	p.send(nodes, request, replies)
	return replies
}

// send does the same as broadcast with a channel of the caller, whose buffer must have room for all replies.
func (p *peerClient) send(nodes []string, request *consensus.Request, replies chan<- peerReply) {
	outgoing := p.withSender(*request)
	raw := codec.MarshalAppend(nil, &outgoing)
	for _, node := range nodes {
		started := p.lifetime.start(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, requestTimeout)
			defer cancel()
			reply, err := p.ask(ctx, node, outgoing, raw)
			if err != nil {
				p.log.WithError(err).WithField("node", node).Debug("request to a core process failed")
			}
			replies <- peerReply{node, reply}
		})
		if !started {
			replies <- peerReply{node: node}
		}
	}
}
