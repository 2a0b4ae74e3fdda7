package ratelimit

import (
	"maps"
	"slices"
	"time"
)

// A tenant's limit is a bucket that one process, the allocator, holds under a lease (lease). Sidecars draw tokens from it,
// which are good for a moment only, and hold a standing share of the rate beside, under a lease of its own, by which they let
// requests in while they can't reach an allocator. The allocator takes the shares of those that it has not heard of out of what it
// gives; so what is let in never adds up to more than the limit, whoever is cut off.
const (
	valid     = 450 * time.Millisecond // of tokens, from when they were asked for, by the sidecar's clock
	silent    = 300 * time.Millisecond // without a word: the allocator counts the sidecar as on its own
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

// spareFirst is the part of what may pass beyond a limit that a new allocator begins with, as if it were saved up: two may come
// within a window.
const spareFirst = 0.25

// Allocator holds the buckets of all tenants while this process has the duty.
type Allocator struct {
	began   time.Duration
	fresh   bool // nothing was granted before it began: the system starts for the first time
	limits  func(tenant string) (Limit, bool)
	books   map[string]*book
	buyers  map[string]*sidecarShare // by address
	missing int                      // sidecars that are there and have not told of their shares yet
	swept   time.Duration
}

// book is what the allocator keeps of one tenant. Its sums are made anew every sumEach and kept up in between, so that a wish costs
// the same whatever the number of sidecars.
type book struct {
	level   float64 // of the bucket
	at      time.Duration
	holders map[string]*share
	demand  float64 // of all,
	given   float64 // shares of all,
	quiet   float64 // and of those that the allocator has not heard of
	summed  time.Duration
	ever    bool
}

type sidecarShare struct {
	life  uint64
	heard time.Duration
}

type share struct {
	life         uint64
	rate, demand float64
	until        time.Duration
}

const sumEach = 100 * time.Millisecond

// NewTeller begins the duty. The buckets start nearly empty: who had it before may have emptied them the moment before.
func NewAllocator(now time.Duration, fresh bool, limits func(string) (Limit, bool)) *Allocator {
	return &Allocator{began: now, fresh: fresh, limits: limits, books: map[string]*book{}, buyers: map[string]*sidecarShare{}}
}

// Sidecars says which sidecars are there: those that have not told yet what share they hold may hold any.
func (t *Allocator) Sidecars(addresses []string) {
	t.missing = 0
	for _, a := range addresses {
		if t.buyers[a] == nil {
			t.missing++
		}
	}
}

// Take is the one function that changes what has been sold.
func (t *Allocator) Take(now time.Duration, w *TokenRequests) []TokenGrant {
	b := t.buyers[w.Who]
	if b == nil {
		if len(t.buyers) >= buyersMax {
			return nil
		}
		b = &sidecarShare{}
		t.buyers[w.Who] = b
		t.missing = max(t.missing-1, 0)
	}
	b.life, b.heard = w.Life, now
	t.sweep(now)
	var out []TokenGrant
	for _, x := range w.Requests {
		limit, ok := t.limits(x.Tenant)
		if !ok || limit.Rate <= 0 {
			continue
		}
		out = append(out, t.sell(now, w, x, limit))
	}
	return out
}

// sweep forgets sidecars that have been silent for long, and tenants that are gone.
func (t *Allocator) sweep(now time.Duration) {
	if now-t.swept < time.Second {
		return
	}
	t.swept = now
	for who, o := range t.buyers {
		if now-o.heard > forget {
			delete(t.buyers, who)
		}
	}
	for name := range t.books {
		if _, ok := t.limits(name); !ok {
			delete(t.books, name)
		}
	}
}

// sell takes one wish: tokens out of the tenant's bucket, and a standing share.
func (t *Allocator) sell(now time.Duration, w *TokenRequests, x TokenRequest, limit Limit) TokenGrant {
	k := t.books[x.Tenant]
	if k == nil {
		k = &book{at: t.began, level: min(limit.Burst, spareFirst*limit.Spare), holders: map[string]*share{}}
		if t.fresh {
			k.level = limit.Burst
		}
		t.books[x.Tenant] = k
	}
	k.sum(now, t.buyers)
	s := k.holders[w.Who]
	if s == nil {
		s = &share{}
		k.holders[w.Who] = s
	}
	told := 0.0 // what it holds by its own word, which is the truth
	if x.Left > 0 {
		told = max(x.Share, 0)
	}
	s.life = w.Life
	k.set(s, told, max(x.Demand, 0))
	tk := t.tokens(now, k, x, limit)
	tk.Share, tk.Left = t.allot(now, k, s, limit), shareFor
	k.set(s, max(told, tk.Share), s.demand) // until it says that it has the new one
	s.until = now + shareFor
	return tk
}

// sum makes the sums of a book anew.
func (k *book) sum(now time.Duration, buyers map[string]*sidecarShare) {
	if k.ever && now-k.summed < sumEach {
		return
	}
	k.ever, k.summed = true, now
	k.demand, k.given, k.quiet = 0, 0, 0
	for _, who := range slices.Sorted(maps.Keys(k.holders)) {
		s, b := k.holders[who], buyers[who]
		if now >= s.until || b != nil && b.life != s.life { // another life of it holds nothing of this one's
			delete(k.holders, who)
			continue
		}
		k.demand += s.demand
		k.given += s.rate
		if b == nil || now-b.heard > silent {
			k.quiet += s.rate
		}
	}
}

func (k *book) set(s *share, rate, demand float64) {
	k.given += rate - s.rate
	k.demand += demand - s.demand
	s.rate, s.demand = rate, demand
}

// tokens gives tokens out of a tenant's bucket.
func (t *Allocator) tokens(now time.Duration, k *book, x TokenRequest, limit Limit) TokenGrant {
	reserved := k.quiet
	if !t.fresh && now-t.began < shareFor && (t.missing > 0 || now-t.began < time.Second) {
		reserved += max(limit.Rate-k.given, 0) // shares that were granted before its time
	}
	rate := max(limit.Rate-reserved, 0)
	k.level = min(k.level+rate*(now-k.at).Seconds()+min(max(x.Unused, 0), limit.Burst), max(limit.Burst, 1))
	k.at = now
	tk := TokenGrant{Tenant: x.Tenant}
	switch {
	case x.Tokens <= 0:
	case k.level >= x.Tokens:
		tk.Tokens = x.Tokens
	case k.level >= 1:
		tk.Tokens = float64(int(k.level))
	}
	k.level -= tk.Tokens
	if tk.Tokens < x.Tokens {
		tk.Back = shareFor
		if rate > 0 {
			tk.Back = min(time.Duration((1-min(k.level, 1)+x.Tokens-tk.Tokens)/rate*float64(time.Second)), shareFor)
		}
	}
	return tk
}

// allot is the standing share that a sidecar may have: by demand, and no more than the others leave.
func (t *Allocator) allot(now time.Duration, k *book, mine *share, limit Limit) float64 {
	if !t.fresh && now-t.began < shareFor && t.missing > 0 {
		return min(mine.rate, limit.Rate) // what the missing hold is not known yet
	}
	even := limit.Rate / float64(max(len(t.buyers)+t.missing, 1))
	want := even
	if k.demand > 0 {
		want = evenShare*even + (1-evenShare)*limit.Rate*mine.demand/k.demand
	}
	return max(min(want, limit.Rate-(k.given-mine.rate)), 0)
}
