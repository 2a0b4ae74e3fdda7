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

const tickInterval = 100 * time.Millisecond

// Config are what an Agent is made of.
type Config struct {
	Settings *settings.Settings
	Hub      *transport.Hub
	Role     membership.Role
	Log      *logrus.Logger
	Seed     uint64
	// OnConfiguration is called with each newer configuration, one after the other.
	OnConfiguration func(c *configuration.Config)
	// OnEndpointsChanged is called with all that is known of a service's endpoints when something of it has changed.
	OnEndpointsChanged func(service string, all []discovery.Endpoint)
	// OnSidecarCount is called when the number of sidecars has changed.
	OnSidecarCount func(n int)
	// OnEndpointLeaving is called, without locks, when others know that an endpoint at this machine's address drains or has deregistered: it
	// may have told them, or an earlier life of this process. It may be of any life that was at that address.
	OnEndpointLeaving func(e discovery.Endpoint)
}

// Agent is one process's part in the control plane.
type Agent struct {
	config       Config
	applyMu      sync.Mutex    // one configuration after the other
	wakeup       chan struct{} // something is to be sent before the next tick
	tenantLimits atomic.Pointer[map[string]ratelimit.Limit]
	events       *eventRecorder // of core processes; nil elsewhere

	mu                  sync.Mutex
	rng                 *rand.Rand
	view                *membership.View
	handledViewChanges  uint64                   // changes of the view when updateFromView last worked, and one; 0: it is to work again
	sidecarCount        int                      // that are there
	zoneLastSeen        map[string]time.Duration // when zones last had members
	registry            *discovery.Registry
	changedServices     map[string]uint64 // services whose endpoints have changed, with the registry's version before the first change
	nextExpiry          time.Duration     // when leases are looked at next
	publisher           *discovery.Publisher
	acknowledgedRecords chan struct{}     // closed when a home has acknowledged a record
	ownerIncarnations   map[string]uint64 // of homes that endpoints are published to, by address
	subscriptions       *discovery.Subscription
	subscribers         *discovery.Subscribers
	wantedServices      []string // whose endpoints this process wants to know
	current             configurationText
	versionPoll         versionPoll // while no configuration is held
	fetchingVersion     uint64      // version that is being fetched
	fetchDeadline       time.Duration
}

// New makes an Agent and registers its calls.
func New(o Config) *Agent {
	hello := o.Hub.Self()
	self := membership.Member{
		Incarnation: hello.Incarnation, Address: hello.Address, Zone: o.Settings.Zone, Region: o.Settings.Region, Role: o.Role,
		Service: o.Settings.Service, AppAddress: o.Settings.ApplicationAddress,
	}
	a := &Agent{
		config: o, view: membership.New(self, membership.Config{}, rand.New(rand.NewPCG(o.Seed, hello.Incarnation))),
		registry: discovery.NewRegistry(discovery.Config{}), publisher: discovery.NewPublisher(discovery.Config{}),
		wakeup: make(chan struct{}, 1), acknowledgedRecords: make(chan struct{}),
		subscriptions: discovery.NewSubscription(discovery.Config{}), subscribers: discovery.NewSubscribers(discovery.Config{}),
		zoneLastSeen: map[string]time.Duration{}, changedServices: map[string]uint64{}, ownerIncarnations: map[string]uint64{}, rng: rand.New(rand.NewPCG(o.Seed, 1)),
	}
	for zone, region := range o.Settings.RegionOfZone {
		a.view.SetRegion(zone, region)
	}
	a.view.SetSeeds(0, o.Settings.SeedAddresses())
	if o.Role == membership.RoleAccess {
		a.wantedServices = []string{o.Settings.Service}
	} else {
		a.events = newEventRecorder(hello.Incarnation)
	}
	transport.Handle(o.Hub, methodShuffle, a.handleShuffle)
	transport.Handle(o.Hub, methodPublish, a.handlePublish)
	transport.Handle(o.Hub, methodSubscribe, a.handleSubscribe)
	transport.Handle(o.Hub, methodUpdate, a.handleUpdate)
	transport.Handle(o.Hub, methodVersionNotice, a.handleVersionNotice)
	transport.Handle(o.Hub, methodConfiguration, a.handleConfigurationRequest)
	o.Hub.OnLinkLost(a.handleLinkLost)
	return a
}

// Run does what is due until ctx ends.
func (a *Agent) Run(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		a.sendDue()
		select {
		case <-tick.C:
		case <-a.wakeup:
		case <-ctx.Done():
			return
		}
	}
}

// wake has Run take a step at once, on its own goroutine.
func (a *Agent) wake() {
	select {
	case a.wakeup <- struct{}{}:
	default: // it is to take one anyway
	}
}

// sendRequests sends what is due: shuffles, records of endpoints and subscriptions.
func (a *Agent) sendDue() {
	a.finishPoll()
	now := a.config.Hub.Now()
	a.mu.Lock()
	neighbours, shuffle := a.view.Tick(now)
	if shuffle != nil {
		shuffle.ConfigVersion = a.current.Version
	}
	a.recordZones(now)
	a.updateFromView(now)
	records := a.publisher.Tick(now)
	asks := a.subscriptions.Tick(now)
	a.expire(now)
	a.mu.Unlock()
	a.shuffleWith(neighbours, shuffle)
	a.publish(records)
	a.subscribe(asks)
	a.notifyChanges()
}

// send sends a message to an address, and hands over the answer if one comes.
func (a *Agent) send(address string, method uint64, m codec.Message, got func(body []byte)) {
	a.config.Hub.Send(address, method, codec.MarshalAppend(nil, m), 0, func(body []byte, err error) {
		if err == nil && got != nil {
			got(body)
		}
	})
}

// randomUint64 is a random number. The lock is held.
func (a *Agent) randomUint64() uint64 { return a.rng.Uint64() }

// handleLinkLost takes note that a link to an address has ended.
func (a *Agent) handleLinkLost(address, _ string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.config.Hub.Now()
	a.view.ConnectionLost(now, address)
	a.subscriptions.ConnectionLost(now, address)
	a.publisher.ForgetOwner(address)
}
