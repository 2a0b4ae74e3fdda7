package agent

import (
	"context"
	"net"

	"github.com/gravitational/trace"

	"quincegap/internal/mesh/discovery/membership"
	"quincegap/internal/mesh/transport"
)

// ConsensusTransport carries requests of the agreement between core processes, which are named by their control addresses, as in
// the settings.
type ConsensusTransport struct{ agent *Agent }

// ServeConsensus registers the call by which other core processes reach serve.
func (a *Agent) ServeConsensus(serve func(ctx context.Context, request []byte) ([]byte, error)) {
	transport.Handle(a.config.Hub, methodConsensus, func(ctx context.Context, _ *transport.Hello, q *opaqueMessage) *opaqueMessage {
		body, err := serve(ctx, q.Body)
		if err != nil {
			return nil
		}
		return &opaqueMessage{Body: body}
	})
}

// ConsensusTransport is the way to other core processes.
func (a *Agent) ConsensusTransport() ConsensusTransport { return ConsensusTransport{a} }

// Ask sends a request to a core process and waits for its reply.
func (c ConsensusTransport) Ask(ctx context.Context, node string, request []byte) ([]byte, error) {
	peer := c.agent.peerAddress(node)
	if peer == "" {
		return nil, trace.BadParameter("node %q is no address", node)
	}
	reply, err := transport.Request[opaqueMessage](ctx, c.agent.config.Hub, peer, methodConsensus, &opaqueMessage{Body: request})
	if err != nil {
		return nil, err
	}
	if len(reply.Body) == 0 {
		return nil, trace.ConnectionProblem(nil, "%s can't say", node)
	}
	return reply.Body, nil
}

// newestPeer is the internal address of the process with a control address; empty if that is no address.
func (a *Agent) peerAddress(control string) string {
	host, _, err := net.SplitHostPort(control)
	if err != nil {
		return ""
	}
	return a.config.Settings.PeerAddress(host)
}

// CoreAddresses are the control addresses of the core processes that are there, this one among them if it is one: all machines have the
// same ports.
func (a *Agent) CoreAddresses() (addresses []string) {
	_, port, err := net.SplitHostPort(a.config.Settings.ControlAddress)
	if err != nil {
		return nil
	}
	for _, m := range a.Members() {
		if host, _, err := net.SplitHostPort(m.Address); err == nil && m.Role == membership.RoleCore {
			addresses = append(addresses, net.JoinHostPort(host, port))
		}
	}
	return addresses
}
