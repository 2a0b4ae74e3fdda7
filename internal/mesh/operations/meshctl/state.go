package meshctl

import (
	"context"
	"slices"
	"strconv"
	"time"

	"quincegap/internal/mesh/agent"
)

// milliseconds is the text of a number of milliseconds, like 1.04s.
func milliseconds(n int64) string { return (time.Duration(n) * time.Millisecond).String() }

// MembersCommand shows the processes that run.
type MembersCommand struct{}

// Run prints them.
func (MembersCommand) Run(ctx context.Context, client *Client) error {
	s, err := client.state(ctx)
	if err != nil {
		return err
	}
	t := table{columns: []string{"ADDRESS", "ZONE", "ROLE", "SERVICE", "HEARD"}}
	for _, m := range s.Members {
		t.add(m.Address, m.Zone, m.Role, m.Service, milliseconds(m.AgeMs))
	}
	return client.printTable(&t, s.Members)
}

// EndpointsCommand shows endpoints.
type EndpointsCommand struct {
	Service string `help:"Of this service only."`
}

// Run prints them.
func (e EndpointsCommand) Run(ctx context.Context, client *Client) error {
	s, err := client.state(ctx)
	if err != nil {
		return err
	}
	endpoints := slices.DeleteFunc(s.Endpoints, func(x agent.EndpointState) bool { return e.Service != "" && x.Service != e.Service })
	t := table{columns: []string{"ENDPOINT", "SERVICE", "ZONE", "STATE", "SLOTS", "WITNESS", "LEASE"}}
	for _, x := range endpoints {
		t.add(x.ID, x.Service, x.Zone, x.State, strconv.Itoa(x.Slots), x.Sidecar, milliseconds(x.LeaseMs))
	}
	return client.printTable(&t, endpoints)
}

// DutiesCommand shows the singleton roles and the voters.
type DutiesCommand struct{}

// Run prints them.
func (DutiesCommand) Run(ctx context.Context, client *Client) error {
	s, err := client.state(ctx)
	if err != nil {
		return err
	}
	t := table{columns: []string{"DUTY", "HOLDER", "NUMBER"}}
	for _, r := range s.Roles {
		t.add(r.Name, r.Holder, strconv.FormatUint(r.FencingToken, 10))
	}
	for _, voter := range s.Voters {
		t.add("voter", voter, "")
	}
	return client.printTable(&t, map[string]any{"duties": s.Roles, "voters": s.Voters})
}
