package endpointsource

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"quincegap/internal/balancer"
)

// endpointEntry is the state of one endpoint: its entries in the sources and how it is published.
type endpointEntry struct {
	uid      string
	platform *Endpoint // entry in the platform's list; nil if it is not listed
	consul   *Endpoint // entry in Consul; nil if it is not listed

	missing      bool // Consul's latest answer lacks the endpoint, and its removal is not confirmed yet
	missingSince time.Duration

	unhealthy      bool // Consul's entry is not ready
	unhealthySince time.Duration
	recoveries     []time.Duration // times of recoveries within Settings.FlapWindow, the latest last
	holdDown       time.Duration   // length of the latest hold-down
	holdDownUntil  time.Duration   // end of the hold-down; 0 if the endpoint is not held down
	startedMS      int64           // assumed start in Unix milliseconds, used if Consul has no start time

	ready     bool          // the endpoint is ready regardless of the other endpoints; counted in readyCount
	published *Endpoint     // endpoint as last published to the balancer; nil if it is not listed there
	changedAt time.Duration // time of the last change of published
	reason    string        // reason for the state of published
}

// Merger merges the endpoint lists of the sources. It is created by New and is not safe for concurrent use.
type Merger struct {
	settings  Settings
	zones     nameSet
	models    nameSet
	entries   map[string]*endpointEntry   // all endpoints, by uid
	byAddress map[string][]*endpointEntry // entries that Consul lists, by address
	heldDown  map[string]*endpointEntry   // entries that are held down, by uid
	missing   map[string]*endpointEntry   // entries that are missing, by uid
	dirty     map[string]*endpointEntry   // entries that have to be evaluated again, by uid
	allDirty  bool                        // all entries have to be evaluated again

	consulAnswered   bool
	consulAnsweredAt time.Duration // time of the latest answer
	consulExpired    bool          // Consul has not answered for Settings.ConsulTTL (ModeOverlay)
	fromCache        bool          // the list in use is the last known one, from the cache
	published        bool          // the balancer has a list
	readyCount       int           // number of entries with ready set
	noneReady        bool          // readyCount was 0 at the last publication, so checks are ignored; see checksIgnored
	version          uint64
	differences      map[string]string // differences that were logged in ModeRehearsal, by uid
	logs             []string
}

// New returns a Merger without endpoints; zones and models are the names in the settings.
func New(settings Settings, zones, models []string) *Merger {
	return &Merger{
		settings: settings, zones: newNameSet(zones), models: newNameSet(models),
		entries: map[string]*endpointEntry{}, byAddress: map[string][]*endpointEntry{}, differences: map[string]string{},
		heldDown: map[string]*endpointEntry{}, missing: map[string]*endpointEntry{}, dirty: map[string]*endpointEntry{},
	}
}

// PassesThrough reports whether the platform's lists are passed to the balancer unchanged.
func (m *Merger) PassesThrough() bool {
	return m.settings.Mode == ModePlatform || m.settings.Mode == ModeRehearsal
}

// Mode returns the active mode.
func (m *Merger) Mode() Mode { return m.settings.Mode }

// maxLogLines bounds the log lines between two calls of TakeLogs, however many endpoints change.
const maxLogLines = 100

// TakeLogs returns the log lines since the last call, and clears them.
func (m *Merger) TakeLogs() []string {
	lines := m.logs
	m.logs = nil
	return lines
}

// logf adds a log line for TakeLogs.
func (m *Merger) logf(format string, args ...any) {
	switch {
	case len(m.logs) < maxLogLines:
		m.logs = append(m.logs, fmt.Sprintf(format, args...))
	case len(m.logs) == maxLogLines:
		m.logs = append(m.logs, "further log lines were dropped")
	}
}

// markDirty returns the entry of an endpoint, which it creates if there is none, and marks it for evaluation.
func (m *Merger) markDirty(uid string) *endpointEntry {
	entry := m.entries[uid]
	if entry == nil {
		entry = &endpointEntry{uid: uid}
		m.entries[uid] = entry
	}
	m.dirty[uid] = entry
	return entry
}

// deleteIfUnused deletes the entry of an endpoint that no source lists and that is not published.
func (m *Merger) deleteIfUnused(uid string, entry *endpointEntry) {
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

// NextTick returns when Tick is to be called next, and false if no call is needed.
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

// consulExpires reports whether Consul's entries are in use and expire unless Consul answers again.
func (m *Merger) consulExpires() bool {
	return m.settings.Mode == ModeOverlay && m.consulAnswered && !m.consulExpired
}

// Tick ends hold-downs, confirms the removal of missing endpoints and lets Consul's entries expire. It returns the list for the
// balancer, and false if nothing has to be published.
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

// UpdateSettings changes the settings while the sidecar runs. If the mode changes it returns the new list for the balancer. The result
// is false if nothing has to be published.
func (m *Merger) UpdateSettings(now time.Duration, settings Settings) (List, bool) {
	previous := m.settings.Mode
	m.settings = settings
	if previous == settings.Mode {
		return List{}, false
	}
	m.logf("membership: the source is %s now, %s before", settings.Mode, previous)
	m.resetConsul()
	switch settings.Mode {
	case ModeConsul:
		m.fromCache = true // the current list stays in use until Consul's first answer
		return List{}, false
	case ModePlatform, ModeRehearsal:
		return m.publishPlatformEntries(now)
	}
	return m.publish(now, balancer.ListFull)
}

// resetConsul deletes what is known from Consul about all endpoints. It does not change what is published.
func (m *Merger) resetConsul() {
	m.consulAnswered = false
	m.consulExpired = false
	m.byAddress = map[string][]*endpointEntry{}
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

// RestartConsul treats the next answer of Consul as its first one. The caller uses it when the next answer may be for another service.
func (m *Merger) RestartConsul() { m.consulAnswered = false }

// sortedUIDs returns the uids of entries in ascending order.
func sortedUIDs(entries map[string]*endpointEntry) []string { return slices.Sorted(maps.Keys(entries)) }
