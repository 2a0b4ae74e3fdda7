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

// environment holds the dependencies, the lock and the random number generator that all parts of an agent share.
type environment struct {
	config   Config
	settings *settings.Settings
	hub      *transport.Hub
	log      *logrus.Logger
	wakeup   chan struct{} // holds a value if Agent.Run is to send due messages before its next tick

	// mu guards the state of all parts of the agent: the view of the members, the registry of endpoints, publications, subscriptions,
	// the applied configuration and rng. A single lock guards all of them because they depend on each other: a changed view changes the
	// owners to publish to and to subscribe to, and a shuffle carries the applied version.
	//
	// Rules:
	//   - A method whose name ends in Locked is called with mu held, any other method without it. In QuotaClient and SingletonRoles, this
	//     applies to their own field mu instead.
	//   - Nothing blocks while mu is held: no message is sent, no event is recorded, and no callback other than OnSidecarCount is called.
	//   - Lock order: configurationUpdater.applyMu, then SingletonRoles.mu or QuotaClient.mu, then mu. eventRecorder.mu is acquired last,
	//     and never while mu is held.
	mu  sync.Mutex
	rng *rand.Rand
}

// newEnvironment returns the environment of an agent with the given Config.
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

// address returns the internal address of this process, to which other processes connect.
func (e *environment) address() string { return e.hub.Self().Address }

// wake makes Agent.Run send due messages immediately instead of at its next tick. It does not block.
func (e *environment) wake() {
	select {
	case e.wakeup <- struct{}{}:
	default: // a wakeup is already pending
	}
}

// send sends a message to an address. If a reply arrives, the link's reader calls answered with its encoded body, so answered must not
// block. answered may be nil. Errors are ignored: messages that must arrive are sent again at a later tick.
func (e *environment) send(address string, method uint64, m codec.Message, answered func(body []byte)) {
	e.hub.Send(address, method, codec.Marshal(m), 0, func(body codec.Buffers, err error) {
		if err == nil && answered != nil {
			answered(body.Join())
		}
	})
}

// peerAddress returns the internal address of the process with the given control address, or an empty string if the argument is not a
// host:port address.
func (e *environment) peerAddress(control string) string {
	host, _, err := net.SplitHostPort(control)
	if err != nil {
		return ""
	}
	return e.settings.PeerAddress(host)
}

// randomUint64Locked returns a random number, uniformly distributed over all uint64 values.
func (e *environment) randomUint64Locked() uint64 { return e.rng.Uint64() }

// randomFraction returns a random number from the half-open interval [0, 1).
func (e *environment) randomFraction() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.rng.Float64()
}

// sampleLocked returns up to n randomly selected elements of a list, in random order. It reorders the list and returns a prefix of it.
func (e *environment) sampleLocked(list []string, n int) []string {
	n = min(n, len(list))
	for i := range n {
		j := i + int(e.randomUint64Locked()%uint64(len(list)-i))
		list[i], list[j] = list[j], list[i]
	}
	return list[:n]
}
