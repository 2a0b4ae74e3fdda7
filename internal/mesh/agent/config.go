package agent

import (
	"github.com/sirupsen/logrus"

	"quincegap/internal/mesh/control/configuration"
	"quincegap/internal/mesh/discovery"
	"quincegap/internal/mesh/discovery/membership"
	"quincegap/internal/mesh/operations/settings"
	"quincegap/internal/mesh/transport"
)

// Config is what an Agent is made of. Callbacks may be nil, then nobody is called. Unless said otherwise they are called without
// locks, and may call the Agent.
type Config struct {
	// Settings are those of the process's settings file. The agent reads its place (zone, region), the endpoint beside it, the seeds
	// as of the start (later ones come by SetSeeds) and the bounds of quotas.
	Settings *settings.Settings

	// Hub has the links to other processes, this process's address and incarnation, and the clock. The agent registers its methods
	// with it (message.go) and gets to know of links that end.
	Hub *transport.Hub

	// Role says whether this process is a sidecar or a core process. Only a core process records events, owns singleton roles, and
	// announces a new configuration to all of the core.
	Role membership.Role

	// Log takes what an operator should read: keepalives and configurations that can't be parsed.
	Log *logrus.Logger

	// Seed is of the random numbers: the same seed, incarnation and messages give the same choice of peers.
	Seed uint64

	// OnConfiguration is called with each newer configuration, one after the other, before the agent announces the version to others.
	OnConfiguration func(c *configuration.Config)

	// OnEndpointsChanged is called with all that is known of a service's endpoints, when something of it has changed. Calls for one
	// service may overlap.
	OnEndpointsChanged func(service string, all []discovery.Endpoint)

	// OnSidecarCount is called when the number of sidecars among the members has changed. It is called with the agent's lock held: it
	// must not call the agent.
	OnSidecarCount func(n int)

	// OnEndpointLeaving is called when others know that an endpoint at this machine's application address drains or has deregistered:
	// it may have notified them, or an earlier incarnation of this process. The endpoint may be any that was ever at that address.
	OnEndpointLeaving func(e discovery.Endpoint)
}
