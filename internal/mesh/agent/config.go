package agent

import (
	"context"

	"gingerlead/internal/mesh/control/configuration"
	"gingerlead/internal/mesh/control/ratelimit"
	"gingerlead/internal/mesh/discovery/membership"
	"gingerlead/internal/mesh/operations/events"
	"gingerlead/internal/mesh/transport"
	"gingerlead/internal/mesh/transport/codec"
)

// Committed takes a configuration that a majority is known to have on disk, and spreads the news of it. Older ones than the one
// known change nothing.
func (c *Agent) Committed(version uint64, text []byte) {
	c.settings.Lock()
	defer c.settings.Unlock()
	c.mu.Lock()
	old := version <= c.conf.Version
	c.mu.Unlock()
	if old {
		return
	}
	conf, err := configuration.Read(text)
	if err != nil { // of a later version of this program, that allows more
		c.o.Log.WithField("version", version).Error("agent: a committed configuration can't be read: " + err.Error())
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
	c.mu.Lock()
	c.conf = configurationText{Version: version, Text: text}
	c.services = c.services[:0]
	for _, s := range conf.Services {
		c.services = append(c.services, s.Name)
	}
	c.placed = 0
	to := c.hear()
	c.mu.Unlock()
	if c.events != nil {
		c.events.add(events.Event{Kind: events.ConfigInForce, Version: conf.Version.String()})
	}
	for _, address := range to {
		c.send(address, methodNotice, &notice{Version: version}, nil)
	}
	c.step()
}

// Configuration is the newest that this process knows to be committed; 0 for none.
func (c *Agent) Configuration() (version uint64, text []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conf.Version, c.conf.Text
}

// hear picks those who hear of a new version from here: the core, and a few at random.
func (c *Agent) hear() (to []string) {
	self := c.o.Hub.Self().Address
	var rest []string
	for _, m := range c.view.Members() {
		switch {
		case m.Address == self:
		case m.Role == membership.Core && c.o.Role == membership.Core:
			to = append(to, m.Address)
		default:
			rest = append(rest, m.Address)
		}
	}
	for i := 0; i < noticesTo && len(rest) > 0; i++ {
		n := int(c.random() % uint64(len(rest)))
		to = append(to, rest[n])
		rest[n] = rest[len(rest)-1]
		rest = rest[:len(rest)-1]
	}
	return to
}

// heard fetches a newer version from whoever has it.
func (c *Agent) heard(from string, version uint64) {
	c.mu.Lock()
	now := c.o.Hub.Now()
	if version <= c.conf.Version || version <= c.fetching && now < c.fetchUntil {
		c.mu.Unlock()
		return
	}
	c.fetching, c.fetchUntil = version, now+fetchMost
	mine := c.conf.Version
	c.mu.Unlock()
	c.send(from, methodConfig, &configurationText{Version: mine}, func(body []byte) {
		var got configurationText
		if len(body) > 0 && codec.Read(body, &got) == nil && got.Version > 0 && len(got.Text) > 0 {
			go c.Committed(got.Version, got.Text)
		}
	})
}

func (c *Agent) noticed(_ context.Context, from *transport.Hello, n *notice) *taken {
	c.heard(from.Address, n.Version)
	return &taken{true}
}

func (c *Agent) asked(_ context.Context, _ *transport.Hello, have *configurationText) *configurationText {
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
