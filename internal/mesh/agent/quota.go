package agent

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"gingerlead/internal/mesh/control/configuration"
	"gingerlead/internal/mesh/control/consensus"
	"gingerlead/internal/mesh/control/lease"
	"gingerlead/internal/mesh/control/ratelimit"
	"gingerlead/internal/mesh/discovery/membership"
	"gingerlead/internal/mesh/operations/events"
	"gingerlead/internal/mesh/transport"
	"gingerlead/internal/mesh/transport/codec"
)

const (
	methodLease   = 18 // lease.Ask, to a voter
	methodTickets = 19 // ratelimit.Wishes, to the allocator or to a neighbour that brings them on

	dutyTeller  = "allocator" // sells tokens of tenants' limits
	ticketsLook = 40 * time.Millisecond
	ticketsMost = 120 * time.Millisecond // until wishes without an answer go elsewhere
	lookEach    = 300 * time.Millisecond
	firstMost   = 6 * time.Second // from the system's first start: nobody can have sold much before
	directEach  = time.Second     // while a neighbour brings them on: the allocator itself is tried again
)

// Tickets is a sidecar's way to tenants' tokens.
type QuotaClient struct {
	agent      *Agent
	mu         sync.Mutex
	tokenCache *ratelimit.TokenCache
	kick       chan struct{}
	allocator  string // who answered last
	via        string // the neighbour that brings wishes on; empty for none
	direct     time.Duration
	failed     int // in a row
}

// Tickets makes a sidecar's way to the allocator, and declares the call by which neighbours bring wishes on.
func (c *Agent) QuotaClient() *QuotaClient {
	t := &QuotaClient{agent: c, tokenCache: ratelimit.NewTokenCache(), kick: make(chan struct{}, 1)}
	transport.Handle(c.o.Hub, methodTickets, func(ctx context.Context, _ *transport.Hello, w *ratelimit.TokenRequests) *ratelimit.TokenGrants {
		t.mu.Lock()
		allocator := t.allocator
		t.mu.Unlock()
		if w.Brought || allocator == "" {
			return &ratelimit.TokenGrants{}
		}
		w.Brought = true
		ctx, cancel := context.WithTimeout(ctx, ticketsMost)
		defer cancel()
		a, err := transport.Request[ratelimit.TokenGrants](ctx, c.o.Hub, allocator, methodTickets, w)
		if err != nil {
			return &ratelimit.TokenGrants{}
		}
		return a
	})
	return t
}

// Take takes a tenant's request in; done is called once, soon.
func (t *QuotaClient) Take(tenant *configuration.Tenant, done func(ok bool, back time.Duration)) {
	waits := true
	t.mu.Lock()
	t.tokenCache.Take(t.agent.o.Hub.Now(), tenant.Name, t.agent.limitOf(tenant),
		func(ok bool, back time.Duration) {
			waits = false
			done(ok, back)
		})
	unanswered := waits // later it is written by whoever holds the lock
	t.mu.Unlock()
	if unanswered {
		select {
		case t.kick <- struct{}{}:
		default:
		}
	}
}

// Run sends wishes until ctx ends.
func (t *QuotaClient) Run(ctx context.Context) {
	tick := time.NewTicker(ticketsLook)
	defer tick.Stop()
	for {
		select {
		case <-t.kick:
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		now := t.agent.o.Hub.Now()
		t.agent.mu.Lock()
		n := t.agent.sidecars
		t.agent.mu.Unlock()
		t.mu.Lock()
		t.tokenCache.Sidecars(n)
		wishes, due := t.tokenCache.Tick(now)
		to := ""
		if due {
			to = t.to(now)
		}
		t.mu.Unlock()
		if due {
			go t.ask(now, to, wishes)
		}
	}
}

// to is whom to ask: who answered last; else one of the core, in turn with a neighbour. The lock is held.
func (t *QuotaClient) to(now time.Duration) string {
	if t.via != "" && now < t.direct {
		return t.via
	}
	t.direct = now + directEach
	if t.allocator != "" && t.failed == 0 {
		return t.allocator
	}
	role := membership.Core
	if t.failed%2 == 1 {
		role = membership.Access
	}
	members := slices.DeleteFunc(t.agent.Members(), func(m membership.Member) bool {
		return m.Role != role || m.Address == t.agent.o.Hub.Self().Address
	})
	if len(members) == 0 {
		return t.allocator
	}
	t.agent.mu.Lock()
	defer t.agent.mu.Unlock()
	return members[t.agent.random()%uint64(len(members))].Address
}

func (t *QuotaClient) ask(sent time.Duration, to string, wishes []ratelimit.TokenRequest) {
	hub := t.agent.o.Hub
	ctx, cancel := context.WithTimeout(context.Background(), ticketsMost)
	defer cancel()
	self := hub.Self()
	var a *ratelimit.TokenGrants
	if to != "" {
		a, _ = transport.Request[ratelimit.TokenGrants](ctx, hub, to, methodTickets,
			&ratelimit.TokenRequests{Who: self.Address, Life: self.Life, Wishes: wishes})
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := hub.Now()
	switch {
	case a == nil || !a.Granted:
		t.failed++
		t.tokenCache.Failed(now)
		if to == t.via {
			t.via = ""
		}
		if a != nil && a.Allocator != "" && a.Allocator != to {
			t.allocator, t.failed, t.via = a.Allocator, 0, ""
			t.rouse()
		}
		return
	case a.Allocator != to:
		t.via = to // a neighbour brought them on
	default:
		t.via = ""
	}
	t.allocator, t.failed = a.Allocator, 0
	t.tokenCache.Got(now, sent, a)
	if t.tokenCache.Waiting() {
		t.rouse()
	}
}

func (t *QuotaClient) rouse() {
	select {
	case t.kick <- struct{}{}:
	default:
	}
}

// Duties are what core processes do one at a time, under leases that their voters grant.
type Duties struct {
	agent          *Agent
	voters         Voters
	first          bool // the system's first start
	mu             sync.Mutex
	voter          *lease.Voter
	allocatorLease *lease.Candidate
	allocator      *ratelimit.Allocator
	looked         time.Duration // at who is there
}

// Voters are those of the register, who grant leases too.
type Voters interface {
	Membership() consensus.Membership // control addresses
	Accepted() uint64                 // the epoch of this process's newest vote
}

// Duties makes a core process's part in them and declares its calls.
func (c *Agent) Duties(voters Voters, first bool) *Duties {
	h := c.o.Hub.Self()
	d := &Duties{agent: c, voters: voters, first: first, voter: lease.NewVoter(c.o.Hub.Now(), first),
		allocatorLease: lease.NewCandidate(h.Address, h.Life, dutyTeller, func() float64 {
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.rng.Float64()
		})}
	transport.Handle(c.o.Hub, methodLease, func(_ context.Context, _ *transport.Hello, a *lease.Request) *lease.Reply {
		return d.vote(a)
	})
	transport.Handle(c.o.Hub, methodTickets, d.sell)
	return d
}

func (d *Duties) vote(a *lease.Request) *lease.Reply {
	accepted := d.voters.Accepted()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.voter.Accepted(accepted)
	return d.voter.Take(d.agent.o.Hub.Now(), a)
}

// Run asks for duties, and does them, until ctx ends.
func (d *Duties) Run(ctx context.Context) {
	tick := time.NewTicker(tick / 2)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			d.step()
		case <-ctx.Done():
			return
		}
	}
}

