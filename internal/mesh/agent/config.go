package agent

import (
	"github.com/sirupsen/logrus"

	"quincegap/internal/mesh/control/configuration"
	"quincegap/internal/mesh/discovery"
	"quincegap/internal/mesh/discovery/membership"
	"quincegap/internal/mesh/operations/settings"
	"quincegap/internal/mesh/transport"
)

// Config holds the settings, dependencies and callbacks of an Agent. Callbacks may be nil. Unless documented otherwise, a callback is
// called without locks held, and may call methods of the Agent.
type Config struct {
	// Settings holds the contents of the process's settings file. The agent reads the failure domain of the process (zone and region),
	// the service and address of the local endpoint, the initial seeds (SetSeeds replaces them later) and the bounds of quotas.
	Settings *settings.Settings

	// Hub provides the links to other processes, the address and incarnation of this process, and the clock. The agent registers with it
	// its methods (see message.go) and a callback for lost links.
	Hub *transport.Hub

	// Role determines whether this process is a sidecar or a core process. Only a core process records events, contends for singleton
	// roles, and announces a new configuration to all other core processes.
	Role membership.Role

	// Log receives warnings about invalid keepalives, errors about configurations that can't be parsed, and debug messages.
	Log *logrus.Logger

	// Seed seeds the random number generators: with the same seed, incarnation and messages, the agent selects the same peers.
	Seed uint64

	// OnConfiguration is called with each configuration to apply, in ascending order of the versions and one call at a time. The agent
	// announces the version to peers after the callback has returned.
	OnConfiguration func(c *configuration.Config)

	// OnEndpointsChanged is called after the endpoint list of a service has changed. all holds all endpoints of the service that this
	// process knows. Calls for the same service may overlap.
	OnEndpointsChanged func(service string, all []discovery.Endpoint)

	// OnSidecarCount is called when the number of sidecars among the members has changed. It is called with the agent's lock held and
	// must not call methods of the Agent.
	OnSidecarCount func(n int)

	// OnEndpointLeaving is called when an endpoint record with this machine's application address has the state draining or deregistered.
	// The endpoint may have reported that state to another process, or to an earlier incarnation of this one. The record may also be that
	// of an earlier endpoint at the same address.
	OnEndpointLeaving func(e discovery.Endpoint)
}
