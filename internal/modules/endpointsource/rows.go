package endpointsource

import (
	"cmp"
	"slices"
	"time"

	"quincegap/internal/balancer"
)

// Row is an endpoint as it is shown to people.
type Row struct {
	UID      string  `json:"uid"`
	Address  string  `json:"address"`
	State    string  `json:"state"`
	Weight   float64 `json:"weight"`
	Platform string  `json:"platform,omitempty"` // the platform's word, empty if it has none
	Consul   string  `json:"consul,omitempty"`   // Consul's
	Why      string  `json:"why"`
	AgoMS    int64   `json:"ago_ms"` // since when it is so
}

// Rows is all endpoints, by uid.
func (m *Merger) Rows(now time.Duration) []Row {
	var rows []Row
	for _, entry := range m.entries {
		rows = append(rows, entry.row(now))
	}
	slices.SortFunc(rows, func(a, b Row) int { return cmp.Compare(a.UID, b.UID) })
	return rows
}

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
