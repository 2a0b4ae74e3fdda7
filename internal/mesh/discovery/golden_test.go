package discovery

import (
	"crypto/sha256"
	"fmt"
	"hash"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"quincegap/internal/golden"
	"quincegap/internal/mesh/transport/codec"
)

// An endpoint with a value in each field, and an empty one, are marshaled to the bytes that other releases send, and these bytes are
// unmarshaled to the same endpoint.
func TestGoldenEndpoint(t *testing.T) {
	for name, value := range map[string]Endpoint{
		"endpoint.hex": {
			ID:                 "checkout-7",
			Service:            "checkout",
			SidecarAddress:     "10.1.2.3:7400",
			SidecarIncarnation: 0x0123456789abcdef,
			AppAddress:         "10.1.2.3:8080",
			Zone:               "zone-a",
			Slots:              12,
			State:              Crashed,
			WarmupRemaining:    2500 * time.Millisecond,
			Sequence:           4711,
			Revision:           12,
			LeaseRemaining:     9*time.Second + 1,
		},
		"endpoint-empty.hex": {},
	} {
		t.Run(name, func(t *testing.T) {
			golden.Hex(t, name, codec.MarshalAppend(nil, &value))
			var read Endpoint
			qt.Assert(t, codec.Unmarshal(golden.Read(t, name), &read), qt.IsNil)
			qt.Check(t, read, qt.DeepEquals, value)
		})
	}
}

// States are encoded as numbers. An unknown number, which a newer release may send, is read as Deregistered, the worst state.
func TestGoldenStates(t *testing.T) {
	qt.Check(t, []State{Serving, Draining, Crashed, Deregistered}, qt.DeepEquals, []State{0, 1, 2, 3})
	read := Endpoint{}
	qt.Assert(t, codec.Unmarshal(codec.MarshalAppend(nil, &Endpoint{State: Deregistered}), &read), qt.IsNil)
	qt.Check(t, read.State, qt.Equals, Deregistered)
	qt.Assert(t, codec.Unmarshal([]byte{8 << 3, 100}, &read), qt.IsNil)
	qt.Check(t, read.State, qt.Equals, Deregistered)
}

// simulation runs a publisher for each of three sidecars, a registry at each of three owners, and one subscriber, in virtual time with
// random events. It computes a digest of everything that they return, in order.
type simulation struct {
	rng            *rand.Rand
	now            time.Duration
	digest         hash.Hash
	owners         []string // addresses of the owners, which are part of the digest
	registries     map[string]*Registry
	subscribers    map[string]*Subscribers
	callerRegistry *Registry // registry of the subscriber
	subscription   *Subscription
	publishers     []*Publisher    // publisher of each sidecar
	endpoints      []Endpoint      // newest endpoint of each sidecar
	pausedUntil    []time.Duration // time until which the publisher of each sidecar sends nothing
	sentCount      int
	expiredCount   int
}

// simulatedService is the service of all endpoints.
const simulatedService = "s"

// newSimulation returns a simulation in which each sidecar has started an endpoint.
func newSimulation(seed uint64) *simulation {
	sim := &simulation{
		rng:            rand.New(rand.NewPCG(seed, 7)),
		digest:         sha256.New(),
		owners:         []string{"home-a", "home-b", "home-c"},
		registries:     map[string]*Registry{},
		subscribers:    map[string]*Subscribers{},
		callerRegistry: NewRegistry(Config{}),
		subscription:   NewSubscription(Config{}),
	}
	var owners []RegistryOwner
	for i, address := range sim.owners {
		sim.registries[address], sim.subscribers[address] = NewRegistry(Config{MaxTombstones: 20}), NewSubscribers(Config{})
		owners = append(owners, RegistryOwner{Address: address, Incarnation: uint64(i + 1)})
	}
	sim.subscription.SetOwners(simulatedService, owners)
	for i := range 3 {
		sim.publishers = append(sim.publishers, NewPublisher(Config{}))
		sim.endpoints = append(sim.endpoints, Endpoint{})
		sim.pausedUntil = append(sim.pausedUntil, 0)
		sim.publishers[i].SetOwners(sim.owners[:2])
		sim.restart(i)
	}
	return sim
}

// addValues adds values to the digest.
func (s *simulation) addValues(what string, values ...any) {
	s.digest.Write(fmt.Appendln(nil, s.now, what, values))
}

// addEndpoints adds endpoints to the digest.
func (s *simulation) addEndpoints(what string, all []Endpoint) {
	for i := range all {
		s.addValues(what, codec.MarshalAppend(nil, &all[i]))
	}
}

