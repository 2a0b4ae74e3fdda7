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
	tokenInterval       = 40 * time.Millisecond  // between two checks whether tokens are to be requested
	tokenTimeout        = 120 * time.Millisecond // for a reply; without one the next request goes to another process
	directRetryInterval = time.Second            // between two attempts to reach the allocator while a peer forwards requests to it
)

// QuotaClient gets tenants' tokens for a sidecar. It requests them from the allocator or, while it can't reach the allocator, from
// another sidecar that forwards its requests. Its methods may be called from any goroutine.
type QuotaClient struct {
	agent    *Agent
	wakeup   chan struct{}  // holds a value if users' requests wait for tokens
	inFlight sync.WaitGroup // requests for tokens

	// mu guards the fields below. environment.mu may be taken under it.
	mu            sync.Mutex
	tokenCache    *ratelimit.TokenCache
	allocator     string        // address of the allocator, by the newest reply that named it; empty if it isn't known
	forwarder     string        // address of the sidecar that forwards requests; empty while the allocator is asked directly
	directRetryAt time.Duration // when the allocator is asked directly again
	failures      int           // requests in a row that were granted nothing
}

// NewQuotaClient returns a sidecar's client of the allocator, and registers the method by which it forwards other sidecars' requests. It
// is called once for an Agent. Tokens are requested while Run runs.
func (a *Agent) NewQuotaClient() *QuotaClient {
	q := &QuotaClient{agent: a, tokenCache: ratelimit.NewTokenCache(), wakeup: make(chan struct{}, 1)}
	transport.Handle(a.hub, methodTokens, q.handleForwarded)
	return q
}

// handleForwarded forwards another sidecar's request to the allocator, unless it was forwarded to this process: a request is forwarded
// once at most.
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

// Acquire takes a token for a request of a tenant. done is called exactly once, within a bounded time: with ok if the request is
// admitted, else with the time after which the tenant may retry. It may be called before Acquire returns, with the client's lock held:
// it must neither block nor call the client.
func (q *QuotaClient) Acquire(tenant *configuration.Tenant, done func(ok bool, retryAfter time.Duration)) {
	if !q.acquireCached(tenant, done) {
		q.wake()
	}
}

// acquireCached takes a token from the cache, or queues the request if there is none. It reports whether done has been called.
func (q *QuotaClient) acquireCached(tenant *configuration.Tenant, done func(ok bool, retryAfter time.Duration)) bool {
	answered := false // guarded by mu: the cache may call the function after this one has returned
	q.mu.Lock()
	defer q.mu.Unlock()
	limit := limitFor(&q.agent.settings.Bounds, tenant)
	q.tokenCache.Admit(q.agent.now(), tenant.Name, limit, func(ok bool, retryAfter time.Duration) {
		answered = true
		done(ok, retryAfter)
	})
	return answered
}

// wake makes Run request tokens at once, rather than at its next tick. It does not wait for that.
func (q *QuotaClient) wake() {
	select {
	case q.wakeup <- struct{}{}:
	default: // it is awake already
	}
}

// Run requests tokens until ctx ends. It returns once the last request has ended.
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

// sendRequests sends a request for tokens if one is due. A goroutine of its own waits for the reply.
func (q *QuotaClient) sendRequests(ctx context.Context) {
	now := q.agent.now()
	sidecars := q.agent.members.sidecars()
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
	q.inFlight.Go(func() { q.request(ctx, now, target, request) })
}

// targetLocked chooses the process to send a request to: the forwarder until directRetryAt, else the allocator. After failures, or if
// the allocator isn't known, it draws in turn another sidecar, which may reach the allocator, and a core process, which may be the
// allocator or name it. Unless it chooses the forwarder, it sets directRetryAt, the time of the next request that bypasses the forwarder.
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

// request sends a request for tokens to a process, and handles the reply. It waits for the reply also if ctx ends in between, as the
// tokens may be needed for users' requests that are still pending.
func (q *QuotaClient) request(ctx context.Context, sent time.Duration, to string, request *ratelimit.AllocationRequest) {
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

// call sends a request to a process, and returns its reply; nil if none came in time, or if to is empty.
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

// recordFailureLocked records that a process has granted nothing. If its reply, which may be nil, names another process as the allocator,
// that one is asked at once.
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
