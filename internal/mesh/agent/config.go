package agent

import (
	"context"
	"math"
	"time"

	"github.com/gravitational/trace"

	"quincegap/internal/mesh/control/configuration"
	"quincegap/internal/mesh/control/ratelimit"
	"quincegap/internal/mesh/discovery/membership"
	"quincegap/internal/mesh/operations/events"
	"quincegap/internal/mesh/transport"
	"quincegap/internal/mesh/transport/codec"
)

const (
	noticePeers  = 4 // others that hear of a new version at once; the rest hear from them, and by shuffles
	fetchTimeout = 300 * time.Millisecond
)

// ApplyCommitted takes a configuration that a majority is known to have on disk, puts it in force here, and spreads the news of it. It
// is the only way by which a configuration comes in force in this process; one that is not newer than the one in force changes
// nothing, so that a process never goes back.
func (a *Agent) ApplyCommitted(version uint64, text []byte) {
	a.applyMu.Lock()
	defer a.applyMu.Unlock()
	if held, _ := a.Configuration(); version <= held {
		return
	}
	conf, err := parseVersion(version, text)
	if err != nil { // of a later version of this program, that allows more
		a.config.Log.WithField("version", version).WithError(err).Error("agent: a committed configuration can't be read")
		return
	}
	if a.config.OnConfiguration != nil {
		a.config.OnConfiguration(conf)
	}
	limits := map[string]ratelimit.Limit{}
	for i := range conf.Tenants {
		limits[conf.Tenants[i].Name] = a.limitFor(&conf.Tenants[i])
	}
	a.tenantLimits.Store(&limits)
	for _, address := range a.storeConfiguration(conf, text) {
		a.send(address, methodVersionNotice, &versionNotice{Version: version}, nil)
	}
	if a.events != nil {
		a.events.add(events.Event{Kind: events.ConfigurationApplied, Version: conf.Version.String()})
	}
	a.wake()
}

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

// storeConfiguration keeps a configuration for others, and gives those who are to hear of it from here.
func (a *Agent) storeConfiguration(conf *configuration.Config, text []byte) (notify []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.current = configurationText{Version: uint64(conf.Version), Text: text}
	a.wantedServices = a.wantedServices[:0]
	for _, s := range conf.Services {
		a.wantedServices = append(a.wantedServices, s.Name)
	}
	a.handledViewChanges = 0
	return a.peersToNotify()
}

// Configuration is the newest that this process knows to be committed; 0 for none.
func (a *Agent) Configuration() (version uint64, text []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.current.Version, a.current.Text
}

// peersToNotify are those who hear of a new version from here: all of the core, if this is one of it, and a few others at random.
// The lock is held.
func (a *Agent) peersToNotify() (peers []string) {
	self := a.config.Hub.Self().Address
	var rest []string
	for _, m := range a.view.Members() {
		switch {
		case m.Address == self:
		case m.Role == membership.RoleCore && a.config.Role == membership.RoleCore:
			peers = append(peers, m.Address)
		default:
			rest = append(rest, m.Address)
		}
	}
	return append(peers, a.sample(rest, noticePeers)...)
}

// sample draws n elements at random. The lock is held; the list is changed.
func (a *Agent) sample(list []string, n int) []string {
	n = min(n, len(list))
	for i := range n {
		j := i + int(a.randomUint64()%uint64(len(list)-i))
		list[i], list[j] = list[j], list[i]
	}
	return list[:n]
}

// learnVersion takes the version that a peer holds: one that is newer is fetched from it. A process that holds none asks others first.
func (a *Agent) learnVersion(from string, version uint64) {
	a.mu.Lock()
	if version <= a.current.Version {
		a.mu.Unlock()
		return
	}
	if a.current.Version > 0 {
		a.mu.Unlock()
		a.fetch(from, version)
		return
	}
	ask := a.versionPoll.observe(a.config.Hub.Now(), from, version, a.pollCandidates)
	a.mu.Unlock()
	for _, peer := range ask {
		a.send(peer, methodConfiguration, &configurationText{Version: math.MaxUint64}, func(body []byte) { // no text is newer than that
			var held configurationText
			if len(body) == 0 || codec.Unmarshal(body, &held) == nil {
				a.recordPollAnswer(peer, held.Version)
			}
		})
	}
	a.finishPoll()
}

// pollCandidates are other members in random order. The lock is held.
func (a *Agent) pollCandidates() []string {
	var others []string
	for _, m := range a.view.Members() {
		if m.Address != a.config.Hub.Self().Address {
			others = append(others, m.Address)
		}
	}
	return a.sample(others, len(others))
}

func (a *Agent) recordPollAnswer(peer string, version uint64) {
	a.mu.Lock()
	a.versionPoll.record(peer, version)
	a.mu.Unlock()
	a.finishPoll()
}

// finishPoll fetches the newest version that a survey has found, once it is over.
func (a *Agent) finishPoll() {
	a.mu.Lock()
	peer, version, ok := a.versionPoll.finish(a.config.Hub.Now())
	a.mu.Unlock()
	if ok {
		a.fetch(peer, version)
	}
}

// fetch asks a peer for a version that it holds, unless that version is being fetched already.
func (a *Agent) fetch(from string, version uint64) {
	a.mu.Lock()
	now := a.config.Hub.Now()
	if version <= a.current.Version || version <= a.fetchingVersion && now < a.fetchDeadline {
		a.mu.Unlock()
		return
	}
	a.fetchingVersion, a.fetchDeadline = version, now+fetchTimeout
	held := a.current.Version
	a.mu.Unlock()
	a.send(from, methodConfiguration, &configurationText{Version: held}, func(body []byte) {
		var got configurationText
		if len(body) > 0 && codec.Unmarshal(body, &got) == nil && got.Version > 0 && len(got.Text) > 0 {
			go a.ApplyCommitted(got.Version, got.Text)
		}
	})
}

func (a *Agent) handleVersionNotice(_ context.Context, from *transport.Hello, n *versionNotice) *acknowledgement {
	a.learnVersion(from.Address, n.Version)
	return &acknowledgement{true}
}

// handleConfigurationRequest answers a peer that wants the newest configuration, if this process holds a newer one than the peer.
func (a *Agent) handleConfigurationRequest(_ context.Context, _ *transport.Hello, have *configurationText) *configurationText {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.current.Version <= have.Version {
		return &configurationText{Version: a.current.Version}
	}
	return &configurationText{Version: a.current.Version, Text: a.current.Text}
}

// limitFor is a tenant's limit, with what the rules let pass beyond it.
func (a *Agent) limitFor(t *configuration.Tenant) ratelimit.Limit {
	b := a.config.Settings.Bounds
	return ratelimit.Limit{
		Rate: t.Rate, Burst: t.Burst,
		Overage: b.QuotaOverage*(t.Rate*b.QuotaWindow.Seconds()+t.Burst) + b.QuotaSlack,
	}
}
