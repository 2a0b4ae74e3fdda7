package agent

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"quincegap/internal/mesh/operations/settings"
	"quincegap/internal/mesh/transport"
	"quincegap/internal/mesh/transport/codec"
)

// environment is what all parts of an agent share.
type environment struct {
	config   Config
	settings *settings.Settings
	hub      *transport.Hub
	log      *logrus.Logger
	wakeup   chan struct{} // holds a value if something is to be sent before the next tick

	// mu guards the state of all parts of the agent: the view of the members, the registry of endpoints, publications, subscriptions,
	// the applied configuration and rng. One lock guards them all since they change together: a new view changes the owners to publish
	// and to subscribe to, and a shuffle carries the applied version.
	//
	// Rules:
	//   - A method whose name ends in Locked is called with mu held, any other one without it. For methods of QuotaClient and
	//     SingletonRoles the same holds of their own mu.
	//   - Nothing waits under mu: no message is sent, no event recorded, and no callback called but OnSidecarCount.
	//   - Order of locks: configurationUpdater.applyMu, then SingletonRoles.mu or QuotaClient.mu, then mu. eventRecorder.mu comes last,
	//     and is never taken under mu.
	mu  sync.Mutex
	rng *rand.Rand
}

// newEnvironment returns the environment of an agent.
func newEnvironment(config Config) *environment {
	return &environment{
		config:   config,
		settings: config.Settings,
		hub:      config.Hub,
		log:      config.Log,
		wakeup:   make(chan struct{}, 1),
		rng:      rand.New(rand.NewPCG(config.Seed, 1)),
	}
}

// now returns the time on the monotonic clock of this process.
func (e *environment) now() time.Duration { return e.hub.Now() }

// address returns the internal address of this process, at which other processes reach it.
func (e *environment) address() string { return e.hub.Self().Address }

// wake makes Agent.Run send what is due at once, rather than at its next tick. It does not wait for that.
func (e *environment) wake() {
	select {
	case e.wakeup <- struct{}{}:
	default: // it is awake already
	}
}

// send sends a message to an address. If an answer comes, answered is called with its bytes by the link's reader, so it must not block.
// answered may be nil. Errors are dropped: whatever matters is sent again at a later tick.
func (e *environment) send(address string, method uint64, m codec.Message, answered func(body []byte)) {
	e.hub.Send(address, method, codec.MarshalAppend(nil, m), 0, func(body []byte, err error) {
		if err == nil && answered != nil {
			answered(body)
		}
	})
}

// peerAddress returns the internal address of the process with a control address; empty if the argument isn't an address.
func (e *environment) peerAddress(control string) string {
	host, _, err := net.SplitHostPort(control)
	if err != nil {
		return ""
	}
	return e.settings.PeerAddress(host)
}

// randomUint64Locked draws a random number.
func (e *environment) randomUint64Locked() uint64 { return e.rng.Uint64() }

// randomFraction draws a random number from 0 to 1, without 1.
func (e *environment) randomFraction() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.rng.Float64()
}

// sampleLocked draws up to n elements of a list at random. It reorders the list, and returns a part of it.
func (e *environment) sampleLocked(list []string, n int) []string {
	n = min(n, len(list))
	for i := range n {
		j := i + int(e.randomUint64Locked()%uint64(len(list)-i))
		list[i], list[j] = list[j], list[i]
	}
	return list[:n]
}
