package agent

import (
	"github.com/sirupsen/logrus"

	"quincegap/internal/mesh/control/configuration"
	"quincegap/internal/mesh/discovery"
	"quincegap/internal/mesh/discovery/membership"
	"quincegap/internal/mesh/operations/settings"
	"quincegap/internal/mesh/transport"
)

// Config holds the settings, dependencies and callbacks of an Agent. Callbacks may be nil. Unless said otherwise they are called without
// locks held, and may call the Agent.
type Config struct {
	// Settings are those of the process's settings file. The agent reads its failure domain (zone, region), the endpoint beside it, the
	// seeds at the start (SetSeeds replaces them later) and the bounds of quotas.
	Settings *settings.Settings

	// Hub provides the links to other processes, the address and incarnation of this process, and the clock. The agent registers its
	// methods (message.go) and a callback for links that end with it.
	Hub *transport.Hub

	// Role says whether this process is a sidecar or a core process. Only a core process records events, contends for singleton roles,
	// and announces a new configuration to all other core processes.
	Role membership.Role

	// Log receives what an operator should read: keepalives and configurations that can't be parsed.
	Log *logrus.Logger

	// Seed is the seed of the random numbers: the same seed, incarnation and messages give the same choice of peers.
	Seed uint64

	// OnConfiguration is called with each configuration that is applied, in the order of their versions and one at a time. The agent
	// announces the version to peers after the callback has returned.
	OnConfiguration func(c *configuration.Config)

	// OnEndpointsChanged is called with the complete endpoint list of a service, as far as it is known, after a change of it. Calls for
	// one service may overlap.
	OnEndpointsChanged func(service string, all []discovery.Endpoint)

	// OnSidecarCount is called when the number of sidecars among the members has changed. It is called with the agent's lock held: it
	// must not call the agent.
	OnSidecarCount func(n int)

	// OnEndpointLeaving is called when a record shows that an endpoint at this machine's application address is draining or has
	// deregistered. The endpoint may have reported that to another process, or to an earlier incarnation of this one, and it may be an
	// earlier endpoint at that address.
	OnEndpointLeaving func(e discovery.Endpoint)
}
