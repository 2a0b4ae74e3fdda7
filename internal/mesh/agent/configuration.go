package agent

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"quincegap/internal/mesh/control/configuration"
	"quincegap/internal/mesh/control/ratelimit"
	"quincegap/internal/mesh/discovery/membership"
	"quincegap/internal/mesh/transport"
	"quincegap/internal/mesh/transport/codec"
)

const (
	noticePeers  = 4 // others that hear of a new version at once; the rest hear from them, and by shuffles
	fetchTimeout = 300 * time.Millisecond

	// versionOnly is named as the held version by a process that asks for a peer's version without its text: no text is newer.
	versionOnly = math.MaxUint64
)

// configurationUpdater holds the committed configuration that is applied in this process. It learns of newer versions from peers, fetches
// them, applies them one after the other, and announces them.
type configurationUpdater struct {
	*environment
	members   *memberTracker
	directory *endpointDirectory
	events    *eventRecorder // may be nil

	applyMu      sync.Mutex // held while a configuration is applied
	tenantLimits atomic.Pointer[map[string]ratelimit.Limit]
	applying     sync.WaitGroup // fetched configurations

	// Guarded by environment.mu.
	current       configurationText
	poll          versionPoll // while no configuration is held
	fetching      uint64      // version that is being fetched
	fetchDeadline time.Duration
	stopped       bool // fetched configurations are not applied any more
}

// newConfigurationUpdater makes an updater that holds no configuration.
func newConfigurationUpdater(env *environment, members *memberTracker, directory *endpointDirectory, recorder *eventRecorder) *configurationUpdater {
	return &configurationUpdater{environment: env, members: members, directory: directory, events: recorder}
}

// register registers the methods by which peers announce versions and ask for the configuration.
func (c *configurationUpdater) register() {
	transport.Handle(c.hub, methodVersionNotice, c.handleVersionNotice)
	transport.Handle(c.hub, methodConfiguration, c.handleRequest)
}

// stop waits until no fetched configuration is being applied, and has none applied from then on.
func (c *configurationUpdater) stop() {
	c.mu.Lock()
	c.stopped = true
	c.mu.Unlock()
	c.applying.Wait()
}

// apply applies a committed configuration (Agent.ApplyCommitted). It returns when OnConfiguration has.
func (c *configurationUpdater) apply(version uint64, text []byte) {
	c.applyMu.Lock()
	defer c.applyMu.Unlock()
	if held, _ := c.applied(); version <= held {
		return
	}
	conf, err := parseVersion(version, text)
	if err != nil { // a later version of this program may have committed it, that allows more
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

// parseVersion parses a text that was sent as a version.
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

// store keeps a configuration for peers that ask for it, and returns those that are to be notified of it.
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

// peersToNotifyLocked are those that this process notifies of a new version: all other core processes, if it is one, and a few other
// members at random.
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

// applied is the version and the text of the applied configuration; version 0 for none.
func (c *configurationUpdater) applied() (version uint64, text []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current.Version, c.current.Text
}

// versionLocked implements versionExchange.
func (c *configurationUpdater) versionLocked() uint64 { return c.current.Version }

// learnVersion implements versionExchange: a newer version is fetched from the peer that holds it. A process that holds none polls other
// members first.
func (c *configurationUpdater) learnVersion(peer string, version uint64) {
	var ask []string
	c.mu.Lock()
	held := c.current.Version
	if held == 0 && version > 0 {
		ask = c.poll.observe(c.now(), peer, version, c.pollCandidatesLocked)
	}
	c.mu.Unlock()
	switch {
	case held >= version:
	case held > 0:
		c.fetch(peer, version)
	default:
		c.pollVersions(ask)
		c.finishPoll()
	}
}

// pollCandidatesLocked are the other members in random order.
func (c *configurationUpdater) pollCandidatesLocked() []string {
	others := c.members.othersLocked()
	return c.sampleLocked(others, len(others))
}

// pollVersions asks peers which version they hold.
func (c *configurationUpdater) pollVersions(peers []string) {
	for _, peer := range peers {
		c.send(peer, methodConfiguration, &configurationText{Version: versionOnly}, func(body []byte) {
			var held configurationText
			if len(body) == 0 || codec.Unmarshal(body, &held) == nil {
				c.recordPollAnswer(peer, held.Version)
			}
		})
	}
}

// recordPollAnswer takes the version that a polled peer holds.
func (c *configurationUpdater) recordPollAnswer(peer string, version uint64) {
	c.mu.Lock()
	c.poll.record(peer, version)
	c.mu.Unlock()
	c.finishPoll()
}

// finishPoll fetches the newest version that the version poll has found, once it is over.
func (c *configurationUpdater) finishPoll() {
	c.mu.Lock()
	peer, version, ok := c.poll.finish(c.now())
	c.mu.Unlock()
	if ok {
		c.fetch(peer, version)
	}
}

// fetch fetches a version from a peer that holds it, unless it is held or being fetched already. It is applied on a goroutine of its
// own, since that may take long.
func (c *configurationUpdater) fetch(peer string, version uint64) {
	held, ok := c.beginFetch(version)
	if !ok {
		return
	}
	c.send(peer, methodConfiguration, &configurationText{Version: held}, func(body []byte) {
		var got configurationText
		if len(body) > 0 && codec.Unmarshal(body, &got) == nil && got.Version > 0 && len(got.Text) > 0 {
			c.applyFetched(&got)
		}
	})
}

// beginFetch notes that a version is being fetched, and returns the one held; false if there is nothing to fetch.
func (c *configurationUpdater) beginFetch(version uint64) (held uint64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	beingFetched := version <= c.fetching && now < c.fetchDeadline
	if version <= c.current.Version || beingFetched {
		return 0, false
	}
	c.fetching = version
	c.fetchDeadline = now + fetchTimeout
	return c.current.Version, true
}

// applyFetched applies a fetched configuration on a goroutine that stop waits for.
func (c *configurationUpdater) applyFetched(fetched *configurationText) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.stopped {
		c.applying.Go(func() { c.apply(fetched.Version, fetched.Text) })
	}
}

// handleVersionNotice learns of the version that a peer announces.
func (c *configurationUpdater) handleVersionNotice(_ context.Context, from *transport.Hello, n *versionNotice) *acknowledgement {
	c.learnVersion(from.Address, n.Version)
	return &acknowledgement{Accepted: true}
}

// handleRequest answers a peer with the configuration, if the peer holds an older one, else with the version alone.
func (c *configurationUpdater) handleRequest(_ context.Context, _ *transport.Hello, held *configurationText) *configurationText {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current.Version <= held.Version {
		return &configurationText{Version: c.current.Version}
	}
	return &configurationText{Version: c.current.Version, Text: c.current.Text}
}
