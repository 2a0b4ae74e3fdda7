package meshctl

import (
	"context"
	"slices"
	"strconv"
	"time"

	"quincegap/internal/mesh/agent"
)

// milliseconds formats a number of milliseconds, like 1.04s.
func milliseconds(n int64) string { return (time.Duration(n) * time.Millisecond).String() }

// MembersCommand prints the processes that run.
type MembersCommand struct{}

// Run prints the members of the core process's view.
func (MembersCommand) Run(ctx context.Context, client *Client) error {
	state, err := client.state(ctx)
	if err != nil {
		return err
	}
	output := table{columns: []string{"ADDRESS", "ZONE", "ROLE", "SERVICE", "HEARD"}}
	for _, m := range state.Members {
		output.add(m.Address, m.Zone, m.Role, m.Service, milliseconds(m.AgeMs))
	}
	return client.printTable(&output, state.Members)
}

// EndpointsCommand prints endpoints.
type EndpointsCommand struct {
	Service string `help:"Of this service only."`
}

// Run prints the endpoints, of one service if the flag is set.
func (e EndpointsCommand) Run(ctx context.Context, client *Client) error {
	state, err := client.state(ctx)
	if err != nil {
		return err
	}
	endpoints := slices.DeleteFunc(state.Endpoints, func(x agent.EndpointState) bool { return e.Service != "" && x.Service != e.Service })
	output := table{columns: []string{"ENDPOINT", "SERVICE", "ZONE", "STATE", "SLOTS", "WITNESS", "LEASE"}}
	for _, x := range endpoints {
		output.add(x.ID, x.Service, x.Zone, x.State, strconv.Itoa(x.Slots), x.Sidecar, milliseconds(x.LeaseMs))
	}
	return client.printTable(&output, endpoints)
}

// DutiesCommand prints the singleton roles and the voters.
type DutiesCommand struct{}

// Run prints the holder and the fencing token of each role, and the voters.
func (DutiesCommand) Run(ctx context.Context, client *Client) error {
	state, err := client.state(ctx)
	if err != nil {
		return err
	}
	output := table{columns: []string{"DUTY", "HOLDER", "NUMBER"}}
	for _, r := range state.Roles {
		output.add(r.Name, r.Holder, strconv.FormatUint(r.FencingToken, 10))
	}
	for _, voter := range state.Voters {
		output.add("voter", voter, "")
	}
	return client.printTable(&output, map[string]any{"duties": state.Roles, "voters": state.Voters})
}
