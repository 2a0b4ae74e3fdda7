package agent

import (
	"context"
	"slices"
	"sync"
	"time"

	"quincegap/internal/mesh/control/configuration"
	"quincegap/internal/mesh/control/ratelimit"
	"quincegap/internal/mesh/discovery/membership"
	"quincegap/internal/mesh/transport"
)

const (
	tokenInterval       = 40 * time.Millisecond  // interval between checks whether tokens have to be requested
	tokenTimeout        = 120 * time.Millisecond // timeout of a request for tokens; after it, the next request goes to another process
	directRetryInterval = time.Second            // interval between direct requests to the allocator while a peer forwards the others
)

// QuotaClient obtains tokens of the tenants' rate limits for a sidecar. It requests them from the allocator or, while it can't reach the
// allocator, from another sidecar that forwards the requests. Its methods are safe for concurrent use.
type QuotaClient struct {
	agent    *Agent
	wakeup   chan struct{}  // holds a value if Run is to check immediately whether tokens have to be requested
	inFlight sync.WaitGroup // goroutines that wait for replies to requests for tokens

	// mu guards the fields below. environment.mu may be acquired while mu is held.
	mu            sync.Mutex
	tokenCache    *ratelimit.TokenCache
	allocator     string        // internal address of the allocator, from the newest reply that named it; empty if unknown
	forwarder     string        // internal address of the sidecar that forwards requests; empty while requests go to the allocator
	directRetryAt time.Duration // time of the next request that bypasses the forwarder
	failures      int           // number of consecutive requests without a grant; 0 after a reply has named another allocator
}

// NewQuotaClient returns a sidecar's client of the allocator, and registers the method that forwards other sidecars' requests. It must be
// called at most once per Agent. The client requests tokens while Run is running.
func (a *Agent) NewQuotaClient() *QuotaClient {
	q := &QuotaClient{agent: a, tokenCache: ratelimit.NewTokenCache(a.config.Seed), wakeup: make(chan struct{}, 1)}
	transport.Handle(a.hub, methodTokens, q.handleForwarded)
	return q
}

// handleForwarded forwards another sidecar's request to the allocator and returns the reply. The reply is empty if the request was already
// forwarded once, the allocator isn't known, or the allocator can't be reached.
func (q *QuotaClient) handleForwarded(
	ctx context.Context, _ *transport.Hello, request *ratelimit.AllocationRequest,
) *ratelimit.AllocationReply {
	q.mu.Lock()
	allocator := q.allocator
	q.mu.Unlock()
	if request.Forwarded || allocator == "" {
		return &ratelimit.AllocationReply{}
	}
	request.Forwarded = true
	ctx, cancel := context.WithTimeout(ctx, tokenTimeout)
	defer cancel()
	reply, err := transport.Request[ratelimit.AllocationReply](ctx, q.agent.hub, allocator, methodTokens, request)
	if err != nil {
		return &ratelimit.AllocationReply{}
	}
	return reply
}

// Acquire acquires a token for a request of a tenant. done is called exactly once, within a bounded time: with ok true if the request is
// admitted, and otherwise with the time after which the tenant may retry. done may be called before Acquire returns, and with the client's
// lock held, so it must neither block nor call methods of the client.
func (q *QuotaClient) Acquire(tenant *configuration.Tenant, done func(ok bool, retryAfter time.Duration)) {
	if !q.acquireCached(tenant, done) {
		q.wake()
	}
}

// acquireCached takes a token from the cache, or queues the request if the cache has none. It reports whether done has been called.
func (q *QuotaClient) acquireCached(tenant *configuration.Tenant, done func(ok bool, retryAfter time.Duration)) bool {
	answered := false // guarded by mu, as the cache may call the function below after acquireCached has returned
	q.mu.Lock()
	defer q.mu.Unlock()
	limit := limitFor(&q.agent.settings.Bounds, tenant)
	q.tokenCache.Admit(q.agent.now(), tenant.Name, limit, func(ok bool, retryAfter time.Duration) {
		answered = true
		done(ok, retryAfter)
	})
	return answered
}

// wake makes Run check immediately, instead of at its next tick, whether tokens have to be requested. It does not block.
func (q *QuotaClient) wake() {
	select {
	case q.wakeup <- struct{}{}:
	default: // a wakeup is already pending
	}
}

