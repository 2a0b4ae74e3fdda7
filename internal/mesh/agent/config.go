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

// Committed takes a configuration that a majority is known to have on disk, puts it in force here, and spreads the news of it. It
// is the only way by which a configuration comes in force in this process; one that is not newer than the one in force changes
// nothing, so that a process never goes back.
func (a *Agent) Committed(version uint64, text []byte) {
	a.configuring.Lock()
	defer a.configuring.Unlock()
	if held, _ := a.Configuration(); version <= held {
		return
	}
	conf, err := readVersion(version, text)
	if err != nil { // of a later version of this program, that allows more
		a.o.Log.WithField("version", version).WithError(err).Error("agent: a committed configuration can't be read")
		return
	}
	if a.o.Configure != nil {
		a.o.Configure(conf)
	}
	limits := map[string]ratelimit.Limit{}
	for i := range conf.Tenants {
		limits[conf.Tenants[i].Name] = a.limitOf(&conf.Tenants[i])
	}
	a.limits.Store(&limits)
	for _, address := range a.hold(conf, text) {
		a.send(address, methodNotice, &notice{Version: version}, nil)
	}
	if a.events != nil {
		a.events.add(events.Event{Kind: events.ConfigInForce, Version: conf.Version.String()})
	}
	a.wake()
}

func readVersion(version uint64, text []byte) (*configuration.Config, error) {
	conf, err := configuration.Parse(text)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if uint64(conf.Version) != version {
		return nil, trace.BadParameter("configVersion: the text has %v, it was sent as %v", conf.Version, configuration.Version(version))
	}
	return conf, nil
}

// hold keeps a configuration for others, and gives those who are to hear of it from here.
func (a *Agent) hold(conf *configuration.Config, text []byte) (notify []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conf = configurationText{Version: uint64(conf.Version), Text: text}
	a.services = a.services[:0]
	for _, s := range conf.Services {
		a.services = append(a.services, s.Name)
	}
	a.viewed = 0
	return a.notifiedPeers()
}

// Configuration is the newest that this process knows to be committed; 0 for none.
func (a *Agent) Configuration() (version uint64, text []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.conf.Version, a.conf.Text
}

// notifiedPeers are those who hear of a new version from here: all of the core, if this is one of it, and a few others at random.
// The lock is held.
func (a *Agent) notifiedPeers() (peers []string) {
	self := a.o.Hub.Self().Address
	var rest []string
	for _, m := range a.view.Members() {
		switch {
		case m.Address == self:
		case m.Role == membership.Core && a.o.Role == membership.Core:
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
		j := i + int(a.random()%uint64(len(list)-i))
		list[i], list[j] = list[j], list[i]
	}
	return list[:n]
}

// heard takes the version that a peer holds: one that is newer is fetched from it. A process that holds none asks others first.
func (a *Agent) heard(from string, version uint64) {
	a.mu.Lock()
	if version <= a.conf.Version {
		a.mu.Unlock()
		return
	}
	if a.conf.Version > 0 {
		a.mu.Unlock()
		a.fetch(from, version)
		return
	}
	ask := a.survey.hear(a.o.Hub.Now(), from, version, a.surveyCandidates)
	a.mu.Unlock()
	for _, peer := range ask {
		a.send(peer, methodConfig, &configurationText{Version: math.MaxUint64}, func(body []byte) { // no text is newer than that
			var held configurationText
			if len(body) == 0 || codec.Read(body, &held) == nil {
				a.surveyed(peer, held.Version)
			}
		})
	}
	a.endSurvey()
}

// surveyCandidates are other members in random order. The lock is held.
func (a *Agent) surveyCandidates() []string {
	var others []string
	for _, m := range a.view.Members() {
		if m.Address != a.o.Hub.Self().Address {
			others = append(others, m.Address)
		}
	}
	return a.sample(others, len(others))
}

func (a *Agent) surveyed(peer string, version uint64) {
	a.mu.Lock()
	a.survey.note(peer, version)
	a.mu.Unlock()
	a.endSurvey()
}

// endSurvey fetches the newest version that a survey has found, once it is over.
func (a *Agent) endSurvey() {
	a.mu.Lock()
	peer, version, ok := a.survey.end(a.o.Hub.Now())
	a.mu.Unlock()
	if ok {
		a.fetch(peer, version)
	}
}

// fetch asks a peer for a version that it holds, unless that version is being fetched already.
func (a *Agent) fetch(from string, version uint64) {
	a.mu.Lock()
	now := a.o.Hub.Now()
	if version <= a.conf.Version || version <= a.fetching && now < a.fetchUntil {
		a.mu.Unlock()
		return
	}
	a.fetching, a.fetchUntil = version, now+fetchTimeout
	held := a.conf.Version
	a.mu.Unlock()
	a.send(from, methodConfig, &configurationText{Version: held}, func(body []byte) {
		var got configurationText
		if len(body) > 0 && codec.Read(body, &got) == nil && got.Version > 0 && len(got.Text) > 0 {
			go a.Committed(got.Version, got.Text)
		}
	})
}

func (a *Agent) noticed(_ context.Context, from *transport.Hello, n *notice) *acknowledgement {
	a.heard(from.Address, n.Version)
	return &acknowledgement{true}
}

// giveConfiguration answers a peer that wants the newest configuration, if this process holds a newer one than the peer.
func (a *Agent) giveConfiguration(_ context.Context, _ *transport.Hello, have *configurationText) *configurationText {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conf.Version <= have.Version {
		return &configurationText{Version: a.conf.Version}
	}
	return &configurationText{Version: a.conf.Version, Text: a.conf.Text}
}

// limitOf is a tenant's limit, with what the rules let pass beyond it.
func (a *Agent) limitOf(t *configuration.Tenant) ratelimit.Limit {
	b := a.o.Settings.Bounds
	return ratelimit.Limit{Rate: t.Rate, Burst: t.Burst,
		Overage: b.QuotaOverage*(t.Rate*b.QuotaWindow.Seconds()+t.Burst) + b.QuotaSlack}
}
