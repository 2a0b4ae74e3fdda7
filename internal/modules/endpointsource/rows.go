package endpointsource

import (
	"cmp"
	"slices"
	"time"

	"quincegap/internal/balancer"
)

// Row is an endpoint on the admin pages.
type Row struct {
	UID      string  `json:"uid"`
	Address  string  `json:"address"`
	State    string  `json:"state"` // as the balancer has it; see StateName
	Weight   float64 `json:"weight"`
	Platform string  `json:"platform,omitempty"` // its state in the platform's list, empty if it is not listed
	Consul   string  `json:"consul,omitempty"`   // its state in Consul, empty if it is not listed
	Why      string  `json:"why"`                // the reason for State
	AgoMS    int64   `json:"ago_ms"`             // how long ago the balancer's entry last changed, in milliseconds
}

// Rows returns all endpoints, by uid.
func (m *Merger) Rows(now time.Duration) []Row {
	var rows []Row
	for _, entry := range m.entries {
		rows = append(rows, entry.row(now))
	}
	slices.SortFunc(rows, func(a, b Row) int { return cmp.Compare(a.UID, b.UID) })
	return rows
}

// row returns the endpoint as a Row.
func (s *sourceEntry) row(now time.Duration) Row {
	row := Row{UID: s.uid, State: StateName(balancer.EndpointRemoved), Why: s.reason, AgoMS: (now - s.since).Milliseconds()}
	if s.published != nil {
		row.Address, row.State, row.Weight = s.published.Address, StateName(s.published.State), s.published.Weight
	}
	if s.platform != nil {
		row.Platform = StateName(s.platform.State)
		row.Address = cmp.Or(row.Address, s.platform.Address)
	}
	if s.consul != nil {
		row.Consul = StateName(s.consul.State)
		row.Address = cmp.Or(row.Address, s.consul.Address)
	}
	return row
}
