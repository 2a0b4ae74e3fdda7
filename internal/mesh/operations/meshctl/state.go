package meshctl

import (
	"fmt"
	"slices"
	"time"

	"quincegap/internal/mesh/agent"
)

// MembersCommand shows processes.
type MembersCommand struct{}

// Run shows processes that are there.
func (MembersCommand) Run(c *Client) error {
	s, err := c.state()
	if err != nil {
		return err
	}
	var rows [][]string
	for _, m := range s.Members {
		rows = append(rows, []string{m.Address, m.Zone, m.Role, m.Service, time.Duration(m.AgeMs * 1e6).String()})
	}
	return c.printTable(s.Members, "ADDRESS\tZONE\tROLE\tSERVICE\tHEARD", rows)
}

// EndpointsCommand shows endpoints.
type EndpointsCommand struct {
	Service string `help:"Of this service only."`
}

// Run shows endpoints.
func (e EndpointsCommand) Run(c *Client) error {
	s, err := c.state()
	if err != nil {
		return err
	}
	var rows [][]string
	all := slices.DeleteFunc(s.Endpoints, func(endpointState agent.EndpointState) bool {
		return e.Service != "" && endpointState.Service != e.Service
	})
	for _, endpointState := range all {
		rows = append(rows, []string{
			endpointState.ID, endpointState.Service, endpointState.Zone, endpointState.State, fmt.Sprint(endpointState.Slots), endpointState.Sidecar,
			time.Duration(endpointState.LeaseMs * 1e6).String(),
		})
	}
	return c.printTable(all, "ENDPOINT\tSERVICE\tZONE\tSTATE\tSLOTS\tWITNESS\tLEASE", rows)
}

// DutiesCommand shows duties.
type DutiesCommand struct{}

// Run shows duties and voters.
func (DutiesCommand) Run(c *Client) error {
	s, err := c.state()
	if err != nil {
		return err
	}
	var rows [][]string
	for _, d := range s.Roles {
		rows = append(rows, []string{d.Name, d.Holder, fmt.Sprint(d.Epoch)})
	}
	for _, v := range s.Voters {
		rows = append(rows, []string{"voter", v, ""})
	}
	return c.printTable(map[string]any{"duties": s.Roles, "voters": s.Voters}, "DUTY\tHOLDER\tNUMBER", rows)
}

// WhyCommand explains a request.
type WhyCommand struct {
	Host string `arg:"" help:"The Host header."`
	Path string `arg:"" help:"The path."`
	Key  string `help:"The tenant's key; it is not printed."`
}

// Run says where a request would go.
func (w WhyCommand) Run(c *Client) error {
	conf, err := c.configuration()
	if err != nil {
		return err
	}
	s, err := c.state()
	if err != nil {
		return err
	}
	say := func(format string, args ...any) { fmt.Fprintf(c.Output, format+"\n", args...) }
	if conf == nil {
		say("503: there is no configuration yet")
		return nil
	}
	r := conf.Match(w.Host, w.Path)
	if r == nil {
		say("404: no route of %s begins %q (%s, %d routes)", w.Host, w.Path, conf.Version, len(conf.Routes))
		return nil
	}
	say("route %s: %s%s, timeout %v, aim %v, at most %d endpoints", r.Name, r.Host, r.Prefix, r.Timeout, r.Target, r.MaxAttempts)
	if conf.HasTenantTable {
		t := conf.TenantByKey(w.Key)
		switch {
		case t == nil && !r.Public:
			say("401: the key is not known")
			return nil
		case t == nil:
			say("no tenant: the route is public")
		default:
			say("tenant %s: rank %d, %v a second and %v at once (0: no limit)", t.Name, t.Priority, t.Rate, t.Burst)
		}
	}
	total := 0.0
	for _, x := range r.Split {
		total += x.Weight
	}
	for _, x := range r.Split {
		serve, leave := 0, 0
		for _, e := range s.Endpoints {
			switch {
			case e.Service == x.Service && e.State == agent.StateInService:
				serve++
			case e.Service == x.Service && e.State == agent.StateDraining:
				leave++
			}
		}
		say("%3.0f%% to %s: %d endpoints in service, %d draining", 100*x.Weight/total, x.Service, serve, leave)
		if serve == 0 {
			say("     503 until one is there")
		}
	}
	return nil
}
