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

// heard is when news count as told, whether or not they were written (the platform's protocol).
const heard = 6 * time.Second

// AuditRules are what a plan is judged by; the names of the sidecars are to be added.
func (p *Plan) AuditRules() audit.Rules {
	r := audit.Rules{
		Length: p.Length, Slack: p.Rules.Slack, Drain: p.Rules.Drain, Heard: heard, Attempts: p.Rules.Attempts, Copies: p.Rules.Copies,
		TipBy: p.Rules.TipBy, TipWindow: p.Rules.TipWindow,
	}
	for _, c := range p.Classes {
		r.Classes = append(r.Classes, audit.Class{Name: c.Name, Effect: string(c.Effect), Scope: string(c.Scope), Window: c.Window, Aim: c.Aim, Deadline: c.Deadline, Worth: c.Worth})
	}
	for i, b := range p.Boxes {
		x := audit.Box{
			Name: p.Name(i), Tier: b.Tier, Cell: b.Cell,
			Capacity: float64(b.Spec.Cores) * b.Spec.Speed, ColdFrom: b.Spec.ColdFrom, Warm: b.Spec.Warm, Work: p.Tiers[b.Tier].Work.Mean,
		}
		if t := p.Tiers[b.Tier]; t.Calls != "" {
			x.Work = time.Duration(t.Before * float64(x.Work))
		}
		r.Boxes = append(r.Boxes, x)
	}
	for _, s := range p.Steps {
		if s.Do == Tell {
			r.News = append(r.News, audit.News{At: s.At, Box: s.Box, State: s.State})
		}
	}
	for _, a := range p.Arrivals {
		r.Asks = append(r.Asks, audit.Asks{At: a.At, Class: a.Class})
	}
	return r
}

// Met tells whether a morning reached what was expected, and the figure that it came to.
func (e Expect) Met(v *audit.Verdict) (got float64, met bool) {
	share := func(n int) float64 { return float64(n) / float64(max(1, v.Requests)) }
	switch e.What {
	case "service":
		got = v.Service
	case "worst":
		got = v.Worst
	case "refused":
		got = share(v.Refused)
	case "failed":
		got = share(v.Failed)
	default:
		got = v.PerCall
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
			"name": c.Name, "aim": us(c.Aim), "deadline": us(c.Deadline), "gain": c.Worth, "lateValue": 0,
			"effect":   map[balancer.Idempotency]string{balancer.Idempotent: "read_like", balancer.IdempotentWithKey: "idempotency_key", balancer.NonIdempotent: "non_idempotent"}[c.Effect],
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
			"cancel": true, "connIdle": us(30 * time.Second), "connectTimeout": us(rules.Connect), "maxRetryAfter": us(2 * time.Second),
			"mayProbe": true, "openCap": 20000, "peers": false, "retryAfter": true, "secondCopies": rules.Copies, "sendCap": rules.Attempts,
		},
		"rules": map[string]any{
			"askEvery": 0, "cold": us(t.Warm), "coldFrom": t.Cold.Low, "fall": us(rules.TipWindow),
			"tipMultiple": rules.TipBy, "graceToAnswer": 0,
		},
	}
}

// Sender is a sidecar of the plan.
type Sender struct {
	Name   string
	Tier   int // that it sends to
	Number int // among its like
	Of     int
	Box    int // whose calls it takes; -1 for callers from outside
}

// Senders are all sidecars: those for callers first, then one for each box that calls.
func (p *Plan) Senders() (all []Sender) {
	for i := range p.Sidecars.Count {
		of := cmp.Or(p.Sidecars.Told, p.Sidecars.Count)
		all = append(all, Sender{fmt.Sprintf("n%d", i+1), 0, i % of, of, -1})
	}
	for i, b := range p.Boxes {
		if t := p.Tiers[b.Tier]; t.Calls != "" {
			all = append(all, Sender{fmt.Sprintf("%s-%d", t.Name, b.Number), b.Tier + 1, (b.Number - 1) % t.Boxes, t.Boxes, i})
		}
	}
	return all
}

// Caller is one that comes from outside: it decides when it tries, and when it tries no more.
type Caller struct {
	arrival *Arrival
	class   *Class
	callers *Callers
	random  *rand.Rand
	end     time.Duration
	tries   int
}

// Caller is the n-th arrival, who began at a time.
func (p *Plan) Caller(n int, began time.Duration) *Caller {
	a := &p.Arrivals[n]
	c := p.Classes[a.Class]
	return &Caller{arrival: a, class: c, callers: &p.Callers, random: rand.New(emulator.Source(p.Seed, fmt.Sprint("caller ", n))), end: began + c.Deadline}
}

// AtFirst tells whether an arrival comes to the first sidecar, while that is there.
func (p *Plan) AtFirst(n int) bool {
	share := p.Callers.AtFirst
	return share > 0 && rand.New(emulator.Source(p.Seed, fmt.Sprint("at first ", n))).Float64() < share
}

// Try begins the next try: its number from 1, and how long the caller waits; false if its time is up.
func (c *Caller) Try(now time.Duration) (try int, left time.Duration, ok bool) {
	c.tries++
	left = min(time.Duration(c.arrival.Patience*float64(c.class.Deadline)), c.end-now)
	return c.tries, left, left > 0
}

// Refused tells whether a status promises that trying again is harmless.
func Refused(status int) bool {
	return status == 503 || status == 429
}

// Again is how long the caller waits before it tries again, after a status (0 for none) and what Retry-After said; false
// if it does not.
func (c *Caller) Again(now time.Duration, status int, after time.Duration) (wait time.Duration, ok bool) {
	if status == 200 || c.tries > c.callers.Retries {
		return 0, false
	}
	if c.class.Effect == balancer.NonIdempotent && !Refused(status) {
		return 0, false // it may have run
	}
	wait = time.Duration((0.5 + c.random.Float64()) * float64(c.callers.Backoff) * float64(int(1)<<(c.tries-1)))
	if Refused(status) && c.arrival.Honours {
		wait = max(wait, after)
	}
	return wait, now+wait < c.end
}

// Key is the Idempotency-Key of the n-th arrival, the same at each try.
func Key(n int) string { return fmt.Sprint("k", n) }

// Request is the id of a try.
func Request(n, try int) string { return fmt.Sprintf("r%dt%d", n, try) }
