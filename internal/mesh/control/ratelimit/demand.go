package ratelimit

import "time"

const (
	// prefetchSpan is the time for whose expected demand a sidecar requests tokens in advance.
	prefetchSpan = 300 * time.Millisecond

	// demandSpan is the time over which demand is smoothed to request tokens; longTermSpan is that for fallback shares. It is
	// longer because many tenants have less than one request a second.
	demandSpan   = time.Second
	longTermSpan = 8 * time.Second
)

// demand is a tenant's demand at one sidecar, smoothed over two spans of time.
type demand struct {
	rate      float64       // requests a second over demandSpan, as of updatedAt
	longTerm  float64       // the same over longTermSpan
	updatedAt time.Duration // time of the newest request
}

// record adds n requests.
func (d *demand) record(now time.Duration, n float64) {
	elapsed := float64(now - d.updatedAt)
	d.rate = d.rate/(1+elapsed/float64(demandSpan)) + n/demandSpan.Seconds()
	d.longTerm = d.longTerm/(1+elapsed/float64(longTermSpan)) + n/longTermSpan.Seconds()
	d.updatedAt = now
}

// expected returns the number of requests that are expected within prefetchSpan.
func (d *demand) expected(now time.Duration) float64 {
	return d.rate / (1 + float64(now-d.updatedAt)/float64(demandSpan)) * prefetchSpan.Seconds()
}

// longTermRate returns the demand, smoothed over longTermSpan, in requests a second.
func (d *demand) longTermRate(now time.Duration) float64 {
	return d.longTerm / (1 + float64(now-d.updatedAt)/float64(longTermSpan))
}
