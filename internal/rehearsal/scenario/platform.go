package scenario

import (
	"cmp"
	"fmt"
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/rehearsal/audit"
)

// notifyWithin is the time after which a sidecar counts as notified of an update, written or not, by the platform's protocol.
const notifyWithin = 6 * time.Second

// AuditRules returns the rules by which a run of the plan is judged, without the names of the sidecars, which the caller adds.
func (p *Plan) AuditRules() audit.Rules {
	rules := audit.Rules{
		Length: p.Length, Slack: p.Rules.Slack, Drain: p.Rules.Drain, NotifyWithin: notifyWithin,
		MaxAttempts: p.Rules.MaxAttempts, Hedging: p.Rules.Hedging,
		OverloadFactor: p.Rules.OverloadFactor, OverloadWindow: p.Rules.OverloadWindow,
	}
	for _, c := range p.Classes {
		rules.Classes = append(rules.Classes, audit.Class{
			Name: c.Name, Idempotency: string(c.Idempotency), Scope: string(c.Scope), Window: c.Window,
			LatencyTarget: c.LatencyTarget, Deadline: c.Deadline, Value: c.Value,
		})
	}
	for i := range p.Servers {
		rules.Servers = append(rules.Servers, p.auditServer(i))
	}
	for i := range p.Steps {
		if step := &p.Steps[i]; step.Kind == DiscoveryUpdate {
			rules.StateUpdates = append(rules.StateUpdates, audit.StateUpdate{At: step.At, Server: step.Server, State: step.State})
		}
	}
	for _, a := range p.Arrivals {
		rules.Arrivals = append(rules.Arrivals, audit.Arrival{At: a.At, Class: a.Class})
	}
	return rules
}

// auditServer returns the properties of a server that the rules need.
func (p *Plan) auditServer(index int) audit.Server {
	s := &p.Servers[index]
	tier := p.Tiers[s.Tier]
	server := audit.Server{
		Name: p.Name(index), Tier: s.Tier, Cell: s.Cell,
		Capacity: float64(s.Spec.Cores) * s.Spec.Speed, ColdShare: s.Spec.ColdShare, WarmUp: s.Spec.WarmUp, Work: tier.Work.Mean,
	}
	if tier.Calls != "" {
		server.Work = time.Duration(tier.WorkBeforeCalls * float64(server.Work))
	}
	return server
}

// Zone is the zone of all servers.
const Zone = "loopback"

// effects maps the idempotency of a class to the value of effect in the platform's settings.
var effects = map[balancer.Idempotency]string{
	balancer.Idempotent: "read_like", balancer.IdempotentWithKey: "idempotency_key", balancer.NonIdempotent: "non_idempotent",
}

// Settings returns the platform's settings object for a sidecar that sends to a tier. number is its index, from 0, among the sidecars
// that send to the tier, and of is how many there are.
func (p *Plan) Settings(tier, number, of int) map[string]any {
	us := func(d time.Duration) int64 { return d.Microseconds() }
	t := p.Tiers[tier]
	var services []map[string]any
	for _, c := range p.Classes {
		services = append(services, map[string]any{
			"name": c.Name, "aim": us(c.LatencyTarget), "deadline": us(c.Deadline), "gain": c.Value, "lateValue": 0,
			"effect": effects[c.Idempotency], "keyScope": string(c.Scope), "window": us(c.Window), "streamed": false,
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

// SidecarSpec describes one sidecar of a plan.
type SidecarSpec struct {
	Name   string
	Tier   int // index of the tier that it sends to
	Number int // index among the sidecars of its tier, from 0
	Count  int // number of sidecars of its tier that its settings announce
	Server int // index of the server whose calls go through it; -1 for external callers
}

// SidecarSpecs returns all sidecars: first those for external callers, then one for each server of a tier that calls another.
func (p *Plan) SidecarSpecs() (all []SidecarSpec) {
	for i := range p.Sidecars.Count {
		of := cmp.Or(p.Sidecars.AnnouncedCount, p.Sidecars.Count)
		all = append(all, SidecarSpec{fmt.Sprintf("n%d", i+1), 0, i % of, of, -1})
	}
	for i := range p.Servers {
		s := &p.Servers[i]
		if t := p.Tiers[s.Tier]; t.Calls != "" {
			all = append(all, SidecarSpec{fmt.Sprintf("%s-%d", t.Name, s.Number), s.Tier + 1, (s.Number - 1) % t.Servers, t.Servers, i})
		}
	}
	return all
}
