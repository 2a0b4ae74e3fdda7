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
	noticePeers  = 4                      // members, drawn at random, that are notified of a new version at once; gossip reaches the rest
	fetchTimeout = 300 * time.Millisecond // until a version whose text has not come may be fetched again

	// versionOnly stands for the requester's version in a request for a peer's version without its text: no text is newer than that.
	versionOnly = math.MaxUint64
)

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
	if present, _ := c.applied(); version <= present {
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

// learnVersion implements versionExchange: a version above the applied one is fetched from the peer that has it. A process without a
// configuration polls other members first.
func (c *configurationUpdater) learnVersion(peer string, version uint64) {
	var peersToPoll []string
	c.mu.Lock()
	present := c.current.Version
	if present == 0 && version > 0 {
		peersToPoll = c.poll.observe(c.now(), peer, version, c.pollCandidatesLocked)
	}
	c.mu.Unlock()
	switch {
	case present >= version:
	case present > 0:
		c.fetch(peer, version)
	default:
		c.pollVersions(peersToPoll)
		c.finishPoll()
	}
}

// pollCandidatesLocked returns the addresses of the other members in random order.
func (c *configurationUpdater) pollCandidatesLocked() []string {
	others := c.members.othersLocked()
	return c.sampleLocked(others, len(others))
}

// pollVersions requests the applied versions of peers.
func (c *configurationUpdater) pollVersions(peers []string) {
	for _, peer := range peers {
		c.send(peer, methodConfiguration, &configurationText{Version: versionOnly}, func(body []byte) {
			var answer configurationText
			if len(body) == 0 || codec.Unmarshal(body, &answer) == nil {
				c.recordPollAnswer(peer, answer.Version)
			}
		})
	}
}

// recordPollAnswer records the applied version of a peer that was polled.
func (c *configurationUpdater) recordPollAnswer(peer string, version uint64) {
	c.mu.Lock()
	c.poll.record(peer, version)
	c.mu.Unlock()
	c.finishPoll()
}

// finishPoll fetches the newest version that the version poll has found, if the poll is complete.
func (c *configurationUpdater) finishPoll() {
	c.mu.Lock()
	peer, version, ok := c.poll.finish(c.now())
	c.mu.Unlock()
	if ok {
		c.fetch(peer, version)
	}
}

// fetch requests a version from a peer that has it, unless it is applied or being fetched already. The answer is applied on a goroutine
// of its own, as OnConfiguration may take long and the link's reader must not wait.
func (c *configurationUpdater) fetch(peer string, version uint64) {
	present, ok := c.beginFetch(version)
	if !ok {
		return
	}
	c.send(peer, methodConfiguration, &configurationText{Version: present}, func(body []byte) {
		var fetched configurationText
		if len(body) > 0 && codec.Unmarshal(body, &fetched) == nil && fetched.Version > 0 && len(fetched.Text) > 0 {
			c.applyFetched(&fetched)
		}
	})
}

// beginFetch marks a version as being fetched, and returns the applied one. It reports false if there is nothing to fetch.
func (c *configurationUpdater) beginFetch(version uint64) (present uint64, ok bool) {
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
