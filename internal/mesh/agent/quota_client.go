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
	directRetryInterval = time.Second            // while a neighbour forwards requests: the allocator itself is tried again
)

// NewQuotaClient is a sidecar's way to tenants' tokens: it requests them from the allocator, directly or through a neighbour.
type QuotaClient struct {
	agent  *Agent
	wakeup chan struct{} // requests wait for tokens

	mu            sync.Mutex
	tokenCache    *ratelimit.TokenCache
	allocator     string // that answered last
	forwarder     string // the neighbour that forwards requests; empty for none
	directRetryAt time.Duration
	failures      int // in a row
}

// NewQuotaClient makes a sidecar's way to the allocator, and registers the call by which it forwards neighbours' requests.
func (a *Agent) NewQuotaClient() *QuotaClient {
	t := &QuotaClient{agent: a, tokenCache: ratelimit.NewTokenCache(), wakeup: make(chan struct{}, 1)}
	transport.Handle(a.config.Hub, methodTokens, t.handleForwarded)
	return t
}

// handleForwarded passes a neighbour's requests on to the allocator, once.
func (q *QuotaClient) handleForwarded(ctx context.Context, _ *transport.Hello, allocationRequest *ratelimit.AllocationRequest) *ratelimit.AllocationReply {
	q.mu.Lock()
	allocator := q.allocator
	q.mu.Unlock()
	if allocationRequest.Forwarded || allocator == "" {
		return &ratelimit.AllocationReply{}
	}
	allocationRequest.Forwarded = true
	ctx, cancel := context.WithTimeout(ctx, tokenTimeout)
	defer cancel()
	grants, err := transport.Request[ratelimit.AllocationReply](ctx, q.agent.config.Hub, allocator, methodTokens, allocationRequest)
	if err != nil {
		return &ratelimit.AllocationReply{}
	}
	return grants
}

// Acquire admits a tenant's request or refuses it; done is called once, soon, with when to come back after a refusal.
func (q *QuotaClient) Acquire(tenant *configuration.Tenant, done func(ok bool, back time.Duration)) {
	answered := false // guarded by t.mu, as done may be called later
	q.mu.Lock()
	q.tokenCache.Admit(q.agent.config.Hub.Now(), tenant.Name, q.agent.limitFor(tenant),
		func(ok bool, back time.Duration) {
			answered = true
			done(ok, back)
		})
	waits := !answered
	q.mu.Unlock()
	if waits {
		q.wake()
	}
}

// wake has Run look at once.
func (q *QuotaClient) wake() {
	select {
	case q.wakeup <- struct{}{}:
	default:
	}
}

// Run requests tokens until ctx ends.
func (q *QuotaClient) Run(ctx context.Context) {
	tick := time.NewTicker(tokenInterval)
	defer tick.Stop()
	for {
		select {
		case <-q.wakeup:
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		q.sendRequests()
	}
}

func (q *QuotaClient) sendRequests() {
	now := q.agent.config.Hub.Now()
	q.agent.mu.Lock()
	sidecars := q.agent.sidecarCount
	q.agent.mu.Unlock()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.tokenCache.SetSidecars(sidecars)
	requests, due := q.tokenCache.Tick(now)
	if !due {
		return
	}
	self := q.agent.config.Hub.Self()
	go q.request(now, q.target(now), &ratelimit.AllocationRequest{
		Sidecar: self.Address, Incarnation: self.Incarnation, Requests: requests,
		HighestFencingToken: q.tokenCache.HighestFencingToken(),
	})
}

// target is the process to ask: the one that answered last; else a core process, in turn with a neighbour. The lock is held.
func (q *QuotaClient) target(now time.Duration) string {
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
	members := slices.DeleteFunc(q.agent.Members(), func(m membership.Member) bool {
		return m.Role != role || m.Address == q.agent.config.Hub.Self().Address
	})
	if len(members) == 0 {
		return q.allocator
	}
	q.agent.mu.Lock()
	defer q.agent.mu.Unlock()
	return members[q.agent.randomUint64()%uint64(len(members))].Address
}

// request sends requests for tokens and takes the answer.
func (q *QuotaClient) request(sent time.Duration, to string, allocationRequest *ratelimit.AllocationRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), tokenTimeout)
	defer cancel()
	var grants *ratelimit.AllocationReply
	if to != "" {
		grants, _ = transport.Request[ratelimit.AllocationReply](ctx, q.agent.config.Hub, to, methodTokens, allocationRequest)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.agent.config.Hub.Now()
	if grants == nil || !q.tokenCache.HandleReply(now, sent, grants) {
		q.recordFailure(now, to, grants)
		return
	}
	q.forwarder = ""
	if grants.Allocator != to {
		q.forwarder = to
	}
	q.allocator, q.failures = grants.Allocator, 0
	if q.tokenCache.HasWaiters() {
		q.wake()
	}
}

// recordFailure notes that a process granted nothing; it may have named the allocator. The lock is held.
func (q *QuotaClient) recordFailure(now time.Duration, asked string, grants *ratelimit.AllocationReply) {
	q.failures++
	q.tokenCache.HandleFailure(now)
	if asked == q.forwarder {
		q.forwarder = ""
	}
	if grants != nil && !grants.Granted && grants.Allocator != "" && grants.Allocator != asked {
		q.allocator, q.failures, q.forwarder = grants.Allocator, 0, ""
		q.wake()
	}
}