// Run requests tokens until ctx ends. Before it returns, it waits until all pending requests have ended.
func (q *QuotaClient) Run(ctx context.Context) {
	defer q.inFlight.Wait()
	tick := time.NewTicker(tokenInterval)
	defer tick.Stop()
	for {
		select {
		case <-q.wakeup:
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		q.sendRequests(ctx)
	}
}

// sendRequests sends a request for tokens if one is due. A separate goroutine waits for the reply.
func (q *QuotaClient) sendRequests(ctx context.Context) {
	now := q.agent.now()
	sidecars := q.agent.members.lastSidecarCount()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.tokenCache.SetSidecarCount(sidecars)
	requests, due := q.tokenCache.Tick(now)
	if !due {
		return
	}
	self := q.agent.hub.Self()
	target := q.targetLocked(now)
	request := &ratelimit.AllocationRequest{
		Sidecar:             self.Address,
		Incarnation:         self.Incarnation,
		Requests:            requests,
		HighestFencingToken: q.tokenCache.HighestFencingToken(),
	}
	q.inFlight.Go(func() { q.requestTokens(ctx, now, target, request) })
}

// targetLocked selects the process to send a request to: the forwarder until directRetryAt, and the allocator otherwise. After failures,
// or if the allocator isn't known, it selects at random, in alternation, another sidecar, which may be able to reach the allocator, or a
// core process, which may be the allocator or name it. Unless it selects the forwarder, it sets directRetryAt, the time of the next
// request that bypasses the forwarder. The result is empty if there is no such process and the allocator isn't known.
func (q *QuotaClient) targetLocked(now time.Duration) string {
	if q.forwarder != "" && now < q.directRetryAt {
		return q.forwarder
	}
	q.directRetryAt = now + directRetryInterval
	if q.allocator != "" && q.failures == 0 {
		return q.allocator
	}
	role := membership.RoleCore
	if q.failures%2 == 1 {
		role = membership.RoleAccess
	}
	self := q.agent.address()
	candidates := slices.DeleteFunc(q.agent.Members(), func(m membership.Member) bool {
		return m.Role != role || m.Address == self
	})
	if len(candidates) == 0 {
		return q.allocator
	}
	q.agent.mu.Lock()
	defer q.agent.mu.Unlock()
	return candidates[q.agent.randomUint64Locked()%uint64(len(candidates))].Address
}

// requestTokens sends a request for tokens to a process, and handles the reply. It waits for the reply even after ctx has ended, as the
// tokens may be needed for users' requests that are still pending. sent is the time of the request.
func (q *QuotaClient) requestTokens(ctx context.Context, sent time.Duration, to string, request *ratelimit.AllocationRequest) {
	reply := q.call(context.WithoutCancel(ctx), to, request)
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.agent.now()
	if reply == nil || !q.tokenCache.HandleReply(now, sent, reply) {
		q.recordFailureLocked(now, to, reply)
		return
	}
	q.allocator = reply.Allocator
	q.failures = 0
	q.forwarder = ""
	if reply.Allocator != to {
		q.forwarder = to
	}
	if q.tokenCache.HasWaiters() {
		q.wake()
	}
}

// call sends a request to a process and returns the reply. It returns nil if to is empty, the request fails, or no reply arrives within
// tokenTimeout.
func (q *QuotaClient) call(ctx context.Context, to string, request *ratelimit.AllocationRequest) *ratelimit.AllocationReply {
	if to == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, tokenTimeout)
	defer cancel()
	reply, err := transport.Request[ratelimit.AllocationReply](ctx, q.agent.hub, to, methodTokens, request)
	if err != nil {
		return nil
	}
	return reply
}

// recordFailureLocked records that a request to a process has obtained no grant. reply is nil if there was none. If the reply names another
// process as the allocator, the next request is sent to that process immediately.
func (q *QuotaClient) recordFailureLocked(now time.Duration, asked string, reply *ratelimit.AllocationReply) {
	q.failures++
	q.tokenCache.HandleFailure(now)
	if asked == q.forwarder {
		q.forwarder = ""
	}
	if reply != nil && !reply.Granted && reply.Allocator != "" && reply.Allocator != asked {
		q.allocator = reply.Allocator
		q.failures = 0
		q.forwarder = ""
		q.wake()
	}
}
