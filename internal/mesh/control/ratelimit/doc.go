// Package ratelimit enforces the limits that apply to the sum over all sidecars: tenants' rate limits, and each service's
// retry budget. A sidecar decides on a request locally, from the tokens and the share that it holds, so that a decision
// needs no message of its own. All sidecars together do not exceed a tenant's limit, even if some are partitioned from the
// others; fallback.admit states the exceptions.
//
// The package does no I/O, starts no goroutine and takes no lock: its types are not safe for concurrent use. Time is an
// argument, read from each process's monotonic clock. Rates are in requests per second, and a token admits one request.
//
// # Tenants' rate limits
//
// A tenant's limit is a token bucket in one process, the allocator: a singleton role that a process holds under a lease
// (package lease). A sidecar's [TokenCache] requests tokens from it ahead of demand. Tokens expire after tokenValidity, and
// the sidecar then returns them, so that other sidecars soon get those that one sidecar does not use.
//
//	client request          sidecar                         allocator
//	     | --- Admit -----> TokenCache -- AllocationRequest --> Allocator: a bucket for each tenant
//	     | <-- admitted --- or rejected <-- AllocationReply --- tokens, fallback share
//
// Each sidecar also holds a fallback share of each tenant's rate, under a separate lease (shareLease). It admits requests
// at the rate of this share while it cannot reach an allocator. The allocator reserves the shares of sidecars that have not
// sent a request recently and grants tokens at the remaining rate only, so that the sum of all admitted requests stays
// within the limit, whichever sidecars are partitioned. A new allocator does not know the shares, and reserves the part of
// the rate that no sidecar has reported as its share; [LastSeen] lists the sidecars that may hold shares.
//
// Grants carry the fencing token of the allocator's lease: once a [TokenCache] has accepted a reply of a newer allocator, it
// rejects replies of older ones.
//
// # Retries
//
// A [RetryBudget] limits the retries and hedged requests that one sidecar sends to one service in a sliding window. The
// budget is a ratio of the sidecar's own requests to the service, plus its part of a slack that all sidecars share. It needs
// no allocator.
//
// # What the package does not do
//
// It does not find the allocator, send messages or decide which process is the allocator (package agent does), and it
// writes nothing to disk: after a restart of all processes, buckets start full or nearly empty, as [NewAllocator] says.
package ratelimit
