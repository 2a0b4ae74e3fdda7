package agent

import (
	"context"

	"github.com/gravitational/trace"

	"quincegap/internal/mesh/transport"
)

// ConsensusTransport carries requests of the consensus between core processes, which are named by their control addresses, as in the
// settings (control/controlplane.Transport).
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

// ConsensusTransport is the way to other core processes.
func (a *Agent) ConsensusTransport() ConsensusTransport { return ConsensusTransport{a} }

// Ask sends a request to a core process and waits for its reply, until ctx ends. The error is trace.BadParameter if node is no address,
// trace.ConnectionProblem if the process has no reply, else the link's.
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
