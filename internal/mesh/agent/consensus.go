package agent

import (
	"context"
	"net"

	"github.com/gravitational/trace"

	"gingerlead/internal/mesh/discovery/membership"
	"gingerlead/internal/mesh/transport"
)

// Book carries the core's agreement between its processes. Nodes are named by their control addresses, as in the settings.
type ConsensusTransport struct{ agent *Agent }

// Book declares the call by which other core processes reach serve.
func (c *Agent) ServeConsensus(serve func(ctx context.Context, request []byte) ([]byte, error)) {
	transport.Handle(c.o.Hub, methodConsensus, func(ctx context.Context, _ *transport.Hello, q *opaque) *opaque {
		body, err := serve(ctx, q.Body)
		if err != nil {
			return nil
		}
		return &opaque{Body: body}
	})
}

// Transport is the way to other core processes.
func (c *Agent) ConsensusTransport() ConsensusTransport { return ConsensusTransport{c} }

// Ask asks one of them.
func (b ConsensusTransport) Ask(ctx context.Context, node string, request []byte) ([]byte, error) {
	peer := b.agent.peer(node)
	if peer == "" {
		return nil, trace.BadParameter("node %q is no address", node)
	}
	a, err := transport.Request[opaque](ctx, b.agent.o.Hub, peer, methodConsensus, &opaque{Body: request})
	if err != nil {
		return nil, err
	}
	if len(a.Body) == 0 {
		return nil, trace.ConnectionProblem(nil, "%s can't say", node)
	}
	return a.Body, nil
}

// peer is the internal address of the process with a control address; empty if it is no address.
func (c *Agent) peer(control string) string {
	host, _, err := net.SplitHostPort(control)
	if err != nil {
		return ""
	}
	return c.o.Settings.Peer(host)
}

// Cores are the control addresses of the core processes that are there, this one among them: all machines of a day have the
// same ports.
func (c *Agent) Cores() (list []string) {
	_, port, err := net.SplitHostPort(c.o.Settings.Control)
	if err != nil {
		return nil
	}
	for _, m := range c.Members() {
		if host, _, err := net.SplitHostPort(m.Address); err == nil && m.Role == membership.Core {
			list = append(list, net.JoinHostPort(host, port))
		}
	}
	return list
}