// restart starts a new endpoint that replaces a sidecar's last one.
func (s *simulation) restart(i int) {
	s.endpoints[i] = Endpoint{
		ID:                 fmt.Sprintf("%d-%x", i, s.rng.Uint64()),
		Service:            simulatedService,
		SidecarAddress:     fmt.Sprintf("10.0.0.%d:1", i),
		SidecarIncarnation: uint64(i / 2),
		AppAddress:         fmt.Sprintf("10.0.0.%d:8080", i/2),
		Zone:               "z",
		Slots:              1 + s.rng.IntN(8),
		WarmupRemaining:    time.Duration(s.rng.IntN(3000)) * time.Millisecond,
		Sequence:           1,
	}
	s.publishers[i].Set(s.now, s.endpoints[i])
}

// event causes a random event at a random sidecar or owner.
func (s *simulation) event() {
	sidecar := s.rng.IntN(len(s.publishers))
	publisher, endpoint := s.publishers[sidecar], &s.endpoints[sidecar]
	owner := s.owners[s.rng.IntN(len(s.owners))]
	switch s.rng.IntN(16) {
	case 0:
		s.restart(sidecar)
	case 1:
		publisher.End(s.now, endpoint.ID, Crashed)
	case 2:
		publisher.End(s.now, endpoint.ID, Deregistered)
	case 3:
		endpoint.Sequence++
		endpoint.State = Draining
		publisher.Set(s.now, *endpoint)
	case 4:
		publisher.ForgetOwner(owner)
		s.subscription.ConnectionLost(s.now, owner)
		s.subscribers[owner].ConnectionLost("caller")
	case 5:
		publisher.SetOwners(s.owners[:1+s.rng.IntN(3)])
	case 6:
		s.now += time.Duration(s.rng.IntN(12)) * time.Second
	case 7:
		s.pausedUntil[sidecar] = s.now + time.Duration(s.rng.IntN(20))*time.Second
	default:
		endpoint.Sequence++
		endpoint.State, endpoint.Slots = Serving, 1+s.rng.IntN(2)
		publisher.Set(s.now, *endpoint)
	}
}

// deliver sends the announcements and requests that are due. It drops a random part of them and of the acknowledgements.
func (s *simulation) deliver() {
	for i, publisher := range s.publishers {
		if s.now < s.pausedUntil[i] {
			continue
		}
		for _, due := range publisher.Tick(s.now) {
			s.sentCount++
			s.addEndpoints("send "+due.To, []Endpoint{due.Endpoint})
			if s.rng.IntN(4) == 0 {
				continue
			}
			s.addValues("apply", s.registries[due.To].Apply(s.now, due.Endpoint), s.registries[due.To].Version())
			if s.rng.IntN(4) > 0 {
				publisher.Acknowledged(due.To, due.Endpoint.ID, due.Endpoint.Revision)
			}
			s.addValues("confirmed", publisher.AcknowledgedElsewhere(due.Endpoint.ID, s.owners[0]))
		}
	}
	for _, request := range s.subscription.Tick(s.now) {
		s.addValues("ask", request.To, request.Incarnation, request.Service, request.SinceVersion)
		if s.rng.IntN(4) == 0 {
			continue
		}
		s.subscribers[request.To].Renew(s.now, request.Service, "caller")
		changed, version, ok := s.registries[request.To].ChangedSince(s.now, request.Service, request.SinceVersion)
		s.addValues("since", version, ok)
		s.addEndpoints("changed", changed)
		for _, e := range changed {
			s.addValues("take", s.callerRegistry.Apply(s.now, e))
		}
		s.subscription.Received(s.now, RegistryOwner{Address: request.To, Incarnation: request.Incarnation}, request.Service, version)
	}
}

// step advances the time by half a second, and adds the results of all parts to the digest.
func (s *simulation) step() {
	s.now += 500 * time.Millisecond
	if s.rng.IntN(3) == 0 {
		s.event()
	}
	s.deliver()
	for _, owner := range s.owners {
		changed := s.registries[owner].Expire(s.now)
		s.expiredCount += len(changed)
		s.addEndpoints("expired at "+owner, changed)
		s.addValues("notify", s.subscribers[owner].Active(s.now, simulatedService))
	}
	s.addEndpoints("expired here", s.callerRegistry.Expire(s.now))
	s.addEndpoints("list", s.callerRegistry.List(s.now, simulatedService))
	s.addEndpoints("all", s.callerRegistry.All(s.now))
	for i := range s.endpoints {
		e, ok := s.callerRegistry.EndpointAt(s.now, s.endpoints[i].AppAddress)
		s.addValues("at", codec.MarshalAppend(nil, &e), ok)
	}
}

// A run depends only on its seed: the announcements, requests, changes and expiries, and their order, must equal those in the golden
// file.
func TestGoldenSchedules(t *testing.T) {
	var text strings.Builder
	for seed := range uint64(4) {
		s := newSimulation(seed)
		for i := range 400 {
			s.step()
			if i%80 == 79 {
				fmt.Fprintf(&text, "seed %d at %v: %d sent, %d expired, version %d, %x\n",
					seed, s.now, s.sentCount, s.expiredCount, s.callerRegistry.Version(), s.digest.Sum(nil)[:12])
			}
		}
	}
	golden.Text(t, "schedules.txt", []byte(text.String()))
}
