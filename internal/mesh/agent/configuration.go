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

// noticePeers is the number of randomly selected members that are notified of a new version immediately. The other members learn of it
// by gossip.
const noticePeers = 4

// configurationUpdater holds the committed configuration that is applied in this process. It learns of newer versions from peers, fetches
// and applies them one at a time, and announces them. Invariant: the applied version never decreases.
type configurationUpdater struct {
	*environment
	members   *memberTracker
	directory *endpointDirectory
	events    *eventRecorder // nil on sidecars

	applyMu      sync.Mutex                                 // held while a configuration is being applied
	tenantLimits atomic.Pointer[map[string]ratelimit.Limit] // rate limits by tenant name; nil before a configuration is applied
	applying     sync.WaitGroup                             // goroutines started by applyFetched

	// The fields below are guarded by environment.mu.
	current       configurationText // applied configuration; version 0 if none is applied
	poll          versionPoll       // selects the first configuration while none is applied
	fetching      uint64            // version of the latest fetch; 0 before the first
	fetchDeadline time.Duration     // time from which the version in fetching may be fetched again
	stopped       bool              // set by stop: fetched configurations are no longer applied
}

// newConfigurationUpdater returns an updater without a configuration.
func newConfigurationUpdater(
	env *environment, members *memberTracker, directory *endpointDirectory, recorder *eventRecorder,
) *configurationUpdater {
	return &configurationUpdater{environment: env, members: members, directory: directory, events: recorder}
}

// register registers the methods with which peers announce versions and request the configuration.
func (c *configurationUpdater) register() {
	transport.Handle(c.hub, methodVersionNotice, c.handleVersionNotice)
	transport.Handle(c.hub, methodConfiguration, c.handleRequest)
}

// stop prevents further fetched configurations from being applied, and waits until those that are being applied have been applied.
func (c *configurationUpdater) stop() {
	c.mu.Lock()
	c.stopped = true
	c.mu.Unlock()
	c.applying.Wait()
}

// apply implements Agent.ApplyCommitted. It returns after OnConfiguration has returned.
func (c *configurationUpdater) apply(version uint64, text []byte) {
	c.applyMu.Lock()
	defer c.applyMu.Unlock()
	if appliedVersion, _ := c.applied(); version <= appliedVersion {
		return
	}
	conf, err := parseVersion(version, text)
	if err != nil { // a newer release of the program, which accepts more settings, may have committed the configuration
		c.log.WithField("version", version).WithError(err).Error("agent: cannot parse committed configuration, which is not applied")
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

// parseVersion parses a configuration text and checks that it names the given version. The error is that of configuration.Parse, or
// trace.BadParameter if the text names another version.
func parseVersion(version uint64, text []byte) (*configuration.Config, error) {
	conf, err := configuration.Parse(text)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if uint64(conf.Version) != version {
		return nil, trace.BadParameter("configVersion: the text names version %v, want %v", conf.Version, configuration.Version(version))
	}
	return conf, nil
}

// store makes a configuration the applied one, which peers can then fetch, and returns the addresses of the peers to notify.
func (c *configurationUpdater) store(conf *configuration.Config, text []byte) (notify []string) {
	services := make([]string, len(conf.Services))
	for i, s := range conf.Services {
		services[i] = s.Name
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = configurationText{Version: uint64(conf.Version), Text: text}
	c.directory.setWantedServicesLocked(services)
	c.members.invalidateLocked()
	return c.peersToNotifyLocked()
}

// peersToNotifyLocked returns the addresses of the members to notify of a new version: up to noticePeers members selected at random and,
// if this process is a core process, all other core processes as well.
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

// applied returns the version and the text of the applied configuration. The version is 0 if none is applied.
func (c *configurationUpdater) applied() (version uint64, text []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current.Version, c.current.Text
}

// versionLocked implements versionExchange.
func (c *configurationUpdater) versionLocked() uint64 { return c.current.Version }

// handleVersionNotice handles a peer's announcement of its applied version.
func (c *configurationUpdater) handleVersionNotice(_ context.Context, from *transport.Hello, n *versionNotice) *acknowledgement {
	c.handlePeerVersion(from.Address, n.Version)
	return &acknowledgement{Accepted: true}
}

// handleRequest returns the applied configuration to a peer, without the text if its version is not higher than the peer's.
func (c *configurationUpdater) handleRequest(_ context.Context, _ *transport.Hello, request *configurationText) *configurationText {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current.Version <= request.Version {
		return &configurationText{Version: c.current.Version}
	}
	return &configurationText{Version: c.current.Version, Text: c.current.Text}
}
