// Package agent is the part that every process of the system takes in the control plane: it knows who is there, which endpoints
// there are and which configuration is in force, and requests or does duties. What decides is pure (membership, discovery,
// consensus, lease, ratelimit); the agent adds the clock, the messages and one lock.
package agent

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"quincegap/internal/mesh/control/configuration"
	"quincegap/internal/mesh/control/ratelimit"
	"quincegap/internal/mesh/discovery"
	"quincegap/internal/mesh/discovery/membership"
	"quincegap/internal/mesh/operations/settings"
	"quincegap/internal/mesh/transport"
	"quincegap/internal/mesh/transport/codec"
)

const stepInterval = 100 * time.Millisecond

// Options are what an Agent is made of.
type Options struct {
	Settings *settings.Settings
	Hub      *transport.Hub
	Role     membership.Role
	Log      *logrus.Logger
	Seed     uint64
	// Configure is called with each newer configuration, one after the other.
	Configure func(c *configuration.Config)
	// EndpointsChanged is called with all that is known of a service's endpoints when something of it has changed.
	EndpointsChanged func(service string, all []discovery.Endpoint)
	// SidecarsChanged is called when the number of sidecars has changed.
	SidecarsChanged func(n int)
	// EndpointLeaves is called, without locks, when others know that an endpoint at this machine's address drains or has deregistered: it
	// may have told them, or an earlier life of this process. It may be of any life that was at that address.
	EndpointLeaves func(e discovery.Endpoint)
}

// Agent is one process's part in the control plane.
type Agent struct {
	o           Options
	configuring sync.Mutex    // one configuration after the other
	due         chan struct{} // something is to be sent before the next tick
	limits      atomic.Pointer[map[string]ratelimit.Limit]
	events      *eventRecorder // of core processes; nil elsewhere

	mu          sync.Mutex
	rng         *rand.Rand
	view        *membership.View
	viewed      uint64                   // changes of the view when followView last worked, and one; 0: it is to work again
	sidecars    int                      // that are there
	zonesSeen   map[string]time.Duration // when zones last had members
	registry    *discovery.Registry
	changed     map[string]uint64 // services whose endpoints have changed, with the registry's version before the first change
	expireAt    time.Duration     // when leases are looked at next
	publisher   *discovery.Publisher
	confirmed   chan struct{}     // closed when a home has acknowledged a record
	homeLives   map[string]uint64 // of homes that endpoints are published to, by address
	subscribed  *discovery.Subscription
	subscribers *discovery.Subscribers
	services    []string // whose endpoints this process wants to know
	conf        configurationText
	survey      survey // while no configuration is held
	fetching    uint64 // version that is being fetched
	fetchUntil  time.Duration
}

// New makes an Agent and registers its calls.
func New(o Options) *Agent {
	hello := o.Hub.Self()
	self := membership.Member{Life: hello.Life, Address: hello.Address, Zone: o.Settings.Zone, Region: o.Settings.Region, Role: o.Role,
		Service: o.Settings.Service, App: o.Settings.App}
	a := &Agent{o: o, view: membership.New(self, membership.Bounds{}, rand.New(rand.NewPCG(o.Seed, hello.Life))),
		registry: discovery.New(discovery.Bounds{}), publisher: discovery.NewPublisher(discovery.Bounds{}),
		due: make(chan struct{}, 1), confirmed: make(chan struct{}),
		subscribed: discovery.NewSubscription(discovery.Bounds{}), subscribers: discovery.NewSubscribers(discovery.Bounds{}),
		zonesSeen: map[string]time.Duration{}, changed: map[string]uint64{}, homeLives: map[string]uint64{}, rng: rand.New(rand.NewPCG(o.Seed, 1))}
	for zone, region := range o.Settings.Regions {
		a.view.Place(zone, region)
	}
	a.view.Seeds(0, o.Settings.SeedPeers())
	if o.Role == membership.Access {
		a.services = []string{o.Settings.Service}
	} else {
		a.events = newEvents(hello.Life)
	}
	transport.Handle(o.Hub, methodShuffle, a.takeShuffle)
	transport.Handle(o.Hub, methodPublish, a.takePublished)
	transport.Handle(o.Hub, methodSubscribe, a.takeSubscription)
	transport.Handle(o.Hub, methodUpdate, a.takeUpdate)
	transport.Handle(o.Hub, methodNotice, a.noticed)
	transport.Handle(o.Hub, methodConfig, a.giveConfiguration)
	o.Hub.OnLost(a.lost)
	return a
}

// Run does what is due until ctx ends.
func (a *Agent) Run(ctx context.Context) {
	tick := time.NewTicker(stepInterval)
	defer tick.Stop()
	for {
		a.step()
		select {
		case <-tick.C:
		case <-a.due:
		case <-ctx.Done():
			return
		}
	}
}

// wake has Run take a step at once, on its own goroutine.
func (a *Agent) wake() {
	select {
	case a.due <- struct{}{}:
	default: // it is to take one anyway
	}
}

// step sends what is due: shuffles, records of endpoints and subscriptions.
func (a *Agent) step() {
	a.endSurvey()
	now := a.o.Hub.Now()
	a.mu.Lock()
	neighbours, shuffle := a.view.Tick(now)
	if shuffle != nil {
		shuffle.Version = a.conf.Version
	}
	a.noteZones(now)
	a.followView(now)
	records := a.publisher.Tick(now)
	asks := a.subscribed.Tick(now)
	a.expire(now)
	a.mu.Unlock()
	a.shuffleWith(neighbours, shuffle)
	a.publish(records)
	a.subscribe(asks)
	a.flush()
}

// send sends a message to an address, and hands over the answer if one comes.
func (a *Agent) send(address string, method uint64, m codec.Message, got func(body []byte)) {
	a.o.Hub.Send(address, method, codec.Write(nil, m), 0, func(body []byte, err error) {
		if err == nil && got != nil {
			got(body)
		}
	})
}

// random is a random number. The lock is held.
func (a *Agent) random() uint64 { return a.rng.Uint64() }

// lost takes note that a link to an address has ended.
func (a *Agent) lost(address, _ string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.o.Hub.Now()
	a.view.Lost(now, address)
	a.subscribed.Lost(now, address)
	a.publisher.Forget(address)
}
