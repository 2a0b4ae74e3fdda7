// Package agent is the control plane that every process of the system takes part in: who is there, which endpoints there
// are, which configuration is in force. What decides in it is pure (membership, discovery, consensus); this is its clock, its
// messages and its one lock.
package agent

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"gingerlead/internal/mesh/control/configuration"
	"gingerlead/internal/mesh/control/ratelimit"
	"gingerlead/internal/mesh/discovery"
	"gingerlead/internal/mesh/discovery/membership"
	"gingerlead/internal/mesh/operations/settings"
	"gingerlead/internal/mesh/transport"
	"gingerlead/internal/mesh/transport/codec"
)

const (
	tick       = 100 * time.Millisecond
	expireEach = time.Second
	homesEach  = 2 // of a service and zone
)

// Options are what a agent is made of.
type Options struct {
	Settings *settings.Settings
	Hub      *transport.Hub
	Role     membership.Role
	Log      *logrus.Logger
	Seed     uint64
	// Configure is called with each newer configuration, one after the other.
	Configure func(c *configuration.Config)
	// Told is called with all that is known of a service's endpoints when something has changed.
	Told func(service string, all []discovery.Endpoint)
	// Sidecars is called when the number of sidecars that take requests has changed.
	Sidecars func(n int)
	// Found is called when others know of an endpoint at this machine's address that this process has not heard of.
	Found func(e discovery.Endpoint)
}

// Crew is this process's part in the control plane.
type Agent struct {
	o           Options
	mu          sync.Mutex
	view        *membership.View
	registry    *discovery.Registry
	publisher   *discovery.Publisher
	subscribed  *discovery.Subscription
	subscribers *discovery.Subscribers
	services    []string // that this process wants to hear of
	conf        configurationText
	survey      survey // while no configuration is held
	fetching    uint64 // version that is being fetched,
	fetchUntil  time.Duration
	rng         *rand.Rand
	changed     map[string]bool
	expire      time.Duration
	sidecars    int
	placed      uint64            // changes of the view when place last worked, and one; 0 if it is to
	life        map[string]uint64 // of homes that were told
	configuring sync.Mutex        // one configuration after the other
	limits      atomic.Pointer[map[string]ratelimit.Limit]
	events      *eventRecorder // of core processes; nil elsewhere
}

// New makes a agent and declares its calls.
func New(o Options) *Agent {
	h := o.Hub.Self()
	self := membership.Member{Life: h.Life, Address: h.Address, Zone: o.Settings.Zone, Region: o.Settings.Region, Role: o.Role,
		Service: o.Settings.Service, App: o.Settings.App}
	c := &Agent{o: o, view: membership.New(self, membership.Bounds{}, rand.New(rand.NewPCG(o.Seed, h.Life))),
		registry: discovery.New(discovery.Bounds{}), publisher: discovery.NewPublisher(discovery.Bounds{}),
		subscribed: discovery.NewSubscription(discovery.Bounds{}), subscribers: discovery.NewSubscribers(discovery.Bounds{}),
		changed: map[string]bool{}, life: map[string]uint64{}, rng: rand.New(rand.NewPCG(o.Seed, 1))}
	for zone, region := range o.Settings.Regions {
		c.view.Place(zone, region)
	}
	c.view.Seeds(0, o.Settings.SeedPeers())
	if o.Role == membership.Access {
		c.services = []string{o.Settings.Service}
	} else {
		c.events = newEvents(h.Life)
	}
	transport.Handle(o.Hub, methodShuffle, c.shuffled)
	transport.Handle(o.Hub, methodPublish, c.posted)
	transport.Handle(o.Hub, methodSubscribe, c.wished)
	transport.Handle(o.Hub, methodUpdate, c.news)
	transport.Handle(o.Hub, methodNotice, c.noticed)
	transport.Handle(o.Hub, methodConfig, c.giveConfiguration)
	o.Hub.OnLost(c.lost)
	return c
}

