package endpointsource

import (
	"cmp"
	"slices"
	"time"

	"quincegap/internal/balancer"
)

// Row is the state of one endpoint for the admin pages.
type Row struct {
	UID      string  `json:"uid"`
	Address  string  `json:"address"`
	State    string  `json:"state"` // state in the balancer's list; see StateName
	Weight   float64 `json:"weight"`
	Platform string  `json:"platform,omitempty"` // state in the platform's list; empty if the endpoint is not listed there
	Consul   string  `json:"consul,omitempty"`   // state in Consul; empty if the endpoint is not listed there
	Why      string  `json:"why"`                // reason for State
	AgoMS    int64   `json:"ago_ms"`             // milliseconds since the last change of the balancer's entry
}

// Rows returns the rows of all endpoints, sorted by uid.
func (m *Merger) Rows(now time.Duration) []Row {
	var rows []Row
	for _, entry := range m.entries {
		rows = append(rows, entry.row(now))
	}
	slices.SortFunc(rows, func(a, b Row) int { return cmp.Compare(a.UID, b.UID) })
	return rows
}

// row returns the endpoint as a Row.
func (e *endpointEntry) row(now time.Duration) Row {
	row := Row{UID: e.uid, State: StateName(balancer.EndpointRemoved), Why: e.reason, AgoMS: (now - e.changedAt).Milliseconds()}
	if e.published != nil {
		row.Address, row.State, row.Weight = e.published.Address, StateName(e.published.State), e.published.Weight
	}
	if e.platform != nil {
		row.Platform = StateName(e.platform.State)
		row.Address = cmp.Or(row.Address, e.platform.Address)
	}
	if e.consul != nil {
		row.Consul = StateName(e.consul.State)
		row.Address = cmp.Or(row.Address, e.consul.Address)
	}
	return row
}
