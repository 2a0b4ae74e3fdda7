// Package ratelimit keeps the limits that hold over all sidecars together: tenants' rate limits, and each service's
// budget of retries. A sidecar decides on a request by itself, from what it holds, so that a request needs no message;
// all sidecars together never exceed the limit, even if some are partitioned from the others.
//
// The package does no I/O, starts no goroutine and takes no lock: its types are not safe for concurrent use. Time is an
// argument, on each process's own steady clock. Rates are in requests a second, tokens in requests.
//
// # Tenants' rate limits
//
// A tenant's limit is a token bucket that one process, the allocator, keeps as a singleton role under a lease (package
// lease). A sidecar's [TokenCache] draws tokens from it ahead of demand. They are good for tokenValidity only, so that
// tokens which one sidecar does not need go back in time for another.
//
//	client request          sidecar                         allocator
//	     | --- Admit -----> TokenCache -- AllocationRequest --> Allocator: a bucket for each tenant
//	     | <-- admitted --- or rejected <-- AllocationReply --- tokens, fallback share
//
// Each sidecar also holds a fallback share of each tenant's rate, under a lease of its own (shareLease), from which it
// admits requests while it reaches no allocator. The allocator reserves the shares of sidecars that have not sent a request
// recently: it grants only the rest, so the sum of all admitted requests stays within the limit, whichever sidecars are
// partitioned. A new allocator does not know the shares, and reserves all that is not reported; [LastSeen] lists the
// sidecars that may hold some.
//
// A [TokenCache] accepts grants by fencing token: after a reply of a newer allocator, it rejects those of older ones.
//
// # Retries
//
// A [RetryBudget] limits the retries and hedged requests of one service: a ratio of the sidecar's own requests in a
// sliding window, and a part of the fleet's slack. It needs no allocator.
//
// # What the package does not do
//
// It does not find the allocator, send messages or decide who plays that role (package agent does), and it keeps nothing
// on disk: after a restart of all processes, buckets start full or nearly empty, as [NewAllocator] says.
package ratelimit
