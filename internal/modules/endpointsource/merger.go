package endpointsource

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"quincegap/internal/balancer"
)

// sourceEntry is the state of one endpoint.
type sourceEntry struct {
	uid      string
	platform *Endpoint // its entry in the platform's list, nil for none
	consul   *Endpoint // its entry in Consul, nil for none

	missing      bool // Consul's last answer lacks it, which is not believed yet
	missingSince time.Duration

	unhealthy      bool // by Consul
	unhealthySince time.Duration
	recoveries     []time.Duration // when it became healthy within Settings.FlapWindow, the latest last
	holdDown       time.Duration   // the length of the latest hold-down
	holdDownUntil  time.Duration   // 0 if it is not held down
	startedMS      int64           // its assumed start, Unix time in milliseconds, if Consul has none

	ready     bool          // by its own verdict, which does not depend on other endpoints
	published *Endpoint     // how the balancer has it, nil for not at all
	since     time.Duration // when published was last changed
	reason    string        // of the present verdict
}

// Merger merges the sources. Use New. It is not safe for concurrent use.
type Merger struct {
	settings  Settings
	zones     nameSet
	models    nameSet
	entries   map[string]*sourceEntry   // by uid
	byAddress map[string][]*sourceEntry // the entries that Consul has, by address
	heldDown  map[string]*sourceEntry   // by uid
	missing   map[string]*sourceEntry   // by uid
	dirty     map[string]*sourceEntry   // the entries that have to be evaluated again, by uid
	allDirty  bool                      // all of them have to be

	consulAnswered   bool
	consulAnsweredAt time.Duration // the time of the last answer
	consulExpired    bool          // Consul has not answered for Settings.ConsulTTL (ModeOverlay)
	fromCache        bool          // the balancer has the last known list
	published        bool          // the balancer has a list
	readyCount       int           // entries that are ready by their own verdict
	noneReady        bool          // readyCount is 0, so checks are ignored; see checksIgnored
	version          uint64
	differences      map[string]string // by uid, those that were logged (ModeRehearsal)
	logs             []string
}

// New returns a Merger without endpoints; zones and models are the names that the settings have.
func New(settings Settings, zones, models []string) *Merger {
	return &Merger{
		settings: settings, zones: newNameSet(zones), models: newNameSet(models),
		entries: map[string]*sourceEntry{}, byAddress: map[string][]*sourceEntry{}, differences: map[string]string{},
		heldDown: map[string]*sourceEntry{}, missing: map[string]*sourceEntry{}, dirty: map[string]*sourceEntry{},
	}
}

// PassesThrough reports whether the platform's lists are passed to the balancer as they are.
func (m *Merger) PassesThrough() bool {
	return m.settings.Mode == ModePlatform || m.settings.Mode == ModeRehearsal
}

// Mode returns the mode in force.
func (m *Merger) Mode() Mode { return m.settings.Mode }

// maxLogLines bounds the log lines between two calls of TakeLogs, however many endpoints change.
const maxLogLines = 100

// TakeLogs returns the log lines since the last call.
func (m *Merger) TakeLogs() []string {
	lines := m.logs
	m.logs = nil
	return lines
}

// logf adds a log line.
func (m *Merger) logf(format string, args ...any) {
	switch {
	case len(m.logs) < maxLogLines:
		m.logs = append(m.logs, fmt.Sprintf(format, args...))
	case len(m.logs) == maxLogLines:
		m.logs = append(m.logs, "and more")
	}
}

// touch returns the entry of an endpoint, a new one if there is none, and has it evaluated again.
func (m *Merger) touch(uid string) *sourceEntry {
	entry := m.entries[uid]
	if entry == nil {
		entry = &sourceEntry{uid: uid}
		m.entries[uid] = entry
	}
	m.dirty[uid] = entry
	return entry
}

// forget deletes the entry of an endpoint that no source has and that is not published.
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

// NextTick returns when Tick is to be called next, false for not at all.
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

// consulExpires reports whether Consul's entries are used now and expire without further answers.
func (m *Merger) consulExpires() bool {
	return m.settings.Mode == ModeOverlay && m.consulAnswered && !m.consulExpired
}

// Tick ends hold-downs, confirms missing endpoints and lets Consul's entries expire. It returns the list for the balancer, false for
// none.
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
		m.consulExpired = true
		m.allDirty = true
		m.logf("consul: no answer for %s; its word counts no more, the platform's alone does", m.settings.ConsulTTL)
	}
	if m.PassesThrough() {
		return List{}, false
	}
	return m.publish(now, balancer.ListDelta)
}

// UpdateSettings changes the settings while the sidecar runs. It returns the list for the balancer in a new mode, false for none.
func (m *Merger) UpdateSettings(now time.Duration, settings Settings) (List, bool) {
	previous := m.settings.Mode
	m.settings = settings
	if previous == settings.Mode {
		return List{}, false
	}
	m.logf("membership: the source is %s now, %s before", settings.Mode, previous)
	m.forgetConsul()
	switch settings.Mode {
	case ModeConsul:
		m.fromCache = true // the present list stays until Consul's first answer
		return List{}, false
	case ModePlatform, ModeRehearsal:
		return m.publishKnownPlatform(now)
	}
	return m.publish(now, balancer.ListFull)
}

// forgetConsul deletes the state of all endpoints in Consul, but not what is published.
func (m *Merger) forgetConsul() {
	m.consulAnswered = false
	m.consulExpired = false
	m.byAddress = map[string][]*sourceEntry{}
	clear(m.heldDown)
	clear(m.missing)
	clear(m.differences)
	for uid, entry := range m.entries {
		entry.consul = nil
		entry.missing = false
		entry.unhealthy = false
		entry.holdDownUntil = 0
		entry.holdDown = 0
		entry.recoveries = nil
		m.dirty[uid] = entry
	}
	m.allDirty = true
}

// RestartConsul makes the next answer of Consul its first one, because it may be for another service.
func (m *Merger) RestartConsul() { m.consulAnswered = false }

// sortedUIDs returns the uids of entries, in order.
func sortedUIDs(entries map[string]*sourceEntry) []string { return slices.Sorted(maps.Keys(entries)) }
