package ratelimit

import (
	"fmt"
	"testing"
	"time"

	"quincegap/internal/mesh/transport/codec"
)

// BenchmarkAllocator measures the allocator's work for one sidecar's request, without the network. As in production, each sidecar
// sends a request every 200 ms, five per second.
func BenchmarkAllocator(b *testing.B) {
	for _, sidecars := range []int{20, 200, 2000} {
		for _, tenants := range []int{1, 8} {
			b.Run(fmt.Sprintf("sidecars-%d/requests-%d", sidecars, tenants), func(b *testing.B) {
				benchmarkAllocator(b, sidecars, tenants)
			})
		}
	}
}

func benchmarkAllocator(b *testing.B, sidecars, tenants int) {
	b.Helper()
	limit := Limit{Rate: 1e5, Burst: 1e5, Overage: 100}
	allocator := NewAllocator(0, true, func(string) (Limit, bool) { return limit, true })
	requests := benchmarkRequests(sidecars, tenants)
	now, interval := time.Second, maxRequestInterval/time.Duration(sidecars)
	exchange := func(request *AllocationRequest) *AllocationReply {
		now += interval
		reply := AllocationReply{Granted: true, FencingToken: 3, Allocator: "10.0.0.1:7301", Grants: allocator.Allocate(now, request)}
		if len(reply.Grants) != tenants {
			b.Fatalf("Allocate returned %d grants for %d token requests, want one for each", len(reply.Grants), tenants)
		}
		return &reply
	}
	sent, received := 0, 0
	for i := range requests {
		reply := exchange(&requests[i])
		sent += len(codec.MarshalAppend(nil, &requests[i]))
		received += len(codec.MarshalAppend(nil, reply))
	}
	i := 0
	for b.Loop() {
		exchange(&requests[i%sidecars])
		i++
	}
	b.ReportMetric(float64(sent)/float64(sidecars), "B-requests")
	b.ReportMetric(float64(received)/float64(sidecars), "B-grants")
}

func benchmarkRequests(sidecars, tenants int) []AllocationRequest {
	requests := make([]AllocationRequest, sidecars)
	for i := range requests {
		request := &requests[i]
		request.Sidecar = fmt.Sprintf("10.%d.%d.%d:7301", i/62500, i/250%250, i%250+1)
		request.Incarnation = uint64(i + 1)
		for j := range tenants {
			request.Requests = append(request.Requests, TokenRequest{
				Tenant: fmt.Sprintf("tenant-%d", j), Tokens: 2, Demand: 6.5,
				FallbackShare: 1.25, ShareRemaining: 9 * time.Second,
			})
		}
	}
	return requests
}
