package ratelimit

import "time"

const (
	drawAhead  = 300 * time.Millisecond // of demand, that tokens are requested for beforehand
	demandSpan = time.Second            // over which demand is smoothed, for tokens,
	shareSpan  = 8 * time.Second        // and for the standing share: many tenants have less than one request a second
	savedMax   = 2.0                    // requests that a sidecar without an allocator may save up, where its share is small
	firstShare = 0.08                   // of a tenant's rate, at most, that a sidecar without a share takes
	backAlone  = 250 * time.Millisecond // a client refused without an allocator is to come back then at the latest
)

// tenantTokens is what a sidecar holds of one tenant's limit.
type tenantTokens struct {
	limit  Limit
	demand float64       // requests a second, smoothed over demandSpan,
	usual  float64       // and over shareSpan
	at     time.Duration // of both

	tokens float64
	until  time.Duration // the tokens are good
	unused float64       // tokens that ran out
	denied time.Duration // the allocator has no tokens before

	share      float64       // standing share, in requests a second
	shareUntil time.Duration // its lease
	renew      time.Duration // when it is to be told and renewed
	level      float64       // requests that it may admit now
	levelAt    time.Duration

	waiting []func(ok bool, back time.Duration)
	since   time.Duration // the first of those has waited
	asked   int           // so many of those, the first, are in the request under way
}

// spend takes one token, if there is one.
func (t *tenantTokens) spend(now time.Duration) bool {
	if now >= t.until || t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}

// lapse puts tokens aside that have run out.
func (t *tenantTokens) lapse(now time.Duration) {
	if now >= t.until && t.tokens > 0 {
		t.unused += t.tokens
		t.tokens = 0
	}
}

// count adds requests to the demand.
func (t *tenantTokens) count(now time.Duration, n float64) {
	dt := float64(now - t.at)
	t.demand = t.demand/(1+dt/float64(demandSpan)) + n/demandSpan.Seconds()
	t.usual = t.usual/(1+dt/float64(shareSpan)) + n/shareSpan.Seconds()
	t.at = now
}

// ahead is the demand of the time for which tokens are requested beforehand, in requests.
func (t *tenantTokens) ahead(now time.Duration) float64 {
	return t.demand / (1 + float64(now-t.at)/float64(demandSpan)) * drawAhead.Seconds()
}

// short reports whether tokens are about to run out.
func (t *tenantTokens) short(now time.Duration) bool {
	ahead := t.ahead(now)
	if ahead < 1 || now < t.denied {
		return false
	}
	return now+drawAhead/4 >= t.until || t.tokens < ahead/3
}

// admitAlone admits a request by the standing share. A sidecar that has none, having never reached an allocator or not within the
// lease of its share, takes a small even one: with no allocator at all, as after a restart of all processes or with the core
// away for long, these add up to no more than the limit; where a few sidecars alone reach none, even through others, the sum
// stays within what the rules leave.
func (t *tenantTokens) admitAlone(now time.Duration, sidecars int) (ok bool, back time.Duration) {
	sidecars = max(sidecars, 1)
	if now >= t.shareUntil {
		t.share = t.limit.Rate * min(firstShare, 1/float64(sidecars))
	}
	saved := (t.limit.Spare + t.limit.Burst) / float64(sidecars) // what may be saved up, divided among all
	most := max(t.share*drawAhead.Seconds(), min(saved, savedMax), 1)
	t.level = min(t.level+t.share*(now-t.levelAt).Seconds(), most)
	t.levelAt = now
	if t.level >= 1 {
		t.level--
		return true, 0
	}
	if t.share <= 0 {
		return false, backMax
	}
	return false, min(time.Duration((1-t.level)/t.share*float64(time.Second)), backAlone) // an allocator may be back by then
}

// request makes the tenant's request for tokens.
func (t *tenantTokens) request(now time.Duration, tenant string) TokenRequest {
	t.renew = now + renewInterval
	q := TokenRequest{Tenant: tenant, Demand: t.usual / (1 + float64(now-t.at)/float64(shareSpan)), Share: t.share,
		Left: max(t.shareUntil-now, 0), Unused: t.unused}
	t.unused = 0
	t.asked = len(t.waiting)
	q.Tokens = float64(t.asked)
	if ahead := t.ahead(now); ahead >= 1 {
		q.Tokens += ahead
		if now < t.until {
			q.Tokens -= t.tokens
		}
	}
	q.Tokens = max(q.Tokens, 0)
	return q
}

// take takes the grant to a request that was sent at a time.
func (t *tenantTokens) take(now, sent time.Duration, g *TokenGrant) {
	t.lapse(now)
	if sent+tokenValidity > now {
		t.tokens += g.Tokens
		t.until = sent + tokenValidity
	}
	t.share, t.shareUntil = g.Share, sent+g.Left
	if g.Back > 0 {
		t.denied = now + min(g.Back, deniedMax)
	}
	t.settle(now, clampBack(g.Back))
}

// settle admits waiting requests by the tokens that are there. Those that were in the request and got none are told to come
// back; those that came later wait for the next answer.
func (t *tenantTokens) settle(now, back time.Duration) {
	i := 0
	for ; i < len(t.waiting) && t.spend(now); i++ {
		t.waiting[i](true, 0)
	}
	for ; i < len(t.waiting) && i < t.asked; i++ {
		t.waiting[i](false, back)
	}
	t.waiting, t.asked, t.since = t.waiting[i:], 0, now
}

// release answers all waiting requests.
func (t *tenantTokens) release(admit func() (bool, time.Duration)) {
	waiting := t.waiting
	t.waiting = nil
	for _, done := range waiting {
		done(admit())
	}
}
