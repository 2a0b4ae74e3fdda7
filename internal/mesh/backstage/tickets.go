package backstage

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"gingerlead/internal/mesh/boxoffice"
	"gingerlead/internal/mesh/company"
	"gingerlead/internal/mesh/cue"
	"gingerlead/internal/mesh/marquee"
	"gingerlead/internal/mesh/playbill"
	"gingerlead/internal/mesh/promptbook"
	"gingerlead/internal/mesh/script"
	"gingerlead/internal/mesh/understudy"
)

const (
	methodLease   = 18 // understudy.Ask, to a voter
	methodTickets = 19 // boxoffice.Wishes, to the teller or to a neighbour that brings them on

	dutyTeller  = "teller" // sells tokens of tenants' limits
	ticketsLook = 40 * time.Millisecond
	ticketsMost = 120 * time.Millisecond // until wishes without an answer go elsewhere
	lookEach    = 300 * time.Millisecond
	firstMost   = 6 * time.Second // from the system's first start: nobody can have sold much before
	directEach  = time.Second     // while a neighbour brings them on: the teller itself is tried again
)

// Tickets is a sidecar's way to tenants' tokens.
type Tickets struct {
	crew   *Crew
	mu     sync.Mutex
	purse  *boxoffice.Purse
	kick   chan struct{}
	teller string // who answered last
	via    string // the neighbour that brings wishes on; empty for none
	direct time.Duration
	failed int // in a row
}

// Tickets makes a sidecar's way to the teller, and declares the call by which neighbours bring wishes on.
func (c *Crew) Tickets() *Tickets {
	t := &Tickets{crew: c, purse: boxoffice.NewPurse(), kick: make(chan struct{}, 1)}
	cue.Handle(c.o.Hub, methodTickets, func(ctx context.Context, _ *cue.Hello, w *boxoffice.Wishes) *boxoffice.Tickets {
		t.mu.Lock()
		teller := t.teller
		t.mu.Unlock()
		if w.Brought || teller == "" {
			return &boxoffice.Tickets{}
		}
		w.Brought = true
		ctx, cancel := context.WithTimeout(ctx, ticketsMost)
		defer cancel()
		a, err := cue.Request[boxoffice.Tickets](ctx, c.o.Hub, teller, methodTickets, w)
		if err != nil {
			return &boxoffice.Tickets{}
		}
		return a
	})
	return t
}

// Take takes a tenant's request in; done is called once, soon.
func (t *Tickets) Take(tenant *playbill.Tenant, done func(ok bool, back time.Duration)) {
	waits := true
	t.mu.Lock()
	t.purse.Take(t.crew.o.Hub.Now(), tenant.Name, t.crew.limitOf(tenant),
		func(ok bool, back time.Duration) {
			waits = false
			done(ok, back)
		})
	t.mu.Unlock()
	if waits {
		select {
		case t.kick <- struct{}{}:
		default:
		}
	}
}

