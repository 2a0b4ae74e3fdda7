package consul

import (
	"context"
	"io"
	"net"
	"net/url"
	"strconv"
)

// maxFoundAddresses bounds the number of addresses that Find returns.
const maxFoundAddresses = 256

// Find returns the addresses of those instances of a service that have no critical check, in Consul's order, from the first agent that
// answers. It ignores the Service and the Tag of the settings. resolve converts a path in the settings into one to open. If no agent
// answers, Find returns the *AgentError of the last one; if the settings name no agent, it returns ErrNoAgents.
func Find(ctx context.Context, settings Settings, service string, resolve func(string) string) (addresses []string, err error) {
	settings.Service = service
	settings.Tag = ""
	c, err := newClient(settings, resolve)
	if err != nil {
		return nil, err
	}
	defer c.closeIdle()
	if len(c.agents) == 0 {
		return nil, ErrNoAgents
	}
	q := queryParams{
		path:        "/v1/health/service/" + url.PathEscape(service),
		consistency: settings.Consistency,
	}
	for i := range c.agents {
		addresses = nil
		_, err = c.query(ctx, &c.agents[i], q, func(body io.Reader) error {
			return decodeEach(body, maxInstances, func(i *instance) {
				if address, ok := i.address(); ok && len(addresses) < maxFoundAddresses {
					addresses = append(addresses, address)
				}
			})
		})
		if err == nil {
			return addresses, nil
		}
		err = &AgentError{Agent: c.agents[i].address, Err: err}
	}
	return nil, err
}

// address returns the address of an instance. It returns false if the instance has no valid address or a check is critical.
func (i *instance) address() (string, bool) {
	host := i.Service.Address
	if host == "" {
		host = i.Node.Address
	}
	if host == "" || len(host) > maxTextBytes || i.Service.Port < 1 || i.Service.Port > maxPort {
		return "", false
	}
	for _, c := range i.Checks {
		if c.Status == statusCritical {
			return "", false
		}
	}
	return net.JoinHostPort(host, strconv.Itoa(i.Service.Port)), true
}
