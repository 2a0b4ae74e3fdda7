package backstage

import (
	"context"
	"net"

	"github.com/gravitational/trace"

	"gingerlead/internal/mesh/company"
	"gingerlead/internal/mesh/cue"
)

// Book carries the core's agreement between its processes. Nodes are named by their control addresses, as in the settings.
type Book struct{ crew *Crew }

// Book declares the call by which other core processes reach serve.
func (c *Crew) Book(serve func(ctx context.Context, request []byte) ([]byte, error)) {
	cue.Handle(c.o.Hub, methodBook, func(ctx context.Context, _ *cue.Hello, q *bytes) *bytes {
		body, err := serve(ctx, q.Body)
		if err != nil {
			return nil
		}
		return &bytes{Body: body}
	})
}

// Transport is the way to other core processes.
func (c *Crew) Transport() Book { return Book{c} }

// Ask asks one of them.
func (b Book) Ask(ctx context.Context, node string, request []byte) ([]byte, error) {
	peer := b.crew.peer(node)
	if peer == "" {
		return nil, trace.BadParameter("node %q is no address", node)
	}
	a, err := cue.Request[bytes](ctx, b.crew.o.Hub, peer, methodBook, &bytes{Body: request})
	if err != nil {
		return nil, err
	}
	if len(a.Body) == 0 {
		return nil, trace.ConnectionProblem(nil, "%s can't say", node)
	}
	return a.Body, nil
}

// peer is the internal address of the process with a control address; empty if it is no address.
func (c *Crew) peer(control string) string {
	host, _, err := net.SplitHostPort(control)
	if err != nil {
		return ""
	}
	return c.o.Sheet.Peer(host)
}

// Cores are the control addresses of the core processes that are there, this one among them: all machines of a day have the
// same ports.
func (c *Crew) Cores() (list []string) {
	_, port, err := net.SplitHostPort(c.o.Sheet.Control)
	if err != nil {
		return nil
	}
	for _, m := range c.Members() {
		if host, _, err := net.SplitHostPort(m.Address); err == nil && m.Role == company.Core {
			list = append(list, net.JoinHostPort(host, port))
		}
	}
	return list
}
