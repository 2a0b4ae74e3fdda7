package ratelimit

import "time"

const (
	// prefetchSpan is how far ahead a sidecar requests tokens: for the demand that it expects within this time.
	prefetchSpan = 300 * time.Millisecond

	// demandSpan and longTermSpan are the time constants over which demand is smoothed: demandSpan to request tokens, longTermSpan
	// to divide the fallback shares. The latter is longer because many tenants send less than one request per second.
	demandSpan   = time.Second
	longTermSpan = 8 * time.Second
)

// demand estimates the request rate of a tenant at one sidecar, smoothed over two time spans.
type demand struct {
	rate            float64       // requests per second smoothed over demandSpan, as of updatedAt
	longTermAverage float64       // requests per second smoothed over longTermSpan, as of updatedAt
	updatedAt       time.Duration // time of the newest request
}

// record counts n requests at the time now.
func (d *demand) record(now time.Duration, n float64) {
	elapsed := float64(now - d.updatedAt)
	d.rate = d.rate/(1+elapsed/float64(demandSpan)) + n/demandSpan.Seconds()
	d.longTermAverage = d.longTermAverage/(1+elapsed/float64(longTermSpan)) + n/longTermSpan.Seconds()
	d.updatedAt = now
}

// expected returns the number of requests that are expected within prefetchSpan.
func (d *demand) expected(now time.Duration) float64 {
	return d.rate / (1 + float64(now-d.updatedAt)/float64(demandSpan)) * prefetchSpan.Seconds()
}

// longTermRate returns the demand smoothed over longTermSpan, in requests per second.
func (d *demand) longTermRate(now time.Duration) float64 {
	return d.longTermAverage / (1 + float64(now-d.updatedAt)/float64(longTermSpan))
}
