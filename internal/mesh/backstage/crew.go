// Package backstage is the control plane that every process of the system takes part in: who is there, which endpoints there
// are, which configuration is in force. What decides in it is pure (company, callboard, promptbook); this is its clock, its
// messages and its one lock.
package backstage

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"gingerlead/internal/mesh/boxoffice"
	"gingerlead/internal/mesh/callboard"
	"gingerlead/internal/mesh/callsheet"
	"gingerlead/internal/mesh/company"
	"gingerlead/internal/mesh/cue"
	"gingerlead/internal/mesh/playbill"
	"gingerlead/internal/mesh/script"
)

const (
	tick       = 100 * time.Millisecond
	expireEach = time.Second
	homesEach  = 2 // of a service and zone
	noticesTo  = 4 // others that hear of a new version at once; the rest hear from them, and by shuffles
	fetchMost  = 300 * time.Millisecond
)

// Options are what a crew is made of.
type Options struct {
	Sheet *callsheet.Sheet
	Hub   *cue.Hub
	Role  company.Role
	Log   *logrus.Logger
	Seed  uint64
	// Configure is called with each newer configuration, one after the other.
	Configure func(c *playbill.Config)
	// Told is called with all that is known of a service's endpoints when something has changed.
	Told func(service string, all []callboard.Endpoint)
	// Sidecars is called when the number of sidecars that take requests has changed.
	Sidecars func(n int)
	// Found is called when others know of an endpoint at this machine's address that this process has not heard of.
	Found func(e callboard.Endpoint)
}

// Crew is this process's part in the control plane.
type Crew struct {
	o           Options
	mu          sync.Mutex
	view        *company.View
	board       *callboard.Board
	publisher   *callboard.Publisher
	subscribed  *callboard.Subscription
	subscribers *callboard.Subscribers
	services    []string // that this process wants to hear of
	conf        configuration
	fetching    uint64 // version that is being fetched,
	fetchUntil  time.Duration
	rng         *rand.Rand
	changed     map[string]bool
	expire      time.Duration
	sidecars    int
	placed      uint64            // changes of the view when place last worked, and one; 0 if it is to
	life        map[string]uint64 // of homes that were told
	settings    sync.Mutex        // one configuration after the other
	limits      atomic.Pointer[map[string]boxoffice.Limit]
	events      *events // of core processes; nil elsewhere
}

// New makes a crew and declares its calls.
func New(o Options) *Crew {
	h := o.Hub.Self()
	self := company.Member{Life: h.Life, Address: h.Address, Zone: o.Sheet.Zone, Region: o.Sheet.Region, Role: o.Role,
		Service: o.Sheet.Service, App: o.Sheet.App}
	c := &Crew{o: o, view: company.New(self, company.Bounds{}, rand.New(rand.NewPCG(o.Seed, h.Life))),
		board: callboard.New(callboard.Bounds{}), publisher: callboard.NewPublisher(callboard.Bounds{}),
		subscribed: callboard.NewSubscription(callboard.Bounds{}), subscribers: callboard.NewSubscribers(callboard.Bounds{}),
		changed: map[string]bool{}, life: map[string]uint64{}, rng: rand.New(rand.NewPCG(o.Seed, 1))}
	for zone, region := range o.Sheet.Regions {
		c.view.Place(zone, region)
	}
	c.view.Seeds(0, o.Sheet.SeedPeers())
	if o.Role == company.Access {
		c.services = []string{o.Sheet.Service}
	} else {
		c.events = newEvents(h.Life)
	}
	cue.Handle(o.Hub, methodShuffle, c.shuffled)
	cue.Handle(o.Hub, methodPost, c.posted)
	cue.Handle(o.Hub, methodSubscribe, c.wished)
	cue.Handle(o.Hub, methodNews, c.news)
	cue.Handle(o.Hub, methodNotice, c.noticed)
	cue.Handle(o.Hub, methodConfig, c.asked)
	o.Hub.OnLost(c.lost)
	return c
}

