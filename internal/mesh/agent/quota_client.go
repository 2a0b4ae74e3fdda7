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
func (t *QuotaClient) handleForwarded(ctx context.Context, _ *transport.Hello, q *ratelimit.AllocationRequest) *ratelimit.AllocationReply {
	t.mu.Lock()
	allocator := t.allocator
	t.mu.Unlock()
	if q.Forwarded || allocator == "" {
		return &ratelimit.AllocationReply{}
	}
	q.Forwarded = true
	ctx, cancel := context.WithTimeout(ctx, tokenTimeout)
	defer cancel()
	grants, err := transport.Request[ratelimit.AllocationReply](ctx, t.agent.config.Hub, allocator, methodTokens, q)
	if err != nil {
		return &ratelimit.AllocationReply{}
	}
	return grants
}

// Acquire admits a tenant's request or refuses it; done is called once, soon, with when to come back after a refusal.
func (t *QuotaClient) Acquire(tenant *configuration.Tenant, done func(ok bool, back time.Duration)) {
	answered := false // guarded by t.mu, as done may be called later
	t.mu.Lock()
	t.tokenCache.Admit(t.agent.config.Hub.Now(), tenant.Name, t.agent.limitFor(tenant),
		func(ok bool, back time.Duration) {
			answered = true
			done(ok, back)
		})
	waits := !answered
	t.mu.Unlock()
	if waits {
		t.wake()
	}
}

// wake has Run look at once.
func (t *QuotaClient) wake() {
	select {
	case t.wakeup <- struct{}{}:
	default:
	}
}

// Run requests tokens until ctx ends.
func (t *QuotaClient) Run(ctx context.Context) {
	tick := time.NewTicker(tokenInterval)
	defer tick.Stop()
	for {
		select {
		case <-t.wakeup:
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		t.sendRequests()
	}
}

func (t *QuotaClient) sendRequests() {
	now := t.agent.config.Hub.Now()
	t.agent.mu.Lock()
	sidecars := t.agent.sidecarCount
	t.agent.mu.Unlock()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tokenCache.SetSidecars(sidecars)
	requests, due := t.tokenCache.Tick(now)
	if !due {
		return
	}
	self := t.agent.config.Hub.Self()
	go t.request(now, t.target(now), &ratelimit.AllocationRequest{Sidecar: self.Address, Incarnation: self.Incarnation, Requests: requests,
		HighestFencingToken: t.tokenCache.HighestFencingToken()})
}

// target is the process to ask: the one that answered last; else a core process, in turn with a neighbour. The lock is held.
func (t *QuotaClient) target(now time.Duration) string {
	if t.forwarder != "" && now < t.directRetryAt {
		return t.forwarder
	}
	t.directRetryAt = now + directRetryInterval
	if t.allocator != "" && t.failures == 0 {
		return t.allocator
	}
	role := membership.RoleCore
	if t.failures%2 == 1 {
		role = membership.RoleAccess
	}
	members := slices.DeleteFunc(t.agent.Members(), func(m membership.Member) bool {
		return m.Role != role || m.Address == t.agent.config.Hub.Self().Address
	})
	if len(members) == 0 {
		return t.allocator
	}
	t.agent.mu.Lock()
	defer t.agent.mu.Unlock()
	return members[t.agent.randomUint64()%uint64(len(members))].Address
}

// request sends requests for tokens and takes the answer.
func (t *QuotaClient) request(sent time.Duration, to string, q *ratelimit.AllocationRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), tokenTimeout)
	defer cancel()
	var grants *ratelimit.AllocationReply
	if to != "" {
		grants, _ = transport.Request[ratelimit.AllocationReply](ctx, t.agent.config.Hub, to, methodTokens, q)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.agent.config.Hub.Now()
	if grants == nil || !t.tokenCache.HandleReply(now, sent, grants) {
		t.recordFailure(now, to, grants)
		return
	}
	t.forwarder = ""
	if grants.Allocator != to {
		t.forwarder = to
	}
	t.allocator, t.failures = grants.Allocator, 0
	if t.tokenCache.HasWaiters() {
		t.wake()
	}
}

// recordFailure notes that a process granted nothing; it may have named the allocator. The lock is held.
func (t *QuotaClient) recordFailure(now time.Duration, asked string, grants *ratelimit.AllocationReply) {
	t.failures++
	t.tokenCache.HandleFailure(now)
	if asked == t.forwarder {
		t.forwarder = ""
	}
	if grants != nil && !grants.Granted && grants.Allocator != "" && grants.Allocator != asked {
		t.allocator, t.failures, t.forwarder = grants.Allocator, 0, ""
		t.wake()
	}
}
