package ratelimit

import "time"

// Tunables of a sidecar's tokenCache.
const (
	beat       = 200 * time.Millisecond // between two wishes, so that the allocator knows that it is there
	urgent     = 15 * time.Millisecond  // the same while requests wait
	ahead      = 300 * time.Millisecond // of demand, that tokens are drawn for beforehand
	demandOver = time.Second            // that demand is smoothed over, for tokens,
	shareOver  = 8 * time.Second        // and for the standing share: many tenants ask less than once a second
	renewEach  = 2 * time.Second        // between two wishes for one tenant where nothing is wanted
	idleAfter  = 10 * time.Second       // a tenant without requests is not asked for
	waitMost   = 60 * time.Millisecond  // that a request waits for a token
	backMost   = 2 * time.Second
	backAlone  = 250 * time.Millisecond
	backLeast  = 30 * time.Millisecond
	waitFirst  = 250 * time.Millisecond // the same where no allocator has been reached yet
	waitersMax = 1024                   // of one tenant
	savedMost  = 2.0                    // requests that a sidecar on its own may save up, where its share is small
	firstShare = 0.08                   // of a tenant's rate, at most, that a sidecar takes which has never reached an allocator
)

// TokenCache is what one sidecar holds of the tenants' limits.
type TokenCache struct {
	tenants  map[string]*tenantTokens
	got      time.Duration // the last tickets
	met      bool
	sent     time.Duration
	out      bool
	newest   uint64 // highest fencing number of an allocator that grants were received under
	sidecars int    // that are there, as far as is known
}

// Sidecars says how many sidecars are there.
func (p *TokenCache) Sidecars(n int) { p.sidecars = n }

type tenantTokens struct {
	limit   Limit
	demand  float64
	usual   float64       // demand, over longer
	at      time.Duration // of both
	tokens  float64
	until   time.Duration
	share   float64
	shareTo time.Duration
	level   float64 // of what it may let in on its own
	levelAt time.Duration
	denied  time.Duration // the allocator has nothing before
	waiting []func(ok bool, back time.Duration)
	since   time.Duration // the oldest of those
	asked   int           // of those, the first, that the wishes under way speak for
	unused  float64       // tokens that ran out
	renew   time.Duration // when its share is to be told and renewed
}

// NewPurse makes an empty one.
func NewTokenCache() *TokenCache { return &TokenCache{tenants: map[string]*tenantTokens{}} }

// Reached tells whether an allocator has been heard of within what its tokens are good for.
func (p *TokenCache) Reached(now time.Duration) bool { return p.met && now-p.got < valid }

// Take takes a request of a tenant in: done is called once, now or later, with whether it may go on, and if not, when to come
// back.
func (p *TokenCache) Take(now time.Duration, tenant string, limit Limit, done func(ok bool, back time.Duration)) {
	if limit.Rate <= 0 {
		done(true, 0)
		return
	}
	k := p.tenants[tenant]
	if k == nil {
		k = &tenantTokens{at: now, levelAt: now, level: 1}
		p.tenants[tenant] = k
	}
	k.limit = limit
	k.count(now, 1)
	k.lapse(now)
	switch {
	case now < k.until && k.tokens >= 1:
		k.tokens--
		done(true, 0)
	case !p.Reached(now) && p.met:
		done(k.alone(now, p))
	case now < k.denied:
		done(false, p.back(k, k.denied-now))
	case len(k.waiting) >= waitersMax:
		done(false, backMost)
	default:
		if len(k.waiting) == 0 {
			k.since = now
		}
		k.waiting = append(k.waiting, done)
	}
}

func (p *TokenCache) back(k *tenantTokens, d time.Duration) time.Duration {
	return min(max(d, backLeast), backMost)
}

// lapse puts tokens aside that have run out.
func (k *tenantTokens) lapse(now time.Duration) {
	if now >= k.until && k.tokens > 0 {
		k.unused += k.tokens
		k.tokens = 0
	}
}

// count takes requests into the demand.
func (k *tenantTokens) count(now time.Duration, n float64) {
	dt := float64(now - k.at)
	k.demand = k.demand/(1+dt/float64(demandOver)) + n/demandOver.Seconds()
	k.usual = k.usual/(1+dt/float64(shareOver)) + n/shareOver.Seconds()
	k.at = now
}

func (k *tenantTokens) rate(now time.Duration) float64 {
	return k.demand / (1 + float64(now-k.at)/float64(demandOver))
}