// Run lets time pass until ctx ends.
func (c *Crew) Run(ctx context.Context) {
	t := time.NewTicker(tick)
	defer t.Stop()
	for {
		c.step()
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

func (c *Crew) random() uint64 { return c.rng.Uint64() }

// Seeds names the seeds as the settings have them now.
func (c *Crew) Seeds(addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view.Seeds(c.o.Hub.Now(), addresses)
}

// step does what is due.
func (c *Crew) step() {
	now := c.o.Hub.Now()
	c.mu.Lock()
	to, s := c.view.Tick(now)
	if s != nil {
		s.Version = c.conf.Version
	}
	c.place(now)
	posts := c.publisher.Tick(now)
	asks := c.subscribed.Tick(now)
	if now >= c.expire {
		c.expire = now + expireEach
		for _, e := range c.board.Expire(now) {
			c.changed[e.Service] = true
		}
	}
	self := c.o.Hub.Self().Address
	c.mu.Unlock()
	for _, address := range to {
		c.send(address, methodShuffle, s, func(body []byte) {
			var reply company.Shuffle
			if script.Read(body, &reply) == nil {
				c.take(&reply)
			}
		})
	}
	for _, p := range posts {
		if p.To == self {
			c.tell(p.Endpoint, true)
			c.acked(p)
			continue
		}
		c.send(p.To, methodPost, &posted{Endpoint: p.Endpoint}, func(body []byte) {
			var answer posted
			if script.Read(body, &answer) == nil && answer.Taken {
				c.acked(p)
			}
		})
	}
	for _, a := range asks {
		if a.To == self {
			c.mu.Lock()
			c.subscribed.Got(now, callboard.Home{Address: self, Life: a.Life}, a.Service, 0)
			c.mu.Unlock()
			continue
		}
		c.send(a.To, methodSubscribe, &wish{Who: self, Service: a.Service, Since: a.Since, Life: a.Life}, func(body []byte) {
			var l listing
			if len(body) > 0 && script.Read(body, &l) == nil {
				c.listed(callboard.Home{Address: a.To, Life: l.Life}, &l)
			}
		})
	}
	c.flush()
}

// send asks an address and hands the answer over, if one comes.
func (c *Crew) send(address string, method uint64, m script.Message, got func(body []byte)) {
	c.o.Hub.Send(address, method, script.Write(nil, m), 0, func(body []byte, err error) {
		if err == nil && got != nil {
			got(body)
		}
	})
}

// place follows the view: which homes are told and asked, and how many sidecars there are. The lock is held.
func (c *Crew) place(now time.Duration) {
	if c.placed == c.view.Changes()+1 {
		return
	}
	c.placed = c.view.Changes() + 1
	if c.o.Role == company.Access && c.o.Sheet.Service != "" {
		var homes []string
		for _, zone := range c.view.Zones() {
			for _, m := range c.view.Homes(c.o.Sheet.Service, zone, homesEach) {
				homes = append(homes, m.Address)
				if c.life[m.Address] != m.Life {
					c.life[m.Address] = m.Life
					c.publisher.Forget(m.Address)
				}
			}
		}
		c.publisher.Targets(now, homes)
	}
	for _, service := range c.services {
		var homes []callboard.Home
		for _, m := range c.view.Homes(service, c.o.Sheet.Zone, homesEach+1) {
			homes = append(homes, callboard.Home{Address: m.Address, Life: m.Life})
		}
		c.subscribed.Want(now, service, homes)
	}
	n := 0
	for _, m := range c.view.Members() {
		if m.Role == company.Access {
			n++
		}
	}
	if n != c.sidecars && c.o.Sidecars != nil {
		c.sidecars = n
		c.o.Sidecars(n)
	}
}

// flush tells of services whose endpoints have changed, here and to those who want to hear of them.
func (c *Crew) flush() {
	now := c.o.Hub.Now()
	type due struct {
		service string
		all     []callboard.Endpoint
		to      []string
	}
	var out []due
	c.mu.Lock()
	for service := range c.changed {
		out = append(out, due{service, c.board.List(now, service), c.subscribers.Notify(now, service)})
	}
	clear(c.changed)
	c.mu.Unlock()
	for _, d := range out {
		for _, who := range d.to {
			c.send(who, methodNews, &listing{Service: d.service, Endpoints: d.all}, nil)
		}
		if c.o.Told != nil {
			c.o.Told(d.service, d.all)
		}
		if c.events != nil {
			c.events.endpoints(d.all)
		}
		c.find(d.all)
	}
}

// find looks for an endpoint at this machine's address that this process knows nothing of: it has just started, and others
// remember.
func (c *Crew) find(all []callboard.Endpoint) {
	if c.o.Found == nil {
		return
	}
	for _, e := range all {
		if e.App == c.o.Sheet.App && e.State < callboard.Crashed && e.HostLife != c.o.Hub.Self().Life {
			c.o.Found(e)
		}
	}
}

// tell takes a record; home tells that those who want to hear of it hear it from here.
func (c *Crew) tell(e callboard.Endpoint, home bool) {
	c.mu.Lock()
	if c.board.Tell(c.o.Hub.Now(), e) {
		c.changed[e.Service] = true
	}
	c.mu.Unlock()
	if home {
		c.flush()
	}
}

func (c *Crew) acked(s callboard.Send) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.publisher.Acked(c.o.Hub.Now(), s.To, s.Endpoint.ID, s.Endpoint.Edition)
}

// Publish tells homes of the endpoint beside this process as it is now.
func (c *Crew) Publish(e callboard.Endpoint) {
	h := c.o.Hub.Self()
	e.Host, e.HostLife = h.Address, h.Life
	c.mu.Lock()
	c.publisher.Set(c.o.Hub.Now(), e)
	c.mu.Unlock()
	c.step()
}

// Ended tells homes that a life of the endpoint beside this process has ended.
func (c *Crew) Ended(id string, s callboard.State) {
	c.mu.Lock()
	c.publisher.End(c.o.Hub.Now(), id, s)
	c.mu.Unlock()
	c.step()
}

// PassOn spreads a record that this process was told on behalf of the endpoint's own sidecar, which could not be reached.
func (c *Crew) PassOn(e callboard.Endpoint) {
	c.mu.Lock()
	to := map[string]bool{}
	for _, zone := range c.view.Zones() {
		for _, m := range c.view.Homes(e.Service, zone, homesEach) {
			to[m.Address] = true
		}
	}
	c.mu.Unlock()
	c.tell(e, true)
	for address := range to {
		if address != c.o.Hub.Self().Address {
			c.send(address, methodPost, &posted{Endpoint: e}, nil)
		}
	}
}

// At is the newest member at an IP.
func (c *Crew) At(ip string) (company.Member, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.At(ip)
}

// Members are those who are there, as far as this process knows.
func (c *Crew) Members() []company.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.Members()
}

