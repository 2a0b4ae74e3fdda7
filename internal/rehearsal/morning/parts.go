package morning

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/rehearsal/audit"
	"quincegap/internal/rehearsal/emulator"
)

// notifyWithin is when news count as told, whether or not they were written (the platform's protocol).
const notifyWithin = 6 * time.Second

// AuditRules are what a plan is judged by; the names of the sidecars are to be added.
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

// Evaluate tells whether a morning reached what was expected, and the figure that it came to.
func (e Expectation) Evaluate(v *audit.Verdict) (got float64, met bool) {
	share := func(n int) float64 { return float64(n) / float64(max(1, v.Requests)) }
	switch e.Figure {
	case "service":
		got = v.Service
	case "worst":
		got = v.WorstService
	case "refused":
		got = share(v.Rejected)
	case "failed":
		got = share(v.Failed)
	default:
		got = v.AttemptsPerCall
	}
	return got, e.Above && got >= e.Bound || !e.Above && got <= e.Bound
}

// Zone is that of all boxes.
const Zone = "loopback"

// Settings is the platform's settings object for a sidecar that sends to a tier: the number-th of so many.
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

// SidecarSpec is a sidecar of the plan.
type SidecarSpec struct {
	Name   string
	Tier   int // that it sends to
	Number int // among its like
	Count  int
	Server int // whose calls it takes; -1 for callers from outside
}

// SidecarSpecs are all sidecars: those for callers first, then one for each box that calls.
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

// Caller is one that comes from outside: it decides when it tries, and when it tries no more.
type Caller struct {
	arrival  *Arrival
	class    *Class
	callers  *Callers
	random   *rand.Rand
	end      time.Duration
	attempts int
}

// Caller is the n-th arrival, who began at a time.
func (p *Plan) Caller(n int, began time.Duration) *Caller {
	a := &p.Arrivals[n]
	c := p.Classes[a.Class]
	return &Caller{arrival: a, class: c, callers: &p.Callers, random: rand.New(emulator.RandomSource(p.Seed, fmt.Sprint("caller ", n))), end: began + c.Deadline}
}

// PrefersFirstSidecar tells whether an arrival comes to the first sidecar, while that is there.
func (p *Plan) PrefersFirstSidecar(n int) bool {
	share := p.Callers.FirstSidecarShare
	return share > 0 && rand.New(emulator.RandomSource(p.Seed, fmt.Sprint("at first ", n))).Float64() < share
}

// NextAttempt begins the next try: its number from 1, and how long the caller waits; false if its time is up.
func (c *Caller) NextAttempt(now time.Duration) (try int, left time.Duration, ok bool) {
	c.attempts++
	left = min(time.Duration(c.arrival.Patience*float64(c.class.Deadline)), c.end-now)
	return c.attempts, left, left > 0
}

// IsRejected tells whether a status promises that trying again is harmless.
func IsRejected(status int) bool {
	return status == 503 || status == 429
}

// RetryAfter is how long the caller waits before it tries again, after a status (0 for none) and what Retry-After said; false
// if it does not.
func (c *Caller) RetryAfter(now time.Duration, status int, after time.Duration) (wait time.Duration, ok bool) {
	if status == 200 || c.attempts > c.callers.Retries {
		return 0, false
	}
	if c.class.Idempotency == balancer.NonIdempotent && !IsRejected(status) {
		return 0, false // it may have run
	}
	wait = time.Duration((0.5 + c.random.Float64()) * float64(c.callers.Backoff) * float64(int(1)<<(c.attempts-1)))
	if IsRejected(status) && c.arrival.HonoursRetryAfter {
		wait = max(wait, after)
	}
	return wait, now+wait < c.end
}

// IdempotencyKey is the Idempotency-Key of the n-th arrival, the same at each try.
func IdempotencyKey(n int) string { return fmt.Sprint("k", n) }

// RequestID is the id of a try.
func RequestID(n, try int) string { return fmt.Sprintf("r%dt%d", n, try) }
