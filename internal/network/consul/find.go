package consul

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/url"
	"strconv"

	"quincegap/internal/modules/endpointsource"
)

// maxFoundAddresses bounds the addresses of one search.
const maxFoundAddresses = 256

// Find gives the addresses of a service's instances that no check holds for critical, in Consul's order: the first agent that
// answers tells. s.Service and s.Tag are not used.
func Find(ctx context.Context, s Settings, service string, resolve func(string) string) (addresses []string, err error) {
	s.Service, s.Tag = service, ""
	w, err := New(s, endpointsource.ModeConsul, resolve)
	if err != nil {
		return nil, err
	}
	defer func() {
		for _, t := range w.transports {
			t.CloseIdleConnections()
		}
	}()
	if len(w.agents) == 0 {
		return nil, fmt.Errorf("consul.agents names none")
	}
	for agent := range w.agents {
		addresses = nil
		_, err = w.query(ctx, agent, "/v1/health/service/"+url.PathEscape(service), "", 0, "", 0, s.Consistency, func(body io.Reader) error {
			return decodeEach(body, maxInstances, func(i *instance) {
				if a, ok := i.address(); ok && len(addresses) < maxFoundAddresses {
					addresses = append(addresses, a)
				}
			})
		})
		if err == nil {
			return addresses, nil
		}
		err = fmt.Errorf("consul agent %s: %s", w.agents[agent], errorText(err))
	}
	return nil, err
}

// address is where an instance is; false where it has none, or a check is critical.
func (i *instance) address() (string, bool) {
	host := i.Service.Address
	if host == "" {
		host = i.Node.Address
	}
	if host == "" || len(host) > maxTextBytes || i.Service.Port < 1 || i.Service.Port > 65535 {
		return "", false
	}
	for _, c := range i.Checks {
		if c.Status == "critical" {
			return "", false
		}
	}
	return net.JoinHostPort(host, strconv.Itoa(i.Service.Port)), true
}
