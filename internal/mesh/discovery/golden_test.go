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

// An endpoint with a value in each field is marshaled to the bytes that other releases send, and these are unmarshaled to the endpoint.
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

// The states are numbers on the wire. An unknown one, which a newer release may add, is read as the worst.
func TestGoldenStates(t *testing.T) {
	qt.Check(t, []State{Serving, Draining, Crashed, Deregistered}, qt.DeepEquals, []State{0, 1, 2, 3})
	read := Endpoint{}
	qt.Assert(t, codec.Unmarshal(codec.MarshalAppend(nil, &Endpoint{State: Deregistered}), &read), qt.IsNil)
	qt.Check(t, read.State, qt.Equals, Deregistered)
	qt.Assert(t, codec.Unmarshal([]byte{8 << 3, 100}, &read), qt.IsNil)
	qt.Check(t, read.State, qt.Equals, Deregistered)
}

// schedule runs a publisher for each of three sidecars, a registry at each of three owners, and one subscriber, in virtual time with random
// events. It computes a digest of everything that they return, in order.
type schedule struct {
	rng          *rand.Rand
	now          time.Duration
	sum          hash.Hash
	owners       []string // addresses, which are part of the digests
	registries   map[string]*Registry
	subscribers  map[string]*Subscribers
	callers      *Registry // the subscriber's
	subscription *Subscription
	publishers   []*Publisher    // by sidecar, as are the next two
	newest       []Endpoint      // the sidecar's endpoint
	pausedUntil  []time.Duration // the publisher sends nothing before that
	sends        int
	expired      int
}

// scheduleService is the service of all endpoints.
const scheduleService = "s"

// newSchedule returns a schedule in which each sidecar has started an endpoint.
func newSchedule(seed uint64) *schedule {
	s := &schedule{
		rng:          rand.New(rand.NewPCG(seed, 7)),
		sum:          sha256.New(),
		owners:       []string{"home-a", "home-b", "home-c"},
		registries:   map[string]*Registry{},
		subscribers:  map[string]*Subscribers{},
		callers:      NewRegistry(Config{}),
		subscription: NewSubscription(Config{}),
	}
	var owners []RegistryOwner
	for i, h := range s.owners {
		s.registries[h], s.subscribers[h] = NewRegistry(Config{MaxTombstones: 20}), NewSubscribers(Config{})
		owners = append(owners, RegistryOwner{Address: h, Incarnation: uint64(i + 1)})
	}
	s.subscription.SetOwners(scheduleService, owners)
	for i := range 3 {
		s.publishers = append(s.publishers, NewPublisher(Config{}))
		s.newest = append(s.newest, Endpoint{})
		s.pausedUntil = append(s.pausedUntil, 0)
		s.publishers[i].SetOwners(s.owners[:2])
		s.restart(i)
	}
	return s
}

// note adds values to the digest.
func (s *schedule) note(what string, values ...any) {
	s.sum.Write(fmt.Appendln(nil, s.now, what, values))
}

// noteEndpoints adds endpoints to the digest.
func (s *schedule) noteEndpoints(what string, all []Endpoint) {
	for i := range all {
		s.note(what, codec.MarshalAppend(nil, &all[i]))
	}
}

// restart starts a new endpoint in place of a sidecar's last one.
func (s *schedule) restart(i int) {
	s.newest[i] = Endpoint{
		ID:                 fmt.Sprintf("%d-%x", i, s.rng.Uint64()),
		Service:            scheduleService,
		SidecarAddress:     fmt.Sprintf("10.0.0.%d:1", i),
		SidecarIncarnation: uint64(i / 2),
		AppAddress:         fmt.Sprintf("10.0.0.%d:8080", i/2),
		Zone:               "z",
		Slots:              1 + s.rng.IntN(8),
		WarmupRemaining:    time.Duration(s.rng.IntN(3000)) * time.Millisecond,
		Sequence:           1,
	}
	s.publishers[i].Set(s.now, s.newest[i])
}

// event draws an event, and the sidecar and the owner that it happens to.
func (s *schedule) event() {
	sidecar := s.rng.IntN(len(s.publishers))
	publisher, endpoint := s.publishers[sidecar], &s.newest[sidecar]
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

// deliver sends the announcements and requests that are due. It loses some of them, and some of the answers.
func (s *schedule) deliver() {
	for i, publisher := range s.publishers {
		if s.now < s.pausedUntil[i] {
			continue
		}
		for _, due := range publisher.Tick(s.now) {
			s.sends++
			s.noteEndpoints("send "+due.To, []Endpoint{due.Endpoint})
			if s.rng.IntN(4) == 0 {
				continue
			}
			s.note("apply", s.registries[due.To].Apply(s.now, due.Endpoint), s.registries[due.To].Version())
			if s.rng.IntN(4) > 0 {
				publisher.Acknowledged(due.To, due.Endpoint.ID, due.Endpoint.Revision)
			}
			s.note("confirmed", publisher.AcknowledgedElsewhere(due.Endpoint.ID, s.owners[0]))
		}
	}
	for _, request := range s.subscription.Tick(s.now) {
		s.note("ask", request.To, request.Incarnation, request.Service, request.SinceVersion)
		if s.rng.IntN(4) == 0 {
			continue
		}
		s.subscribers[request.To].Renew(s.now, request.Service, "caller")
		changed, version, ok := s.registries[request.To].ChangedSince(s.now, request.Service, request.SinceVersion)
		s.note("since", version, ok)
		s.noteEndpoints("changed", changed)
		for _, e := range changed {
			s.note("take", s.callers.Apply(s.now, e))
		}
		s.subscription.Received(s.now, RegistryOwner{Address: request.To, Incarnation: request.Incarnation}, request.Service, version)
	}
}

// step advances the time by half a second.
func (s *schedule) step() {
	s.now += 500 * time.Millisecond
	if s.rng.IntN(3) == 0 {
		s.event()
	}
	s.deliver()
	for _, owner := range s.owners {
		changed := s.registries[owner].Expire(s.now)
		s.expired += len(changed)
		s.noteEndpoints("expired at "+owner, changed)
		s.note("notify", s.subscribers[owner].Active(s.now, scheduleService))
	}
	s.noteEndpoints("expired here", s.callers.Expire(s.now))
	s.noteEndpoints("list", s.callers.List(s.now, scheduleService))
	s.noteEndpoints("all", s.callers.All(s.now))
	for i := range s.newest {
		e, ok := s.callers.EndpointAt(s.now, s.newest[i].AppAddress)
		s.note("at", codec.MarshalAppend(nil, &e), ok)
	}
}

// The same seed gives the same run: the same announcements, requests, changes and expiries, in the same order.
func TestGoldenSchedules(t *testing.T) {
	var text strings.Builder
	for seed := range uint64(4) {
		s := newSchedule(seed)
		for i := range 400 {
			s.step()
			if i%80 == 79 {
				fmt.Fprintf(&text, "seed %d at %v: %d sent, %d expired, version %d, %x\n",
					seed, s.now, s.sends, s.expired, s.callers.Version(), s.sum.Sum(nil)[:12])
			}
		}
	}
	golden.Text(t, "schedules.txt", []byte(text.String()))
}
