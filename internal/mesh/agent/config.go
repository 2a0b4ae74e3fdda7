package agent

import (
	"context"
	"math"
	"time"

	"github.com/gravitational/trace"

	"gingerlead/internal/mesh/control/configuration"
	"gingerlead/internal/mesh/control/ratelimit"
	"gingerlead/internal/mesh/discovery/membership"
	"gingerlead/internal/mesh/operations/events"
	"gingerlead/internal/mesh/transport"
	"gingerlead/internal/mesh/transport/codec"
)

const (
	noticePeers  = 4 // others that hear of a new version at once; the rest hear from them, and by shuffles
	fetchTimeout = 300 * time.Millisecond
)

// Committed takes a configuration that a majority is known to have on disk, puts it in force here, and spreads the news of it. It
// is the only way by which a configuration comes in force in this process; one that is not newer than the one in force changes
// nothing, so that a process never goes back.
func (c *Agent) Committed(version uint64, text []byte) {
	c.configuring.Lock()
	defer c.configuring.Unlock()
	if held, _ := c.Configuration(); version <= held {
		return
	}
	conf, err := readVersion(version, text)
	if err != nil { // of a later version of this program, that allows more
		c.o.Log.WithField("version", version).WithError(err).Error("agent: a committed configuration can't be read")
		return
	}
	if c.o.Configure != nil {
		c.o.Configure(conf)
	}
	limits := map[string]ratelimit.Limit{}
	for i := range conf.Tenants {
		limits[conf.Tenants[i].Name] = c.limitOf(&conf.Tenants[i])
	}
	c.limits.Store(&limits)
	for _, address := range c.hold(conf, text) {
		c.send(address, methodNotice, &notice{Version: version}, nil)
	}
	if c.events != nil {
		c.events.add(events.Event{Kind: events.ConfigInForce, Version: conf.Version.String()})
	}
	c.step()
}

func readVersion(version uint64, text []byte) (*configuration.Config, error) {
	conf, err := configuration.Read(text)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if uint64(conf.Version) != version {
		return nil, trace.BadParameter("configVersion: the text has %v, it was sent as %v", conf.Version, configuration.Version(version))
	}
	return conf, nil
}

// hold keeps a configuration for others, and gives those who are to hear of it from here.
func (c *Agent) hold(conf *configuration.Config, text []byte) (notify []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conf = configurationText{Version: uint64(conf.Version), Text: text}
	c.services = c.services[:0]
	for _, s := range conf.Services {
		c.services = append(c.services, s.Name)
	}
	c.placed = 0
	return c.notifiedPeers()
}

// Configuration is the newest that this process knows to be committed; 0 for none.
func (c *Agent) Configuration() (version uint64, text []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conf.Version, c.conf.Text
}

// notifiedPeers are those who hear of a new version from here: all of the core, if this is one of it, and a few others at random.
// The lock is held.
func (c *Agent) notifiedPeers() (peers []string) {
	self := c.o.Hub.Self().Address
	var rest []string
	for _, m := range c.view.Members() {
		switch {
		case m.Address == self:
		case m.Role == membership.Core && c.o.Role == membership.Core:
			peers = append(peers, m.Address)
		default:
			rest = append(rest, m.Address)
		}
	}
	return append(peers, c.sample(rest, noticePeers)...)
}

// sample draws n elements at random. The lock is held; the list is changed.
func (c *Agent) sample(list []string, n int) []string {
	n = min(n, len(list))
	for i := range n {
		j := i + int(c.random()%uint64(len(list)-i))
		list[i], list[j] = list[j], list[i]
	}
	return list[:n]
}

// heard takes the version that a peer holds: one that is newer is fetched from it. A process that holds none asks others first.
func (c *Agent) heard(from string, version uint64) {
	c.mu.Lock()
	if version <= c.conf.Version {
		c.mu.Unlock()
		return
	}
	if c.conf.Version > 0 {
		c.mu.Unlock()
		c.fetch(from, version)
		return
	}
	ask := c.survey.hear(c.o.Hub.Now(), from, version, c.surveyCandidates)
	c.mu.Unlock()
	for _, peer := range ask {
		c.send(peer, methodConfig, &configurationText{Version: math.MaxUint64}, func(body []byte) { // no text is newer than that
			var held configurationText
			if len(body) == 0 || codec.Read(body, &held) == nil {
				c.surveyed(peer, held.Version)
			}
		})
	}
	c.endSurvey()
}

// surveyCandidates are other members in random order. The lock is held.
func (c *Agent) surveyCandidates() []string {
	var others []string
	for _, m := range c.view.Members() {
		if m.Address != c.o.Hub.Self().Address {
			others = append(others, m.Address)
		}
	}
	return c.sample(others, len(others))
}

func (c *Agent) surveyed(peer string, version uint64) {
	c.mu.Lock()
	c.survey.note(peer, version)
	c.mu.Unlock()
	c.endSurvey()
}

// endSurvey fetches the newest version that a survey has found, once it is over.
func (c *Agent) endSurvey() {
	c.mu.Lock()
	peer, version, ok := c.survey.end(c.o.Hub.Now())
	c.mu.Unlock()
	if ok {
		c.fetch(peer, version)
	}
}

// fetch asks a peer for a version that it holds, unless that version is being fetched already.
func (c *Agent) fetch(from string, version uint64) {
	c.mu.Lock()
	now := c.o.Hub.Now()
	if version <= c.conf.Version || version <= c.fetching && now < c.fetchUntil {
		c.mu.Unlock()
		return
	}
	c.fetching, c.fetchUntil = version, now+fetchTimeout
	held := c.conf.Version
	c.mu.Unlock()
	c.send(from, methodConfig, &configurationText{Version: held}, func(body []byte) {
		var got configurationText
		if len(body) > 0 && codec.Read(body, &got) == nil && got.Version > 0 && len(got.Text) > 0 {
			go c.Committed(got.Version, got.Text)
		}
	})
}

func (c *Agent) noticed(_ context.Context, from *transport.Hello, n *notice) *acknowledgement {
	c.heard(from.Address, n.Version)
	return &acknowledgement{true}
}

// giveConfiguration answers a peer that wants the newest configuration, if this process holds a newer one than the peer.
func (c *Agent) giveConfiguration(_ context.Context, _ *transport.Hello, have *configurationText) *configurationText {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conf.Version <= have.Version {
		return &configurationText{Version: c.conf.Version}
	}
	return &configurationText{Version: c.conf.Version, Text: c.conf.Text}
}

// limitOf is a tenant's limit, with what the rules let pass beyond it.
func (c *Agent) limitOf(t *configuration.Tenant) ratelimit.Limit {
	b := c.o.Settings.Bounds
	return ratelimit.Limit{Rate: t.Rate, Burst: t.Burst,
		Spare: b.QuotaOverage*(t.Rate*b.QuotaWindow.Seconds()+t.Burst) + b.QuotaSlack}
}
