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
	tokenInterval       = 40 * time.Millisecond  // between two looks at what is to be requested
	tokenTimeout        = 120 * time.Millisecond // until requests without an answer go to another process
	directRetryInterval = time.Second            // while a peer forwards requests: the allocator itself is tried again
)

// QuotaClient is a sidecar's way to tenants' tokens. It requests them from the allocator, or, while it can't reach that, from another
// sidecar that forwards its requests. Its methods may be called from any goroutine.
type QuotaClient struct {
	agent    *Agent
	wakeup   chan struct{}  // holds a value if users' requests wait for tokens
	inFlight sync.WaitGroup // requests for tokens

	// mu guards what follows. environment.mu may be taken under it.
	mu            sync.Mutex
	tokenCache    *ratelimit.TokenCache
	allocator     string        // address of the one that granted last, or that was named as such
	forwarder     string        // the sidecar that forwards requests; empty if the allocator is asked directly
	directRetryAt time.Duration // when the allocator itself is tried again
	failures      int           // in a row
}

// NewQuotaClient makes a sidecar's client of the allocator, and registers the method by which it forwards other sidecars' requests. It
// is called once; Run has it work.
func (a *Agent) NewQuotaClient() *QuotaClient {
	q := &QuotaClient{agent: a, tokenCache: ratelimit.NewTokenCache(), wakeup: make(chan struct{}, 1)}
	transport.Handle(a.hub, methodTokens, q.handleForwarded)
	return q
}

// handleForwarded forwards another sidecar's requests to the allocator, unless they have been forwarded once.
func (q *QuotaClient) handleForwarded(ctx context.Context, _ *transport.Hello, request *ratelimit.AllocationRequest) *ratelimit.AllocationReply {
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

// Acquire takes a token for a request of a tenant. done is called exactly once, soon: with ok if the request is admitted, else with the time
// after which the tenant may retry. It may be called before Acquire returns. It must not block or call the client.
func (q *QuotaClient) Acquire(tenant *configuration.Tenant, done func(ok bool, retryAfter time.Duration)) {
	if !q.acquireCached(tenant, done) {
		q.wake()
	}
}

// acquireCached takes a token that is here already, or has the request wait for one. It reports whether done has been called.
func (q *QuotaClient) acquireCached(tenant *configuration.Tenant, done func(ok bool, retryAfter time.Duration)) bool {
	answered := false // guarded by mu, as done may be called later
	q.mu.Lock()
	defer q.mu.Unlock()
	limit := limitFor(&q.agent.settings.Bounds, tenant)
	q.tokenCache.Admit(q.agent.now(), tenant.Name, limit, func(ok bool, retryAfter time.Duration) {
		answered = true
		done(ok, retryAfter)
	})
	return answered
}

// wake has Run request tokens at once.
func (q *QuotaClient) wake() {
	select {
	case q.wakeup <- struct{}{}:
	default: // it is awake already
	}
}

// Run requests tokens until ctx ends, and returns when the last request has ended.
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

// sendRequests requests the tokens that are due, on a goroutine of its own.
func (q *QuotaClient) sendRequests(ctx context.Context) {
	now := q.agent.now()
	sidecars := q.agent.members.sidecars()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.tokenCache.SetSidecars(sidecars)
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

// targetLocked chooses the process to ask: the sidecar that forwards requests, until it is time to try the allocator itself again; else
// the allocator that granted last; after failures, by turns, another sidecar, which may reach the allocator, and a core process, which
// may be the allocator or name it.
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

// request sends a request for tokens to a process, and takes the reply. One that is under way when ctx ends is still answered.
func (q *QuotaClient) request(ctx context.Context, sent time.Duration, to string, request *ratelimit.AllocationRequest) {
	reply := q.ask(context.WithoutCancel(ctx), to, request)
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

// ask is a process's reply; nil if none came, or to is empty.
func (q *QuotaClient) ask(ctx context.Context, to string, request *ratelimit.AllocationRequest) *ratelimit.AllocationReply {
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

// recordFailureLocked notes that a process granted nothing. Its reply, which may be nil, may name the allocator.
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
