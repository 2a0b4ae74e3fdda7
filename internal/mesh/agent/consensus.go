package agent

import (
	"context"

	"github.com/gravitational/trace"

	"quincegap/internal/mesh/transport"
)

// ConsensusTransport sends requests of the consensus to other core processes, which are named by their control addresses as in the
// settings. It implements control/controlplane.Transport.
type ConsensusTransport struct{ agent *Agent }

// ServeConsensus registers the method by which other core processes call serve. An error of serve is not sent: the caller learns only
// that there is no reply.
func (a *Agent) ServeConsensus(serve func(ctx context.Context, request []byte) ([]byte, error)) {
	transport.Handle(a.hub, methodConsensus, func(ctx context.Context, _ *transport.Hello, request *opaqueMessage) *opaqueMessage {
		body, err := serve(ctx, request.Body)
		if err != nil {
			return nil
		}
		return &opaqueMessage{Body: body}
	})
}

// ConsensusTransport returns the transport of this agent.
func (a *Agent) ConsensusTransport() ConsensusTransport { return ConsensusTransport{a} }

// Ask sends a request to a core process and waits for its reply, until ctx ends. The error is trace.BadParameter if node is not an
// address, trace.ConnectionProblem if the process can't answer the request, else the error of the link.
func (c ConsensusTransport) Ask(ctx context.Context, node string, request []byte) ([]byte, error) {
	peer := c.agent.peerAddress(node)
	if peer == "" {
		return nil, trace.BadParameter("node %q is no address", node)
	}
	reply, err := transport.Request[opaqueMessage](ctx, c.agent.hub, peer, methodConsensus, &opaqueMessage{Body: request})
	if err != nil {
		return nil, err
	}
	if len(reply.Body) == 0 {
		return nil, trace.ConnectionProblem(nil, "%s can't say", node)
	}
	return reply.Body, nil
}