func (d *Duties) step() {
	e := d.voters.Membership()
	now := d.agent.o.Hub.Now()
	d.mu.Lock()
	if now >= d.looked+lookEach {
		d.looked = now
		d.mu.Unlock()
		rank, sidecars := d.agent.coreRank(), d.sidecars()
		d.agent.events.members(d.agent.Members())
		d.mu.Lock()
		d.allocatorLease.Rank(rank)
		if d.allocator != nil {
			d.allocator.Sidecars(sidecars)
		}
	}
	ask := d.allocatorLease.Tick(now, len(e.Voters), e.Epoch)
	if _, ok := d.allocatorLease.Holds(now); !ok && d.allocator != nil {
		d.allocator = nil
		d.agent.events.add(events.Event{Kind: events.DutyWent, Node: d.agent.o.Hub.Self().Address, Detail: dutyTeller})
	}
	d.mu.Unlock()
	if ask == nil {
		return
	}
	for _, v := range e.Voters {
		if v == d.agent.o.Settings.Control {
			d.granted(now, v, d.vote(ask))
			continue
		}
		d.agent.send(d.agent.peer(v), methodLease, ask, func(body []byte) {
			var a lease.Reply
			if len(body) > 0 && codec.Read(body, &a) == nil {
				d.granted(now, v, &a)
			}
		})
	}
}

// coreRank is this process's place among the core processes that it knows of.
func (c *Agent) coreRank() (n int) {
	self := c.o.Hub.Self().Address
	for _, m := range c.Members() {
		if m.Role == membership.Core && m.Address < self {
			n++
		}
	}
	return n
}

func (d *Duties) sidecars() (out []string) {
	for _, m := range d.agent.Members() {
		if m.Role == membership.Access {
			out = append(out, m.Address)
		}
	}
	return out
}

func (d *Duties) granted(asked time.Duration, voter string, a *lease.Reply) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.agent.o.Hub.Now()
	if d.allocatorLease.Take(now, asked, voter, a) {
		epoch, _ := d.allocatorLease.Holds(now)
		d.agent.events.add(events.Event{Kind: events.DutyCame, Node: d.agent.o.Hub.Self().Address,
			Detail: fmt.Sprintf("%s, under number %d", dutyTeller, epoch)})
		d.allocator = ratelimit.NewAllocator(now, d.first && now < firstMost, d.agent.limit)
		d.allocator.Sidecars(d.sidecars())
	}
}

// limit is a tenant's, by the newest configuration.
func (c *Agent) limit(tenant string) (ratelimit.Limit, bool) {
	l, ok := (*c.limits.Load())[tenant]
	return l, ok
}

func (d *Duties) sell(_ context.Context, _ *transport.Hello, w *ratelimit.TokenRequests) *ratelimit.TokenGrants {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.agent.o.Hub.Now()
	epoch, ok := d.allocatorLease.Holds(now)
	if !ok || d.allocator == nil || d.agent.limits.Load() == nil {
		return &ratelimit.TokenGrants{Allocator: d.allocatorLease.Holder(now)}
	}
	a := &ratelimit.TokenGrants{Granted: true, Epoch: epoch, Allocator: d.agent.o.Hub.Self().Address, Tickets: d.allocator.Take(now, w)}
	for i := range a.Tickets {
		if a.Tickets[i].Back > 0 {
			d.agent.events.hit(now, a.Tickets[i].Tenant)
		}
	}
	return a
}