// Run lets time pass until ctx ends.
func (c *Agent) Run(ctx context.Context) {
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

func (c *Agent) random() uint64 { return c.rng.Uint64() }

// Seeds names the seeds as the settings have them now.
func (c *Agent) Seeds(addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view.Seeds(c.o.Hub.Now(), addresses)
}

// step does what is due.
func (c *Agent) step() {
	c.endSurvey()
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
		for _, e := range c.registry.Expire(now) {
			c.changed[e.Service] = true
		}
	}
	self := c.o.Hub.Self().Address
	c.mu.Unlock()
	for _, address := range to {
		c.send(address, methodShuffle, s, func(body []byte) {
			var reply membership.Shuffle
			if codec.Read(body, &reply) == nil {
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
		c.send(p.To, methodPublish, &published{Endpoint: p.Endpoint}, func(body []byte) {
			var answer published
			if codec.Read(body, &answer) == nil && answer.Taken {
				c.acked(p)
			}
		})
	}
	for _, a := range asks {
		if a.To == self {
			c.mu.Lock()
			c.subscribed.Got(now, discovery.Home{Address: self, Life: a.Life}, a.Service, 0)
			c.mu.Unlock()
			continue
		}
		c.send(a.To, methodSubscribe, &subscription{Who: self, Service: a.Service, Since: a.Since, Life: a.Life}, func(body []byte) {
			var l listing
			if len(body) > 0 && codec.Read(body, &l) == nil {
				c.listed(discovery.Home{Address: a.To, Life: l.Life}, &l)
			}
		})
	}
	c.flush()
}

// send asks an address and hands the answer over, if one comes.
func (c *Agent) send(address string, method uint64, m codec.Message, got func(body []byte)) {
	c.o.Hub.Send(address, method, codec.Write(nil, m), 0, func(body []byte, err error) {
		if err == nil && got != nil {
			got(body)
		}
	})
}

// place follows the view: which homes are told and asked, and how many sidecars there are. The lock is held.
func (c *Agent) place(now time.Duration) {
	if c.placed == c.view.Changes()+1 {
		return
	}
	c.placed = c.view.Changes() + 1
	if c.o.Role == membership.Access && c.o.Settings.Service != "" {
		var homes []string
		for _, zone := range c.view.Zones() {
			for _, m := range c.view.Homes(c.o.Settings.Service, zone, homesEach) {
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
		var homes []discovery.Home
		for _, m := range c.view.Homes(service, c.o.Settings.Zone, homesEach+1) {
			homes = append(homes, discovery.Home{Address: m.Address, Life: m.Life})
		}
		c.subscribed.Want(now, service, homes)
	}
	n := 0
	for _, m := range c.view.Members() {
		if m.Role == membership.Access {
			n++
		}
	}
	if n != c.sidecars && c.o.Sidecars != nil {
		c.sidecars = n
		c.o.Sidecars(n)
	}
}

// flush tells of services whose endpoints have changed, here and to those who want to hear of them.
func (c *Agent) flush() {
	now := c.o.Hub.Now()
	type due struct {
		service string
		all     []discovery.Endpoint
		to      []string
	}
	var out []due
	c.mu.Lock()
	for service := range c.changed {
		out = append(out, due{service, c.registry.List(now, service), c.subscribers.Notify(now, service)})
	}
	clear(c.changed)
	c.mu.Unlock()
	for _, d := range out {
		for _, who := range d.to {
			c.send(who, methodUpdate, &listing{Service: d.service, Endpoints: d.all}, nil)
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
func (c *Agent) find(all []discovery.Endpoint) {
	if c.o.Found == nil {
		return
	}
	for _, e := range all {
		if e.App == c.o.Settings.App && e.State < discovery.Crashed && e.HostLife != c.o.Hub.Self().Life {
			c.o.Found(e)
		}
	}
}

// tell takes a record; home tells that those who want to hear of it hear it from here.
func (c *Agent) tell(e discovery.Endpoint, home bool) {
	c.mu.Lock()
	if c.registry.Apply(c.o.Hub.Now(), e) {
		c.changed[e.Service] = true
	}
	c.mu.Unlock()
	if home {
		c.flush()
	}
}

func (c *Agent) acked(s discovery.Send) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.publisher.Acked(c.o.Hub.Now(), s.To, s.Endpoint.ID, s.Endpoint.Edition)
}

// Publish tells homes of the endpoint beside this process as it is now.
func (c *Agent) Publish(e discovery.Endpoint) {
	h := c.o.Hub.Self()
	e.Host, e.HostLife = h.Address, h.Life
	c.mu.Lock()
	c.publisher.Set(c.o.Hub.Now(), e)
	c.mu.Unlock()
	c.step()
}

// Ended tells homes that a life of the endpoint beside this process has ended.
func (c *Agent) Ended(id string, s discovery.State) {
	c.mu.Lock()
	c.publisher.End(c.o.Hub.Now(), id, s)
	c.mu.Unlock()
	c.step()
}

// PassOn spreads a record that this process was told on behalf of the endpoint's own sidecar, which could not be reached.
func (c *Agent) PassOn(e discovery.Endpoint) {
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
			c.send(address, methodPublish, &published{Endpoint: e}, nil)
		}
	}
}

// At is the newest member at an IP.
func (c *Agent) At(ip string) (membership.Member, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.At(ip)
}

// Members are those who are there, as far as this process knows.
func (c *Agent) Members() []membership.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.Members()
}

// Refresh asks the homes of a service anew.
func (c *Agent) Refresh(service string) {
	c.mu.Lock()
	var to []string
	for _, m := range c.view.Homes(service, c.o.Settings.Zone, homesEach) {
		to = append(to, m.Address)
	}
	c.mu.Unlock()
	for _, address := range to {
		if address != c.o.Hub.Self().Address {
			c.send(address, methodSubscribe, &subscription{Who: c.o.Hub.Self().Address, Service: service}, func(body []byte) {
				var l listing
				if len(body) > 0 && codec.Read(body, &l) == nil {
					c.listed(discovery.Home{Address: address, Life: l.Life}, &l)
				}
			})
		}
	}
}

// lost hears that a link has ended.
func (c *Agent) lost(address, why string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.o.Hub.Now()
	c.view.Lost(now, address)
	c.subscribed.Lost(now, address)
	c.publisher.Forget(address)
}

// The calls.

func (c *Agent) shuffled(_ context.Context, _ *transport.Hello, s *membership.Shuffle) *membership.Shuffle {
	reply := c.take(s)
	if reply == nil {
		reply = &membership.Shuffle{Reply: true}
	}
	return reply
}

func (c *Agent) take(s *membership.Shuffle) *membership.Shuffle {
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

func (c *Agent) posted(_ context.Context, _ *transport.Hello, p *published) *published {
	c.tell(p.Endpoint, true)
	return &published{Taken: true}
}

func (c *Agent) wished(_ context.Context, _ *transport.Hello, w *subscription) *listing {
	now := c.o.Hub.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.subscribers.Hold(now, w.Service, w.Who)
	life, since := c.o.Hub.Self().Life, w.Since
	if w.Life != life {
		since = 0 // versions are of one life
	}
	all, version, _ := c.registry.Since(now, w.Service, since)
	return &listing{Service: w.Service, Version: version, Endpoints: all, Life: life}
}

func (c *Agent) listed(from discovery.Home, l *listing) {
	c.mu.Lock()
	now := c.o.Hub.Now()
	for _, e := range l.Endpoints {
		if c.registry.Apply(now, e) {
			c.changed[e.Service] = true
		}
	}
	c.subscribed.Got(now, from, l.Service, l.Version)
	c.mu.Unlock()
	c.flush()
}

func (c *Agent) news(_ context.Context, _ *transport.Hello, l *listing) *acknowledgement {
	for _, e := range l.Endpoints {
		c.tell(e, false)
	}
	c.flush()
	return &acknowledgement{true}
}
