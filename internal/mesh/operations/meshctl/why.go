package meshctl

import (
	"context"

	"quincegap/internal/mesh/agent"
	"quincegap/internal/mesh/control/configuration"
)

// WhyCommand explains how the mesh would handle a request with a host, a path and a key.
type WhyCommand struct {
	Host string `arg:"" help:"The Host header."`
	Path string `arg:"" help:"The path."`
	Key  string `help:"The tenant's key; it is not printed."`
}

// Run prints the route, the tenant and the endpoints of the request, or the status with which it would be rejected.
func (w WhyCommand) Run(ctx context.Context, client *Client) error {
	config, err := client.configuration(ctx)
	if err != nil {
		return err
	}
	state, err := client.state(ctx)
	if err != nil {
		return err
	}
	if config == nil {
		client.printf("503: there is no configuration yet\n")
		return nil
	}
	route := config.Match(w.Host, w.Path)
	if route == nil {
		client.printf("404: no route of %s begins %q (%s, %d routes)\n", w.Host, w.Path, config.Version, len(config.Routes))
		return nil
	}
	client.printf("route %s: %s%s, timeout %v, aim %v, at most %d endpoints\n",
		route.Name, route.Host, route.Prefix, route.Timeout, route.Target, route.MaxAttempts)
	if w.explainTenant(client, config, route) {
		explainEndpoints(client, route, state.Endpoints)
	}
	return nil
}

// explainTenant prints the tenant to which the key belongs, and reports whether a request with the key is accepted on a route.
func (w WhyCommand) explainTenant(client *Client, config *configuration.Config, route *configuration.Route) bool {
	if !config.HasTenantTable {
		return true
	}
	tenant := config.TenantByKey(w.Key)
	switch {
	case tenant == nil && !route.Public:
		client.printf("401: the key is not known\n")
		return false
	case tenant == nil:
		client.printf("no tenant: the route is public\n")
	default:
		client.printf("tenant %s: rank %d, %v a second and %v at once (0: no limit)\n", tenant.Name, tenant.Priority, tenant.Rate, tenant.Burst)
	}
	return true
}

// explainEndpoints prints the services among which a route is split, each with its share and its numbers of endpoints.
func explainEndpoints(client *Client, route *configuration.Route, endpoints []agent.EndpointState) {
	total := 0.0
	for _, share := range route.Split {
		total += share.Weight
	}
	for _, share := range route.Split {
		inService := countEndpoints(endpoints, share.Service, agent.StateInService)
		draining := countEndpoints(endpoints, share.Service, agent.StateDraining)
		client.printf("%3.0f%% to %s: %d endpoints in service, %d draining\n", 100*share.Weight/total, share.Service, inService, draining)
		if inService == 0 {
			client.printf("     503 until one is there\n")
		}
	}
}

// countEndpoints returns the number of endpoints of a service that are in a state.
func countEndpoints(endpoints []agent.EndpointState, service, state string) int {
	n := 0
	for _, e := range endpoints {
		if e.Service == service && e.State == state {
			n++
		}
	}
	return n
}
