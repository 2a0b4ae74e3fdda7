package ratelimit

import (
	"fmt"
	"testing"
	"time"

	"quincegap/internal/mesh/transport/codec"
)

// BenchmarkAllocator is the allocator's own work for one message of a sidecar, without the link: each sidecar sends one each
// 200 ms, with a request for each of some tenants. A second of the duty is as many messages as sidecars times five.
func BenchmarkAllocator(b *testing.B) {
	for _, sidecars := range []int{20, 200, 2000} {
		for _, requests := range []int{1, 8} {
			b.Run(fmt.Sprintf("sidecars-%d/requests-%d", sidecars, requests), func(b *testing.B) {
				t := NewAllocator(0, true, func(string) (Limit, bool) { return Limit{Rate: 1e5, Burst: 1e5, Overage: 100}, true })
				all := make([]AllocationRequest, sidecars)
				for i := range all {
					all[i] = AllocationRequest{Sidecar: fmt.Sprintf("10.%d.%d.%d:7301", i/62500, i/250%250, i%250+1), Incarnation: uint64(i + 1)}
					for j := range requests {
						all[i].Requests = append(all[i].Requests, TokenRequest{
							Tenant: fmt.Sprintf("tenant-%d", j), Tokens: 2, Demand: 6.5,
							FallbackShare: 1.25, ShareRemaining: 9 * time.Second,
						})
					}
				}
				now, each := time.Second, heartbeatInterval/time.Duration(sidecars)
				sizes, sent, got := 0, 0, 0
				round := func(w *AllocationRequest) {
					now += each
					a := AllocationReply{Granted: true, FencingToken: 3, Allocator: "10.0.0.1:7301", Grants: t.Allocate(now, w)}
					if len(a.Grants) != requests {
						b.Fatalf("%d grants for %d requests", len(a.Grants), requests)
					}
					if sizes++; sizes <= sidecars {
						sent, got = sent+len(codec.MarshalAppend(nil, w)), got+len(codec.MarshalAppend(nil, &a))
					}
				}
				for i := range all {
					round(&all[i])
				}
				i := 0
				for b.Loop() {
					round(&all[i%sidecars])
					i++
				}
				b.ReportMetric(float64(sent)/float64(sidecars), "B-requests")
				b.ReportMetric(float64(got)/float64(sidecars), "B-grants")
			})
		}
	}
}
