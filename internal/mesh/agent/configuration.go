package agent

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"quincegap/internal/mesh/control/configuration"
	"quincegap/internal/mesh/control/ratelimit"
	"quincegap/internal/mesh/discovery/membership"
	"quincegap/internal/mesh/transport"
)

// noticePeers is the number of members, drawn at random, that are notified of a new version at once. Gossip notifies the others.
const noticePeers = 4

// configurationUpdater holds the committed configuration that is applied in this process. It discovers newer versions at peers, fetches
// them, applies them one after the other, and announces them. Invariant: the applied version only rises.
type configurationUpdater struct {
	*environment
	members   *memberTracker
	directory *endpointDirectory
	events    *eventRecorder // may be nil

	applyMu      sync.Mutex                                 // held while a configuration is being applied
	tenantLimits atomic.Pointer[map[string]ratelimit.Limit] // by the tenant's name; nil before a configuration is applied
	applying     sync.WaitGroup                             // goroutines of applyFetched

	// Guarded by environment.mu.
	current       configurationText // the applied one
	poll          versionPoll       // used while none is applied
	fetching      uint64            // version that is being fetched
	fetchDeadline time.Duration     // of that fetch
	stopped       bool              // fetched configurations are not applied any more
}

// newConfigurationUpdater returns an updater without a configuration.
func newConfigurationUpdater(
	env *environment, members *memberTracker, directory *endpointDirectory, recorder *eventRecorder,
) *configurationUpdater {
	return &configurationUpdater{environment: env, members: members, directory: directory, events: recorder}
}

// register registers the methods by which peers announce versions and request the configuration.
func (c *configurationUpdater) register() {
	transport.Handle(c.hub, methodVersionNotice, c.handleVersionNotice)
	transport.Handle(c.hub, methodConfiguration, c.handleRequest)
}

// stop ends the applying of fetched configurations: it waits for the one that is being applied, and none is applied after that.
func (c *configurationUpdater) stop() {
	c.mu.Lock()
	c.stopped = true
	c.mu.Unlock()
	c.applying.Wait()
}

// apply applies a committed configuration (Agent.ApplyCommitted). It calls OnConfiguration, and returns after that has returned.
func (c *configurationUpdater) apply(version uint64, text []byte) {
	c.applyMu.Lock()
	defer c.applyMu.Unlock()
	if held, _ := c.applied(); version <= held {
		return
	}
	conf, err := parseVersion(version, text)
	if err != nil { // it may have been committed by a newer release of the program, which accepts more
		c.log.WithField("version", version).WithError(err).Error("agent: a committed configuration can't be read")
		return
	}
	if c.config.OnConfiguration != nil {
		c.config.OnConfiguration(conf)
	}
	c.setTenantLimits(conf)
	for _, address := range c.store(conf, text) {
		c.send(address, methodVersionNotice, &versionNotice{Version: version}, nil)
	}
	c.events.recordConfiguration(conf.Version)
	c.wake()
}

// parseVersion parses the text of a version. The error is trace.BadParameter if the text names another version.
func parseVersion(version uint64, text []byte) (*configuration.Config, error) {
	conf, err := configuration.Parse(text)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if uint64(conf.Version) != version {
		return nil, trace.BadParameter("configVersion: the text has %v, it was sent as %v", conf.Version, configuration.Version(version))
	}
	return conf, nil
}

// store makes a configuration the applied one, which peers can request, and returns the addresses of the peers to notify of it.
func (c *configurationUpdater) store(conf *configuration.Config, text []byte) (notify []string) {
	services := make([]string, len(conf.Services))
	for i, s := range conf.Services {
		services[i] = s.Name
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = configurationText{Version: uint64(conf.Version), Text: text}
	c.directory.wantLocked(services)
	c.members.invalidateLocked()
	return c.peersToNotifyLocked()
}

// peersToNotifyLocked returns the addresses that this process notifies of a new version: all other core processes, if it is one itself,
// and noticePeers other members, drawn at random.
func (c *configurationUpdater) peersToNotifyLocked() []string {
	self := c.address()
	var core, rest []string
	for _, m := range c.members.allLocked() {
		switch {
		case m.Address == self:
		case m.Role == membership.RoleCore && c.config.Role == membership.RoleCore:
			core = append(core, m.Address)
		default:
			rest = append(rest, m.Address)
		}
	}
	return append(core, c.sampleLocked(rest, noticePeers)...)
}

// applied returns the version and the text of the applied configuration; version 0 if there is none.
func (c *configurationUpdater) applied() (version uint64, text []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current.Version, c.current.Text
}

// versionLocked implements versionExchange.
func (c *configurationUpdater) versionLocked() uint64 { return c.current.Version }

// handleVersionNotice handles the version that a peer announces.
func (c *configurationUpdater) handleVersionNotice(_ context.Context, from *transport.Hello, n *versionNotice) *acknowledgement {
	c.learnVersion(from.Address, n.Version)
	return &acknowledgement{Accepted: true}
}

// handleRequest answers a peer with the applied configuration, or with its version alone if that is not above the peer's.
func (c *configurationUpdater) handleRequest(_ context.Context, _ *transport.Hello, request *configurationText) *configurationText {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current.Version <= request.Version {
		return &configurationText{Version: c.current.Version}
	}
	return &configurationText{Version: c.current.Version, Text: c.current.Text}
}