// Refresh asks the homes of a service anew.
func (c *Crew) Refresh(service string) {
	c.mu.Lock()
	var to []string
	for _, m := range c.view.Homes(service, c.o.Sheet.Zone, homesEach) {
		to = append(to, m.Address)
	}
	c.mu.Unlock()
	for _, address := range to {
		if address != c.o.Hub.Self().Address {
			c.send(address, methodSubscribe, &wish{Who: c.o.Hub.Self().Address, Service: service}, func(body []byte) {
				var l listing
				if len(body) > 0 && script.Read(body, &l) == nil {
					c.listed(callboard.Home{Address: address, Life: l.Life}, &l)
				}
			})
		}
	}
}

// lost hears that a link has ended.
func (c *Crew) lost(address, why string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.o.Hub.Now()
	c.view.Lost(now, address)
	c.subscribed.Lost(now, address)
	c.publisher.Forget(address)
}

// The calls.

func (c *Crew) shuffled(_ context.Context, _ *cue.Hello, s *company.Shuffle) *company.Shuffle {
	reply := c.take(s)
	if reply == nil {
		reply = &company.Shuffle{Reply: true}
	}
	return reply
}

func (c *Crew) take(s *company.Shuffle) *company.Shuffle {
	if s.From.Life == 0 {
		return nil
	}
	c.mu.Lock()
	reply, _ := c.view.Take(c.o.Hub.Now(), s)
	if reply != nil {
		reply.Version = c.conf.Version
	}
	c.mu.Unlock()
	c.heard(s.From.Address, s.Version)
	return reply
}

func (c *Crew) posted(_ context.Context, _ *cue.Hello, p *posted) *posted {
	c.tell(p.Endpoint, true)
	return &posted{Taken: true}
}

func (c *Crew) wished(_ context.Context, _ *cue.Hello, w *wish) *listing {
	now := c.o.Hub.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.subscribers.Hold(now, w.Service, w.Who)
	life, since := c.o.Hub.Self().Life, w.Since
	if w.Life != life {
		since = 0 // versions are of one life
	}
	all, version, _ := c.board.Since(now, w.Service, since)
	return &listing{Service: w.Service, Version: version, Endpoints: all, Life: life}
}

func (c *Crew) listed(from callboard.Home, l *listing) {
	c.mu.Lock()
	now := c.o.Hub.Now()
	for _, e := range l.Endpoints {
		if c.board.Tell(now, e) {
			c.changed[e.Service] = true
		}
	}
	c.subscribed.Got(now, from, l.Service, l.Version)
	c.mu.Unlock()
	c.flush()
}

func (c *Crew) news(_ context.Context, _ *cue.Hello, l *listing) *taken {
	for _, e := range l.Endpoints {
		c.tell(e, false)
	}
	c.flush()
	return &taken{true}
}
