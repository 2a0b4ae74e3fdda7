package scenario

import (
	"cmp"
	"fmt"
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/rehearsal/audit"
)

// notifyWithin is after which time an update counts as notified, whether or not it was written (the platform's protocol).
const notifyWithin = 6 * time.Second

// AuditRules returns what a run of the plan is judged by; the names of the sidecars are to be added.
func (p *Plan) AuditRules() audit.Rules {
	r := audit.Rules{
		Length: p.Length, Slack: p.Rules.Slack, Drain: p.Rules.Drain, NotifyWithin: notifyWithin, MaxAttempts: p.Rules.MaxAttempts, Hedging: p.Rules.Hedging,
		OverloadFactor: p.Rules.OverloadFactor, OverloadWindow: p.Rules.OverloadWindow,
	}
	for _, c := range p.Classes {
		r.Classes = append(r.Classes, audit.Class{Name: c.Name, Idempotency: string(c.Idempotency), Scope: string(c.Scope), Window: c.Window, LatencyTarget: c.LatencyTarget, Deadline: c.Deadline, Value: c.Value})
	}
	for i, b := range p.Servers {
		x := audit.Server{
			Name: p.Name(i), Tier: b.Tier, Cell: b.Cell,
			Capacity: float64(b.Spec.Cores) * b.Spec.Speed, ColdShare: b.Spec.ColdShare, WarmUp: b.Spec.WarmUp, Work: p.Tiers[b.Tier].Work.Mean,
		}
		if t := p.Tiers[b.Tier]; t.Calls != "" {
			x.Work = time.Duration(t.WorkBeforeCalls * float64(x.Work))
		}
		r.Servers = append(r.Servers, x)
	}
	for _, s := range p.Steps {
		if s.Kind == DiscoveryUpdate {
			r.StateUpdates = append(r.StateUpdates, audit.StateUpdate{At: s.At, Server: s.Server, State: s.State})
		}
	}
	for _, a := range p.Arrivals {
		r.Arrivals = append(r.Arrivals, audit.Arrival{At: a.At, Class: a.Class})
	}
	return r
}

// Zone is that of all servers.
const Zone = "loopback"

// Settings returns the platform's settings object for a sidecar that sends to a tier: the number-th of so many.
func (p *Plan) Settings(tier, number, of int) map[string]any {
	us := func(d time.Duration) int64 { return d.Microseconds() }
	t := p.Tiers[tier]
	var services []map[string]any
	for _, c := range p.Classes {
		services = append(services, map[string]any{
			"name": c.Name, "aim": us(c.LatencyTarget), "deadline": us(c.Deadline), "gain": c.Value, "lateValue": 0,
			"effect":   map[balancer.Idempotency]string{balancer.Idempotent: "read_like", balancer.IdempotentWithKey: "idempotency_key", balancer.NonIdempotent: "non_idempotent"}[c.Idempotency],
			"keyScope": string(c.Scope), "window": us(c.Window), "streamed": false,
		})
	}
	var names []string
	for _, t := range p.Tiers {
		names = append(names, t.Name)
	}
	rules := p.Rules
	return map[string]any{
		"instances": of, "ordinal": number, "stage": tier, "quantum": 5000, "discovery": "push", "worthBy": "request", "overShareWorth": 0.1,
		"zones": []string{Zone}, "models": names, "tiers": names, "services": services, "tenants": []any{},
		"goal":       map[string]any{"whole": 0.9, "worstClass": 0},
		"familyInfo": map[string]any{"passesDeadline": true}, "clientHabits": map[string]any{"marksRetry": false},
		"allowed": map[string]any{
			"cancel": true, "connIdle": us(30 * time.Second), "connectTimeout": us(rules.ConnectTimeout), "maxRetryAfter": us(2 * time.Second),
			"mayProbe": true, "openCap": 20000, "peers": false, "retryAfter": true, "secondCopies": rules.Hedging, "sendCap": rules.MaxAttempts,
		},
		"rules": map[string]any{
			"askEvery": 0, "cold": us(t.WarmUp), "coldFrom": t.ColdShare.Low, "fall": us(rules.OverloadWindow),
			"tipMultiple": rules.OverloadFactor, "graceToAnswer": 0,
		},
	}
}

// SidecarSpec is what a sidecar is there for.
type SidecarSpec struct {
	Name   string
	Tier   int // that it sends to
	Number int // among its like
	Count  int
	Server int // whose calls it takes; -1 for callers from outside
}

// SidecarSpecs returns all sidecars: those for callers first, then one for each server that calls.
func (p *Plan) SidecarSpecs() (all []SidecarSpec) {
	for i := range p.Sidecars.Count {
		of := cmp.Or(p.Sidecars.AnnouncedCount, p.Sidecars.Count)
		all = append(all, SidecarSpec{fmt.Sprintf("n%d", i+1), 0, i % of, of, -1})
	}
	for i, b := range p.Servers {
		if t := p.Tiers[b.Tier]; t.Calls != "" {
			all = append(all, SidecarSpec{fmt.Sprintf("%s-%d", t.Name, b.Number), b.Tier + 1, (b.Number - 1) % t.Servers, t.Servers, i})
		}
	}
	return all
}
