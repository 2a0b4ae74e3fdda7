package agent

import (
	"context"

	"github.com/gravitational/trace"

	"quincegap/internal/mesh/transport"
)

// ConsensusTransport sends consensus requests to other core processes. It implements control/controlplane.Transport. Processes are
// identified by the control addresses in the settings.
type ConsensusTransport struct{ agent *Agent }

// ServeConsensus registers the method with which other core processes call serve. An error of serve is not transmitted: the caller gets
// an empty reply.
func (a *Agent) ServeConsensus(serve func(ctx context.Context, request []byte) ([]byte, error)) {
	transport.Handle(a.hub, methodConsensus, func(ctx context.Context, _ *transport.Hello, request *opaqueMessage) *opaqueMessage {
		body, err := serve(ctx, request.Body)
		if err != nil {
			return nil
		}
		return &opaqueMessage{Body: body}
	})
}

// ConsensusTransport returns a transport that sends consensus requests over the links of this agent.
func (a *Agent) ConsensusTransport() ConsensusTransport { return ConsensusTransport{a} }

// Ask sends a request to a core process and waits for the reply until ctx ends. The error is trace.BadParameter if node is not a
// host:port address, trace.ConnectionProblem if the process failed to handle the request, and the error of the link otherwise.
func (c ConsensusTransport) Ask(ctx context.Context, node string, request []byte) ([]byte, error) {
	peer := c.agent.peerAddress(node)
	if peer == "" {
		return nil, trace.BadParameter("node %q is not a host:port address", node)
	}
	reply, err := transport.Request[opaqueMessage](ctx, c.agent.hub, peer, methodConsensus, &opaqueMessage{Body: request})
	if err != nil {
		return nil, err
	}
	if len(reply.Body) == 0 {
		return nil, trace.ConnectionProblem(nil, "%s failed to handle the consensus request", node)
	}
	return reply.Body, nil
}
