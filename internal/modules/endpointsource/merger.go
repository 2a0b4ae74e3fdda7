package endpointsource

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"quincegap/internal/balancer"
)

// sourceEntry is all that is known of an endpoint.
type sourceEntry struct {
	uid      string
	platform *Endpoint // what the platform says, nil if nothing
	consul   *Endpoint // what Consul says, nil if nothing

	missing      bool // Consul's last answer lacks it, and that is not believed
	missingSince time.Duration

	unhealthy      bool // by Consul
	unhealthySince time.Duration
	recoveries     []time.Duration // when it became healthy lately, the latest last
	holdDown       time.Duration   // how long its latest recovery waits
	holdDownUntil  time.Duration   // 0 if it does not wait
	startedMS      int64           // its start as it is counted here, where none is known; Unix time

	ready     bool          // as judged by itself, without regard to whether any other is
	published *Endpoint     // what the balancer was given, nil if nothing or gone
	since     time.Duration // when it was last changed, or taken away
	reason    string        // why it is judged so now
}

// Merger merges the sources. The zero value is not to be used. It is not safe for concurrent use.
type Merger struct {
	settings  Settings
	zones     nameSet
	models    nameSet
	entries   map[string]*sourceEntry   // by uid
	byAddress map[string][]*sourceEntry // that Consul has, by its address
	heldDown  map[string]*sourceEntry   // by uid
	missing   map[string]*sourceEntry   // by uid
	dirty     map[string]*sourceEntry   // of which something has changed since the balancer was given a list
	allDirty  bool                      // something has changed that concerns all

	consulAnswered   bool
	consulAnsweredAt time.Duration // when last
	consulExpired    bool          // its word counts no more (ModeOverlay)
	fromCache        bool          // what the balancer has is the last known list
	published        bool          // the balancer has a list
	readyCount       int           // entries that are ready as judged each by itself
	noneReady        bool          // none is, and those that are only critical go on
	version          uint64
	differences      map[string]string // by uid, that were logged (ModeRehearsal)
	logs             []string
}

// New begins with no endpoint known; zones and models are the names that the settings have.
func New(settings Settings, zones, models []string) *Merger {
	return &Merger{
		settings: settings, zones: newNames(zones), models: newNames(models),
		entries: map[string]*sourceEntry{}, byAddress: map[string][]*sourceEntry{}, differences: map[string]string{},
		heldDown: map[string]*sourceEntry{}, missing: map[string]*sourceEntry{}, dirty: map[string]*sourceEntry{},
	}
}

// PassesThrough reports whether the platform's lists go on to the balancer as they are.
func (m *Merger) PassesThrough() bool {
	return m.settings.Mode == ModePlatform || m.settings.Mode == ModeRehearsal
}

// Mode is the mode in force.
func (m *Merger) Mode() Mode { return m.settings.Mode }

// maxLogLines bounds the lines of one event: a flood of changes must not become a flood of lines.
const maxLogLines = 100

// TakeLogs returns the lines for the operator since the last call.
func (m *Merger) TakeLogs() []string {
	lines := m.logs
	m.logs = nil
	return lines
}

func (m *Merger) logf(format string, args ...any) {
	switch {
	case len(m.logs) < maxLogLines:
		m.logs = append(m.logs, fmt.Sprintf(format, args...))
	case len(m.logs) == maxLogLines:
		m.logs = append(m.logs, "and more")
	}
}

// touch returns an endpoint's entry, and has it looked at again.
func (m *Merger) touch(uid string) *sourceEntry {
	entry := m.entries[uid]
	if entry == nil {
		entry = &sourceEntry{uid: uid}
		m.entries[uid] = entry
	}
	m.dirty[uid] = entry
	return entry
}

// forget drops an endpoint that no source has. What it was is kept by nobody: an id that comes back is new.
func (m *Merger) forget(uid string, entry *sourceEntry) {
	if entry.platform != nil || entry.consul != nil || entry.published != nil {
		return
	}
	if entry.ready {
		m.readyCount--
	}
	delete(m.entries, uid)
	delete(m.heldDown, uid)
	delete(m.missing, uid)
	delete(m.differences, uid)
}

// NextTick is when Tick is to be called next, false if it is not.
func (m *Merger) NextTick() (at time.Duration, ok bool) {
	if m.PassesThrough() {
		return 0, false
	}
	sooner := func(other time.Duration) {
		if !ok || other < at {
			at, ok = other, true
		}
	}
	for _, entry := range m.heldDown {
		sooner(entry.holdDownUntil)
	}
	for _, entry := range m.missing {
		sooner(entry.missingSince + m.settings.ConfirmAfter)
	}
	if m.consulExpires() {
		sooner(m.consulAnsweredAt + m.settings.ConsulTTL)
	}
	return at, ok
}

// consulExpires reports whether Consul's word counts, and only for a time.
func (m *Merger) consulExpires() bool {
	return m.settings.Mode == ModeOverlay && m.consulAnswered && !m.consulExpired
}

// Tick does what is due. It returns what the balancer is to be given, false for nothing.
func (m *Merger) Tick(now time.Duration) (List, bool) {
	for uid, entry := range m.heldDown {
		if now >= entry.holdDownUntil {
			entry.holdDownUntil = 0
			delete(m.heldDown, uid)
			m.dirty[uid] = entry
		}
	}
	for uid, entry := range m.missing {
		if now >= entry.missingSince+m.settings.ConfirmAfter {
			m.confirmByTime(now, uid, entry)
		}
	}
	if m.consulExpires() && now >= m.consulAnsweredAt+m.settings.ConsulTTL {
		m.consulExpired, m.allDirty = true, true
		m.logf("consul: no answer for %s; its word counts no more, the platform's alone does", m.settings.ConsulTTL)
	}
	if m.PassesThrough() {
		return List{}, false
	}
	return m.publish(now, balancer.ListDelta)
}

// UpdateSettings changes the settings while running. It returns what the balancer is to be given under a new mode, false for
// nothing.
func (m *Merger) UpdateSettings(now time.Duration, settings Settings) (List, bool) {
	former := m.settings.Mode
	m.settings = settings
	if former == settings.Mode {
		return List{}, false
	}
	m.logf("membership: the source is %s now, %s before", settings.Mode, former)
	m.forgetConsul()
	switch settings.Mode {
	case ModeConsul:
		m.fromCache = true // until Consul's first answer what is known goes on
		return List{}, false
	case ModePlatform, ModeRehearsal:
		return m.publishKnownPlatform(now)
	}
	return m.publish(now, balancer.ListFull)
}

// forgetConsul forgets what Consul said, but not what is published: it is asked anew, or no more, and by other names.
func (m *Merger) forgetConsul() {
	m.consulAnswered, m.consulExpired, m.byAddress = false, false, map[string][]*sourceEntry{}
	clear(m.heldDown)
	clear(m.missing)
	clear(m.differences)
	for uid, entry := range m.entries {
		entry.consul, entry.missing, entry.unhealthy = nil, false, false
		entry.holdDownUntil, entry.holdDown, entry.recoveries = 0, 0, nil
		m.dirty[uid] = entry
	}
	m.allDirty = true
}

// RestartConsul takes in that Consul is asked anew, perhaps for another service: its next answer is its first.
func (m *Merger) RestartConsul() { m.consulAnswered = false }

// sortedUIDs are the uids of entries, in order.
func sortedUIDs(entries map[string]*sourceEntry) []string { return slices.Sorted(maps.Keys(entries)) }
