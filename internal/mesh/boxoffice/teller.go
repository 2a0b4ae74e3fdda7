package boxoffice

import (
	"maps"
	"slices"
	"time"
)

// A tenant's limit is a bucket that one process, the teller, holds under a lease (understudy). Sidecars draw tokens from it,
// which are good for a moment only, and hold a standing share of the rate beside, under a lease of its own, by which they let
// requests in while they can't reach a teller. The teller takes the shares of those that it has not heard of out of what it
// gives; so what is let in never adds up to more than the limit, whoever is cut off.
const (
	valid     = 450 * time.Millisecond // of tokens, from when they were asked for, by the sidecar's clock
	silent    = 350 * time.Millisecond // without a word: the teller counts the sidecar as on its own
	shareFor  = 10 * time.Second       // lease of a standing share
	forget    = 2 * shareFor
	evenShare = 0.2 // of the rate, that is divided evenly; the rest goes by demand
	buyersMax = 8192
)

// Limit is a tenant's, as the configuration has it, and what the rules let pass beyond it in a window.
type Limit struct {
	Rate, Burst float64
	Spare       float64 // requests
}

// spareFirst is the part of what may pass beyond a limit that a new teller begins with, as if it were saved up: two may come
// within a window.
const spareFirst = 0.25

// Teller holds the buckets of all tenants while this process has the duty.
type Teller struct {
	began   time.Duration
	fresh   bool // nothing was granted before it began: the system starts for the first time
	limits  func(tenant string) (Limit, bool)
	pots    map[string]*pot
	buyers  map[string]*buyer // by address
	missing int               // sidecars that are there and have not told of their shares yet
}

type pot struct {
	level float64
	at    time.Duration
}

type buyer struct {
	life   uint64
	heard  time.Duration
	shares map[string]*share
}

type share struct {
	rate, demand float64
	until        time.Duration
}

// NewTeller begins the duty. The buckets start nearly empty: who had it before may have emptied them the moment before.
func NewTeller(now time.Duration, fresh bool, limits func(string) (Limit, bool)) *Teller {
	return &Teller{began: now, fresh: fresh, limits: limits, pots: map[string]*pot{}, buyers: map[string]*buyer{}}
}

// Sidecars says which sidecars are there: those that have not told yet what share they hold may hold any.
func (t *Teller) Sidecars(addresses []string) {
	t.missing = 0
	for _, a := range addresses {
		if t.buyers[a] == nil {
			t.missing++
		}
	}
}

// Take is the one function that changes what has been sold.
func (t *Teller) Take(now time.Duration, w *Wishes) []Ticket {
	b := t.buyers[w.Who]
	if b == nil {
		if len(t.buyers) >= buyersMax {
			return nil
		}
		b = &buyer{shares: map[string]*share{}}
		t.buyers[w.Who] = b
		t.missing = max(t.missing-1, 0)
	}
	if b.life != w.Life {
		b.life, b.shares = w.Life, map[string]*share{}
	}
	b.heard = now
	for who, o := range t.buyers {
		if now-o.heard > forget {
			delete(t.buyers, who)
		}
	}
	var out []Ticket
	for _, x := range w.Wishes {
		limit, ok := t.limits(x.Tenant)
		if !ok || limit.Rate <= 0 {
			continue
		}
		s := b.shares[x.Tenant]
		if s == nil {
			s = &share{}
			b.shares[x.Tenant] = s
		}
		s.demand = max(x.Demand, 0)
		if x.Left > 0 {
			s.rate, s.until = max(x.Share, 0), now+min(x.Left, shareFor)
		} else {
			s.rate = 0
		}
		tk := t.sell(now, x, limit)
		s.rate = max(s.rate, t.allot(now, x.Tenant, s, limit))
		tk.Share, tk.Left = t.allot(now, x.Tenant, s, limit), shareFor
		s.until = now + shareFor
		out = append(out, tk)
	}
	return out
}

// sell gives tokens out of a tenant's bucket.
func (t *Teller) sell(now time.Duration, x Wish, limit Limit) Ticket {
	p := t.pots[x.Tenant]
	if p == nil {
		p = &pot{at: t.began}
		if p.level = min(limit.Burst, spareFirst*limit.Spare); t.fresh {
			p.level = limit.Burst
		}
		t.pots[x.Tenant] = p
	}
	rate := max(limit.Rate-t.reserved(now, x.Tenant, limit), 0)
	p.level = min(p.level+rate*(now-p.at).Seconds()+min(max(x.Unused, 0), limit.Burst), max(limit.Burst, 1))
	p.at = now
	tk := Ticket{Tenant: x.Tenant}
	switch {
	case x.Tokens <= 0:
	case p.level >= x.Tokens:
		tk.Tokens = x.Tokens
	case p.level >= 1:
		tk.Tokens = float64(int(p.level))
	}
	p.level -= tk.Tokens
	if tk.Tokens < x.Tokens {
		tk.Back = shareFor
		if rate > 0 {
			tk.Back = min(time.Duration((1-min(p.level, 1)+x.Tokens-tk.Tokens)/rate*float64(time.Second)), shareFor)
		}
	}
	return tk
}

// reserved is what of a tenant's rate those may let in that the teller has not heard of.
func (t *Teller) reserved(now time.Duration, tenant string, limit Limit) float64 {
	quiet, known := 0.0, 0.0
	for _, b := range t.buyers {
		s := b.shares[tenant]
		if s == nil || now >= s.until {
			continue
		}
		known += s.rate
		if now-b.heard > silent {
			quiet += s.rate
		}
	}
	if !t.fresh && now-t.began < shareFor && (t.missing > 0 || now-t.began < time.Second) {
		quiet += max(limit.Rate-known, 0) // shares that were granted before its time
	}
	return quiet
}

// allot is the standing share that a sidecar may have: by demand, and no more than the others leave.
func (t *Teller) allot(now time.Duration, tenant string, mine *share, limit Limit) float64 {
	demand, others, n := 0.0, 0.0, 0
	for _, who := range slices.Sorted(maps.Keys(t.buyers)) {
		n++
		s := t.buyers[who].shares[tenant]
		if s == nil {
			continue
		}
		demand += s.demand
		if s != mine && now < s.until {
			others += s.rate
		}
	}
	want := limit.Rate / float64(max(n+t.missing, 1))
	if demand > 0 {
		want = limit.Rate * (evenShare/float64(max(n+t.missing, 1)) + (1-evenShare)*mine.demand/demand)
	}
	if !t.fresh && now-t.began < shareFor && t.missing > 0 {
		return min(mine.rate, limit.Rate) // what the missing hold is not known yet
	}
	return max(min(want, limit.Rate-others), 0)
}