// Run sends wishes until ctx ends.
func (t *Tickets) Run(ctx context.Context) {
	tick := time.NewTicker(ticketsLook)
	defer tick.Stop()
	for {
		select {
		case <-t.kick:
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		now := t.crew.o.Hub.Now()
		t.crew.mu.Lock()
		n := t.crew.sidecars
		t.crew.mu.Unlock()
		t.mu.Lock()
		t.purse.Sidecars(n)
		wishes, due := t.purse.Tick(now)
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
func (t *Tickets) to(now time.Duration) string {
	if t.via != "" && now < t.direct {
		return t.via
	}
	t.direct = now + directEach
	if t.teller != "" && t.failed == 0 {
		return t.teller
	}
	role := company.Core
	if t.failed%2 == 1 {
		role = company.Access
	}
	members := slices.DeleteFunc(t.crew.Members(), func(m company.Member) bool {
		return m.Role != role || m.Address == t.crew.o.Hub.Self().Address
	})
	if len(members) == 0 {
		return t.teller
	}
	t.crew.mu.Lock()
	defer t.crew.mu.Unlock()
	return members[t.crew.random()%uint64(len(members))].Address
}

func (t *Tickets) ask(sent time.Duration, to string, wishes []boxoffice.Wish) {
	hub := t.crew.o.Hub
	ctx, cancel := context.WithTimeout(context.Background(), ticketsMost)
	defer cancel()
	self := hub.Self()
	var a *boxoffice.Tickets
	if to != "" {
		a, _ = cue.Request[boxoffice.Tickets](ctx, hub, to, methodTickets,
			&boxoffice.Wishes{Who: self.Address, Life: self.Life, Wishes: wishes})
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := hub.Now()
	switch {
	case a == nil || !a.Granted:
		t.failed++
		t.purse.Failed(now)
		if to == t.via {
			t.via = ""
		}
		if a != nil && a.Teller != "" && a.Teller != to {
			t.teller, t.failed, t.via = a.Teller, 0, ""
			t.rouse()
		}
		return
	case a.Teller != to:
		t.via = to // a neighbour brought them on
	default:
		t.via = ""
	}
	t.teller, t.failed = a.Teller, 0
	t.purse.Got(now, sent, a)
	if t.purse.Waiting() {
		t.rouse()
	}
}

func (t *Tickets) rouse() {
	select {
	case t.kick <- struct{}{}:
	default:
	}
}

// Duties are what core processes do one at a time, under leases that their voters grant.
type Duties struct {
	crew   *Crew
	voters Voters
	first  bool // the system's first start
	mu     sync.Mutex
	voter  *understudy.Voter
	teller *understudy.Candidate
	office *boxoffice.Teller
	looked time.Duration // at who is there
}

// Voters are those of the register, who grant leases too.
type Voters interface {
	Electorate() promptbook.Electorate // control addresses
	Accepted() uint64                  // the epoch of this process's newest vote
}

// Duties makes a core process's part in them and declares its calls.
func (c *Crew) Duties(voters Voters, first bool) *Duties {
	h := c.o.Hub.Self()
	d := &Duties{crew: c, voters: voters, first: first, voter: understudy.NewVoter(c.o.Hub.Now(), first),
		teller: understudy.NewCandidate(h.Address, h.Life, dutyTeller, func() float64 {
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.rng.Float64()
		})}
	cue.Handle(c.o.Hub, methodLease, func(_ context.Context, _ *cue.Hello, a *understudy.Ask) *understudy.Answer {
		return d.vote(a)
	})
	cue.Handle(c.o.Hub, methodTickets, d.sell)
	return d
}

func (d *Duties) vote(a *understudy.Ask) *understudy.Answer {
	accepted := d.voters.Accepted()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.voter.Accepted(accepted)
	return d.voter.Take(d.crew.o.Hub.Now(), a)
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
	e := d.voters.Electorate()
	now := d.crew.o.Hub.Now()
	d.mu.Lock()
	if now >= d.looked+lookEach {
		d.looked = now
		d.mu.Unlock()
		rank, sidecars := d.crew.coreRank(), d.sidecars()
		d.crew.events.members(d.crew.Members())
		d.mu.Lock()
		d.teller.Rank(rank)
		if d.office != nil {
			d.office.Sidecars(sidecars)
		}
	}
	ask := d.teller.Tick(now, len(e.Voters), e.Epoch)
	if _, ok := d.teller.Holds(now); !ok && d.office != nil {
		d.office = nil
		d.crew.events.add(marquee.Event{Kind: marquee.DutyWent, Node: d.crew.o.Hub.Self().Address, Detail: dutyTeller})
	}
	d.mu.Unlock()
	if ask == nil {
		return
	}
	for _, v := range e.Voters {
		if v == d.crew.o.Sheet.Control {
			d.granted(now, v, d.vote(ask))
			continue
		}
		d.crew.send(d.crew.peer(v), methodLease, ask, func(body []byte) {
			var a understudy.Answer
			if len(body) > 0 && script.Read(body, &a) == nil {
				d.granted(now, v, &a)
			}
		})
	}
}

// coreRank is this process's place among the core processes that it knows of.
func (c *Crew) coreRank() (n int) {
	self := c.o.Hub.Self().Address
	for _, m := range c.Members() {
		if m.Role == company.Core && m.Address < self {
			n++
		}
	}
	return n
}

func (d *Duties) sidecars() (out []string) {
	for _, m := range d.crew.Members() {
		if m.Role == company.Access {
			out = append(out, m.Address)
		}
	}
	return out
}

func (d *Duties) granted(asked time.Duration, voter string, a *understudy.Answer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.crew.o.Hub.Now()
	if d.teller.Take(now, asked, voter, a) {
		epoch, _ := d.teller.Holds(now)
		d.crew.events.add(marquee.Event{Kind: marquee.DutyCame, Node: d.crew.o.Hub.Self().Address,
			Detail: fmt.Sprintf("%s, under number %d", dutyTeller, epoch)})
		d.office = boxoffice.NewTeller(now, d.first && now < firstMost, d.crew.limit)
		d.office.Sidecars(d.sidecars())
	}
}

// limit is a tenant's, by the newest configuration.
func (c *Crew) limit(tenant string) (boxoffice.Limit, bool) {
	l, ok := (*c.limits.Load())[tenant]
	return l, ok
}

func (d *Duties) sell(_ context.Context, _ *cue.Hello, w *boxoffice.Wishes) *boxoffice.Tickets {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.crew.o.Hub.Now()
	epoch, ok := d.teller.Holds(now)
	if !ok || d.office == nil || d.crew.limits.Load() == nil {
		return &boxoffice.Tickets{Teller: d.teller.Holder(now)}
	}
	a := &boxoffice.Tickets{Granted: true, Epoch: epoch, Teller: d.crew.o.Hub.Self().Address, Tickets: d.office.Take(now, w)}
	for i := range a.Tickets {
		if a.Tickets[i].Back > 0 {
			d.crew.events.hit(now, a.Tickets[i].Tenant)
		}
	}
	return a
}