// alone lets a request in by the standing share. Whoever has none, having never reached an allocator or not for longer than the
// share's lease, takes a small even one for itself: with no allocator at all, as after a restart of all or with the core gone for
// long, these add up to no more than the limit; of a few that alone can't reach one, even through others, the sum stays within
// what the rules leave.
func (k *tenantTokens) alone(now time.Duration, p *TokenCache) (bool, time.Duration) {
	if now >= k.shareTo {
		k.share = k.limit.Rate * min(firstShare, 1/float64(max(p.sidecars, 1)))
	}
	part := (k.limit.Spare + k.limit.Burst) / float64(max(p.sidecars, 1)) // what may be saved up, over all sidecars
	k.level = min(k.level+k.share*(now-k.levelAt).Seconds(), max(k.share*ahead.Seconds(), min(part, savedMost), 1))
	k.levelAt = now
	if k.level < 1 {
		if k.share <= 0 {
			return false, backMost
		}
		return false, min(time.Duration((1-k.level)/k.share*float64(time.Second)), backAlone) // an allocator may be back by then
	}
	k.level--
	return true, 0
}

// Tick gives the wishes that are due, and turns to its own share whoever has waited too long.
func (p *TokenCache) Tick(now time.Duration) (w []TokenRequest, due bool) {
	pressing := false
	for name, k := range p.tenants {
		most := waitMost
		if !p.met {
			most = waitFirst
		}
		if len(k.waiting) > 0 && now-k.since > most {
			k.release(now, func() (bool, time.Duration) { return k.alone(now, p) })
		}
		if now-k.at > idleAfter && now >= k.shareTo {
			delete(p.tenants, name)
			continue
		}
		if len(k.waiting) > 0 || k.short(now) {
			pressing = true
		}
	}
	pace := beat
	if pressing {
		pace = urgent
	}
	if now-p.sent < pace || p.out && now-p.sent < waitMost {
		return nil, false
	}
	for name, k := range p.tenants {
		k.lapse(now)
		if len(k.waiting) == 0 && !k.short(now) && k.unused < 1 && now < k.renew {
			continue
		}
		k.renew = now + renewEach
		x := TokenRequest{Tenant: name, Demand: k.usual / (1 + float64(now-k.at)/float64(shareOver)), Share: k.share, Left: max(k.shareTo-now, 0), Unused: k.unused}
		k.unused = 0
		k.asked = len(k.waiting)
		x.Tokens = float64(k.asked)
		if next := k.rate(now) * ahead.Seconds(); next >= 1 {
			x.Tokens += next
			if now < k.until {
				x.Tokens -= k.tokens
			}
		}
		x.Tokens = max(x.Tokens, 0)
		w = append(w, x)
	}
	p.sent, p.out = now, true
	return w, true
}

// short tells whether tokens are about to run out.
func (k *tenantTokens) short(now time.Duration) bool {
	next := k.rate(now) * ahead.Seconds()
	if next < 1 || now < k.denied {
		return false
	}
	return now+ahead/4 >= k.until || k.tokens < next/3
}

// Newest is the highest fencing number of an allocator that grants were received under.
func (p *TokenCache) Newest() uint64 { return p.newest }

// Got takes the answer to the requests that were sent at a time. It refuses grants of an allocator whose fencing number is below
// that of another one it has heard of: the former's lease has ended, and the newer one does not count what it granted.
func (p *TokenCache) Got(now, sent time.Duration, t *TokenGrants) (taken bool) {
	p.out = false
	if !t.Granted || t.Epoch < p.newest {
		return false
	}
	p.newest = t.Epoch
	p.met, p.got = true, max(p.got, sent)
	for _, x := range t.Grants {
		k := p.tenants[x.Tenant]
		if k == nil {
			continue
		}
		k.lapse(now)
		if sent+valid > now {
			k.tokens += x.Tokens
			k.until = sent + valid
		}
		k.share, k.shareTo = x.Share, sent+x.Left
		if x.Back > 0 {
			k.denied = now + min(x.Back, 100*time.Millisecond)
		}
		k.settle(now, p.back(k, x.Back))
	}
	return true
}

// settle lets waiting requests in by the tokens that are there. Those that the wishes spoke for and that got none are told to
// come back; who came later waits for the next answer.
func (k *tenantTokens) settle(now, back time.Duration) {
	i := 0
	for ; i < len(k.waiting) && now < k.until && k.tokens >= 1; i++ {
		k.tokens--
		k.waiting[i](true, 0)
	}
	for ; i < len(k.waiting) && i < k.asked; i++ {
		k.waiting[i](false, back)
	}
	k.waiting, k.asked, k.since = k.waiting[i:], 0, now
}

// Waiting tells whether requests wait for tokens.
func (p *TokenCache) Waiting() bool {
	for _, k := range p.tenants {
		if len(k.waiting) > 0 {
			return true
		}
	}
	return false
}

// Failed says that the wishes reached no allocator.
func (p *TokenCache) Failed(time.Duration) { p.out = false }

func (k *tenantTokens) release(now time.Duration, take func() (bool, time.Duration)) {
	all := k.waiting
	k.waiting = nil
	for _, done := range all {
		done(take())
	}
}
