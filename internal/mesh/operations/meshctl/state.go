package meshctl

import (
	"context"
	"slices"
	"strconv"
	"time"

	"quincegap/internal/mesh/agent"
)

// formatMilliseconds formats a number of milliseconds, for example as 1.04s.
func formatMilliseconds(n int64) string { return (time.Duration(n) * time.Millisecond).String() }

// MembersCommand prints the processes that are members of the mesh.
type MembersCommand struct{}

// Run prints the members that the core process knows.
func (MembersCommand) Run(ctx context.Context, client *Client) error {
	state, err := client.state(ctx)
	if err != nil {
		return err
	}
	output := table{columns: []string{"ADDRESS", "ZONE", "ROLE", "SERVICE", "HEARD"}}
	for _, m := range state.Members {
		output.add(m.Address, m.Zone, m.Role, m.Service, formatMilliseconds(m.AgeMs))
	}
	return client.printTable(&output, state.Members)
}

// EndpointsCommand prints the endpoints of all services or of one.
type EndpointsCommand struct {
	Service string `help:"Of this service only."`
}

// Run prints the endpoints; only those of one service if the flag is set.
func (e EndpointsCommand) Run(ctx context.Context, client *Client) error {
	state, err := client.state(ctx)
	if err != nil {
		return err
	}
	endpoints := slices.DeleteFunc(state.Endpoints, func(x agent.EndpointState) bool { return e.Service != "" && x.Service != e.Service })
	output := table{columns: []string{"ENDPOINT", "SERVICE", "ZONE", "STATE", "SLOTS", "WITNESS", "LEASE"}}
	for _, endpoint := range endpoints {
		output.add(endpoint.ID, endpoint.Service, endpoint.Zone, endpoint.State,
			strconv.Itoa(endpoint.Slots), endpoint.Sidecar, formatMilliseconds(endpoint.LeaseMs))
	}
	return client.printTable(&output, endpoints)
}

// DutiesCommand prints the singleton roles and the voters. "Duty" is the term for a singleton role in the output.
type DutiesCommand struct{}

// Run prints the holder and the fencing token of each role, and the voters.
func (DutiesCommand) Run(ctx context.Context, client *Client) error {
	state, err := client.state(ctx)
	if err != nil {
		return err
	}
	output := table{columns: []string{"DUTY", "HOLDER", "NUMBER"}}
	for _, role := range state.Roles {
		output.add(role.Name, role.Holder, strconv.FormatUint(role.FencingToken, 10))
	}
	for _, voter := range state.Voters {
		output.add("voter", voter, "")
	}
	return client.printTable(&output, map[string]any{"duties": state.Roles, "voters": state.Voters})
}
