package ratelimit_test

import (
	"fmt"
	"time"

	"quincegap/internal/mesh/control/ratelimit"
)

// Clients' requests wait until the allocator has granted tokens to the sidecar's cache.
func Example() {
	limit := ratelimit.Limit{Rate: 10, Burst: 5}
	limits := func(string) (ratelimit.Limit, bool) { return limit, true }
	allocator := ratelimit.NewAllocator(0, true, limits)
	cache := ratelimit.NewTokenCache(1)
	cache.SetSidecarCount(1)

	now := time.Second
	for request := range 7 {
		cache.Admit(now, "tenant", limit, func(ok bool, retryAfter time.Duration) {
			fmt.Println(request, ok, retryAfter)
		})
	}
	requests, due := cache.Tick(now)
	fmt.Println("due:", due, "tokens wanted:", requests[0].Tokens > 7)

	request := &ratelimit.AllocationRequest{Sidecar: "10.0.0.3:7301", Incarnation: 1, Requests: requests}
	grants := allocator.Allocate(now, request)
	cache.HandleReply(now, now, &ratelimit.AllocationReply{Granted: true, FencingToken: 1, Grants: grants})

	// Output:
	// due: true tokens wanted: true
	// 0 true 0s
	// 1 true 0s
	// 2 true 0s
	// 3 true 0s
	// 4 true 0s
	// 5 false 510ms
	// 6 false 510ms
}

// The retry budget is a fraction of the sidecar's own requests. Without slack, a ratio of 0.2 allows 8 retries for 100 requests.
func ExampleRetryBudget() {
	budget := ratelimit.NewRetryBudget(10 * time.Second)
	for range 100 {
		budget.CountRequest(0)
	}
	retries := 0
	for budget.Acquire(0, 0.2, 0, 1) {
		retries++
	}
	fmt.Println(retries)

	// Output:
	// 8
}
