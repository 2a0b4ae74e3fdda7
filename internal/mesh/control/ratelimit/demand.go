package ratelimit

import "time"

const (
	// prefetchSpan is the time whose demand tokens are requested for beforehand.
	prefetchSpan = 300 * time.Millisecond

	// demandSpan is the time over which demand is smoothed for tokens, longTermSpan that for the fallback share: many
	// tenants have less than one request a second.
	demandSpan   = time.Second
	longTermSpan = 8 * time.Second
)

// demand is a tenant's demand at one sidecar, smoothed over two spans of time.
type demand struct {
	rate      float64       // requests a second over demandSpan, as of updatedAt
	longTerm  float64       // the same over longTermSpan
	updatedAt time.Duration // time of the newest request
}

// record adds requests.
func (d *demand) record(now time.Duration, n float64) {
	elapsed := float64(now - d.updatedAt)
	d.rate = d.rate/(1+elapsed/float64(demandSpan)) + n/demandSpan.Seconds()
	d.longTerm = d.longTerm/(1+elapsed/float64(longTermSpan)) + n/longTermSpan.Seconds()
	d.updatedAt = now
}

// expected is how many requests are expected within prefetchSpan.
func (d *demand) expected(now time.Duration) float64 {
	return d.rate / (1 + float64(now-d.updatedAt)/float64(demandSpan)) * prefetchSpan.Seconds()
}

// longTermRate is the demand over longTermSpan, in requests a second.
func (d *demand) longTermRate(now time.Duration) float64 {
	return d.longTerm / (1 + float64(now-d.updatedAt)/float64(longTermSpan))
}
