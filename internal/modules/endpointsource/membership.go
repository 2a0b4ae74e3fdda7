// Package endpointsource judges what sources of endpoints say: the platform's
// watch, Consul, the last known list. It makes the one list that the decision
// module is told. It does no I/O and reads no clock: each event comes with the
// time, counted from an arbitrary start.
//
// docs/design/consul.md states the rules; each stands here once.
package endpointsource

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/config/schema"
)

// Endpoint is what a source says of an endpoint. The names in JSON are those of the last known list on disk.
type Endpoint struct {
	UID       string                 `json:"UID"`     // the same from every source that means the same endpoint
	Address   string                 `json:"Address"` // host:port
	Zone      string                 `json:"Zone"`
	Model     string                 `json:"Model"`
	Cell      int                    `json:"Cell"`
	State     balancer.EndpointState `json:"State"` // of an entry of the platform's also Unknown
	Weight    float64                `json:"Weight"`
	StartedMS int64                  `json:"BootMS"` // latest start, Unix time in milliseconds; 0 for long ago

	// Only Consul's:
	Maintenance       bool    `json:"Maintenance"` // drained by an operator, not by a check
	WeightShare       float64 `json:"Share"`       // of the weight that it has when all is well: a warning may lower it
	RegistrationIndex uint64  `json:"Registered"`  // the index of its registration: a later one is a newer process
	StartUnknown      bool    `json:"NoBoot"`      // its start is not told
	Reason            string  `json:"Why"`         // why it is not ready, for people
}

// StateUnknown is the state of an entry whose state nobody knows; it is passed over.
const StateUnknown balancer.EndpointState = -1

// List is what changed, or all there is.
type List struct {
	Kind      balancer.ListKind // Delta, Whole or Cached
	Version   uint64
	Endpoints []Endpoint
}

// ConsulAnswer is what one answer of Consul's changes.
type ConsulAnswer struct {
	Changed     []Endpoint // new ones and those that changed
	Missing     []string   // uids that the answer lacks and the one before had
	KnownBefore int        // how many the one before had
	// Untrusted says that the answer comes from a server that may not know: what it lacks is not believed.
	Untrusted bool
	// ConfirmedMissing are uids that were missing before and that a consistent read of the catalogue lacks too. An
	// answer that has them has nothing else.
	ConfirmedMissing []string
	UnixMS           int64 // the time of day, for starts that are not told
}

// Mode tells which sources count.
type Mode string

// The modes.
const (
	ModePlatform  Mode = "platform"
	ModeConsul    Mode = "consul"
	ModeOverlay   Mode = "overlay"
	ModeRehearsal Mode = "rehearsal"
)

// Settings is how sources are judged.
type Settings struct {
	Mode             Mode
	FreeRecoveries   int
	FlapWindow       time.Duration
	InitialHoldDown  time.Duration
	MaxHoldDown      time.Duration
	ShrinkThreshold  float64
	ConfirmAfter     time.Duration
	ConsulTTL        time.Duration
	RestartThreshold time.Duration
}

// SettingsTable is [membership].
var SettingsTable = schema.NewTable("membership", "Which sources of endpoints count, and how they are judged.",
	schema.Choice("source", func(s *Settings) *Mode { return &s.Mode }, []Mode{ModePlatform, ModeConsul, ModeOverlay, ModeRehearsal}, ModePlatform, false, schema.OnReload,
		"platform: discovery alone; consul: Consul alone; overlay: Consul's health over discovery's list; rehearsal: discovery alone, and differences to Consul are logged."),
	schema.Int("free_returns", func(s *Settings) *int { return &s.FreeRecoveries },
		schema.Bounds[int]{Default: 2, Least: 0, Most: 100}, schema.OnReload,
		"How often within flap_window an endpoint may come back from critical at once."),
	schema.Duration("flap_window", func(s *Settings) *time.Duration { return &s.FlapWindow },
		schema.Bounds[time.Duration]{Default: 30 * time.Second, Least: time.Second, Most: time.Hour}, schema.OnReload,
		"See free_returns."),
	schema.Duration("first_hold", func(s *Settings) *time.Duration { return &s.InitialHoldDown },
		schema.Bounds[time.Duration]{Default: time.Second, Least: 0, Most: time.Minute}, schema.OnReload,
		"How long a further return waits; twice as long each time."),
	schema.Duration("longest_hold", func(s *Settings) *time.Duration { return &s.MaxHoldDown },
		schema.Bounds[time.Duration]{Default: 30 * time.Second, Least: 0, Most: time.Hour}, schema.OnReload,
		"The longest such wait."),
	schema.Float("shrink_share", func(s *Settings) *float64 { return &s.ShrinkThreshold },
		schema.Bounds[float64]{Default: 0.5, Least: 0.01, Most: 1}, schema.OnReload,
		"An answer that lacks this share of the endpoints before it, and more than two, is doubted."),
	schema.Duration("confirm_after", func(s *Settings) *time.Duration { return &s.ConfirmAfter },
		schema.Bounds[time.Duration]{Default: 10 * time.Second, Least: time.Second, Most: time.Hour}, schema.OnReload,
		"After this time of saying the same it is believed."),
	schema.Duration("word_holds", func(s *Settings) *time.Duration { return &s.ConsulTTL },
		schema.Bounds[time.Duration]{Default: time.Minute, Least: time.Second, Most: 24 * time.Hour}, schema.OnReload,
		"With source overlay: how long Consul's bad news hold after its last answer."),
	schema.Duration("restart_after", func(s *Settings) *time.Duration { return &s.RestartThreshold },
		schema.Bounds[time.Duration]{Default: 2 * time.Second, Least: 0, Most: time.Hour}, schema.OnReload,
		"An instance without a start time that was critical for so long counts as cold when it comes back."),
).Check(func(_ *schema.File, _ string, s *Settings, report schema.Reporter) {
	if s.MaxHoldDown < s.InitialHoldDown {
		report("longest_hold", "%s is shorter than first_hold, %s", schema.FormatDuration(s.MaxHoldDown), schema.FormatDuration(s.InitialHoldDown))
	}
})

// sourceEntry is all that is known of an endpoint.
type sourceEntry struct {
	platform     *Endpoint // what the platform says, nil if nothing
	consul       *Endpoint // what Consul says, nil if nothing
	missing      bool      // Consul's last answer lacks it, and that is not believed
	missingSince time.Duration

	unhealthySince time.Duration   // since when Consul has it not ready
	unhealthy      bool            // it has
	recoveries     []time.Duration // when it came back lately, the latest last
	holdDown       time.Duration   // how long the next return waits
	holdDownUntil  time.Duration   // until when it waits; 0 if it does not
	startedMS      int64           // its start as we count it, where none is told

	uid       string
	ready     bool      // as judged by itself, without regard to whether any other is
	published *Endpoint // what the module was told, nil if nothing or gone
	since     time.Duration
	reason    string // what the last word was
}

// Merger judges. The zero value is not to be used.
type Merger struct {
	settings  Settings
	zones     nameSet
	models    nameSet
	entries   map[string]*sourceEntry
	byAddress map[string][]*sourceEntry // with Consul's word, by its address
	heldDown  map[string]*sourceEntry   // with good news that waits
	missing   map[string]*sourceEntry   // that Consul lacks and that is not believed
	dirty     map[string]*sourceEntry   // of which something has changed since the module was told
	allDirty  bool                      // something has changed that concerns all

	consulAnswered   bool          // Consul has answered
	consulAnsweredAt time.Duration // and when last
	consulExpired    bool          // its bad news hold no more (overlay)
	fromCache        bool          // what the module has is the last known list
	published        bool          // the module has a list
	readyCount       int           // members that are ready as judged each by itself
	noneReady        bool          // none is, and those that are only critical go on
	version          uint64
	differences      map[string]string // rehearsal: differences that were logged
	logs             []string
}

// New begins with no endpoint known; zones and models are the names that the settings have.
func New(s Settings, zones, models []string) *Merger {
	return &Merger{
		settings: s, zones: newNames(zones), models: newNames(models), entries: map[string]*sourceEntry{}, byAddress: map[string][]*sourceEntry{}, differences: map[string]string{},
		heldDown: map[string]*sourceEntry{}, missing: map[string]*sourceEntry{}, dirty: map[string]*sourceEntry{},
	}
}

// PassesThrough tells whether the platform's lists go on to the module as they are.
func (m *Merger) PassesThrough() bool {
	return m.settings.Mode == ModePlatform || m.settings.Mode == ModeRehearsal
}

// Mode is the mode in force.
func (m *Merger) Mode() Mode { return m.settings.Mode }

// TakeLogs are lines for the operator since it was last asked.
func (m *Merger) TakeLogs() []string {
	lines := m.logs
	m.logs = nil
	return lines
}

func (m *Merger) logf(format string, args ...any) {
	const mostLines = 100 // of one event: a flood of changes must not become a flood of lines
	if len(m.logs) < mostLines {
		m.logs = append(m.logs, fmt.Sprintf(format, args...))
	} else if len(m.logs) == mostLines {
		m.logs = append(m.logs, "and more")
	}
}

func (m *Merger) touch(uid string) *sourceEntry {
	x := m.entries[uid]
	if x == nil {
		x = &sourceEntry{uid: uid}
		m.entries[uid] = x
	}
	m.dirty[uid] = x
	return x
}

// HandlePlatformList takes a list of the platform's that is to count. It returns what the module is to be told,
// false for nothing. In the modes that pass lists on it is the same list.
func (m *Merger) HandlePlatformList(now time.Duration, l List) (List, bool) {
	if l.Kind == balancer.ListCached && m.consulAnswered {
		return List{}, false // there is a better one
	}
	l.Endpoints = m.filterUsable("discovery", l.Endpoints)
	listed := map[string]bool{}
	for _, e := range l.Endpoints {
		listed[e.UID] = true
		x := m.touch(e.UID)
		if e.State == balancer.EndpointRemoved {
			x.platform = nil
			continue
		}
		x.platform = &e
	}
	if l.Kind != balancer.ListDelta {
		for uid, x := range m.entries {
			if !listed[uid] {
				x.platform = nil
				m.dirty[uid] = x
			}
		}
	}
	if m.PassesThrough() {
		m.publishPlatform(now)
		m.version = max(m.version, l.Version)
		return l, true
	}
	if m.settings.Mode == ModeConsul && l.Kind != balancer.ListCached {
		return List{}, false
	}
	return m.publish(now, l.Kind)
}

// publishPlatform notes what the module is told by a list that is passed on.
func (m *Merger) publishPlatform(now time.Duration) {
	m.logDifferences()
	for uid, x := range m.dirty {
		if x.platform == nil && x.published != nil {
			x.published, x.since, x.reason = nil, now, "the platform lists it no more"
		} else if x.platform != nil && (x.published == nil || !sameVerdict(x.published, x.platform)) {
			told := *x.platform
			x.published, x.since, x.reason = &told, now, "the platform says so"
		}
		m.forget(uid, x)
	}
	clear(m.dirty)
	m.published = true
}

// forget drops an endpoint that no source has. What it was is kept by nobody: an id that comes back is new.
func (m *Merger) forget(uid string, x *sourceEntry) {
	if x.platform != nil || x.consul != nil || x.published != nil {
		return
	}
	if x.ready {
		m.readyCount--
	}
	delete(m.entries, uid)
	delete(m.heldDown, uid)
	delete(m.missing, uid)
	delete(m.differences, uid)
}

// HandleConsulAnswer takes an answer of Consul's. It returns what the module is to be told, false for nothing.
func (m *Merger) HandleConsulAnswer(now time.Duration, a ConsulAnswer) (List, bool) {
	if len(a.ConfirmedMissing) > 0 {
		return m.handleConfirmedMissing(now, a.ConfirmedMissing)
	}
	first := !m.consulAnswered
	if first && len(a.Changed) == 0 && m.settings.Mode == ModeConsul {
		return List{}, false // a first answer without anybody says nothing: what is known goes on
	}
	m.allDirty = m.allDirty || first || m.consulExpired
	m.consulAnswered, m.consulAnsweredAt, m.consulExpired = true, now, false
	usable := m.filterUsable("consul", a.Changed)
	if len(usable) < len(a.Changed) {
		m.dropUnusable(a.Changed)
	}
	for _, e := range usable {
		m.applyConsulEntry(now, e, first, a.UnixMS)
	}
	missing := a.Missing
	if first {
		// What is known, by the last known list or by what Consul was asked before, is what its first answer is
		// measured by.
		here := make(map[string]bool, len(a.Changed))
		for _, e := range a.Changed {
			here[e.UID] = true
		}
		a.KnownBefore = 0
		for uid, x := range m.entries {
			if x.consul == nil && (x.published == nil || m.settings.Mode != ModeConsul) {
				continue
			}
			a.KnownBefore++
			switch {
			case here[uid]:
			case x.published != nil && slices.ContainsFunc(m.byAddress[x.published.Address], func(y *sourceEntry) bool { return here[y.uid] }):
				m.drop(uid, x) // Consul has it by another name
			default:
				missing = append(missing, uid)
			}
		}
	}
	// What it lacked before and lacks still counts with what it lacks now: a list that melts away in steps.
	if len(missing) > 0 {
		missing = slices.Clone(missing)
		for uid := range m.missing {
			missing = append(missing, uid)
		}
		slices.Sort(missing)
		missing = slices.Compact(missing)
	}
	lost := len(missing)
	doubt := a.Untrusted || lost > 2 && float64(lost) >= m.settings.ShrinkThreshold*float64(max(1, a.KnownBefore)) || lost > 0 && lost >= a.KnownBefore && a.KnownBefore > 0
	if doubt && lost > 0 {
		why := "too many at once"
		if a.Untrusted {
			why = "its server may not know"
		}
		m.logf("consul: an answer lacks %d of %d endpoints; not believed yet: %s", lost, max(a.KnownBefore, lost), why)
	}
	for _, uid := range missing {
		x := m.entries[uid]
		if x == nil {
			continue
		}
		switch {
		case !doubt:
			m.drop(uid, x)
		case !x.missing:
			x.missing, x.missingSince = true, now
			m.missing[uid], m.dirty[uid] = x, x
		}
	}
	if m.PassesThrough() {
		m.publishPlatform(now)
		return List{}, false
	}
	kind := balancer.ListDelta
	if first && m.settings.Mode == ModeConsul {
		kind = balancer.ListFull
	}
	return m.publish(now, kind)
}

// handleConfirmedMissing takes the catalogue's word that endpoints are gone which health lacks. Where nothing would be left,
// neither it nor time is believed: a Consul that has lost its data would end all service. What the attempts
// find out settles it then, one endpoint after another.
func (m *Merger) handleConfirmedMissing(now time.Duration, gone []string) (List, bool) {
	if !m.consulHasOthers() {
		return List{}, false
	}
	for _, uid := range gone {
		if x := m.missing[uid]; x != nil {
			m.drop(uid, x)
		}
	}
	if m.PassesThrough() {
		m.publishPlatform(now)
		return List{}, false
	}
	return m.publish(now, balancer.ListDelta)
}

// consulHasOthers tells whether Consul has any endpoint but those that it lacks.
func (m *Merger) consulHasOthers() bool {
	if m.settings.Mode != ModeConsul {
		return true // the platform's list is the set
	}
	for _, x := range m.entries {
		if x.consul != nil && !x.missing {
			return true
		}
	}
	return false
}

// dropUnusable takes out those that Consul has changed into what cannot be used: their old word is not true any more.
func (m *Merger) dropUnusable(changed []Endpoint) {
	for _, e := range changed {
		if x := m.entries[e.UID]; x != nil && !m.usable(&e) {
			m.drop(e.UID, x)
		}
	}
}

// drop believes that Consul has an endpoint no more.
func (m *Merger) drop(uid string, x *sourceEntry) {
	if x.consul != nil {
		m.leaveAddress(x)
	}
	x.consul, x.missing, x.unhealthy, x.holdDownUntil = nil, false, false, 0
	delete(m.missing, uid)
	delete(m.heldDown, uid)
	m.dirty[uid] = x
}

// leaveAddress takes a member out of those at its address.
func (m *Merger) leaveAddress(x *sourceEntry) {
	at := x.consul.Address
	for _, y := range m.byAddress[at] {
		m.dirty[y.uid] = y // another one may be the newest there now
	}
	if rest := slices.DeleteFunc(m.byAddress[at], func(y *sourceEntry) bool { return y == x }); len(rest) > 0 {
		m.byAddress[at] = rest
	} else {
		delete(m.byAddress, at)
	}
}

// applyConsulEntry takes Consul's word on one endpoint.
func (m *Merger) applyConsulEntry(now time.Duration, e Endpoint, first bool, unixMS int64) {
	x := m.touch(e.UID)
	was := x.consul
	x.missing = false
	delete(m.missing, e.UID)
	if was != nil {
		m.leaveAddress(x)
	}
	m.byAddress[e.Address] = append(m.byAddress[e.Address], x)
	for _, y := range m.byAddress[e.Address] {
		m.dirty[y.uid] = y
	}
	bad := e.State != balancer.EndpointReady
	switch {
	case bad && !x.unhealthy:
		x.unhealthySince, x.holdDownUntil = now, 0
		delete(m.heldDown, e.UID)
	case !bad && x.unhealthy:
		m.holdDownFlapping(now, x)
	}
	if e.StartUnknown {
		// No start is told: these are what a start looks like from outside.
		anew := was == nil && !first || was != nil && (was.Address != e.Address || was.RegistrationIndex != e.RegistrationIndex) ||
			!bad && x.unhealthy && now-x.unhealthySince >= m.settings.RestartThreshold
		if anew {
			x.startedMS = unixMS
		}
		e.StartedMS = x.startedMS
	}
	x.unhealthy = bad
	x.consul = &e
}

// holdDownFlapping weighs the good news of a check that has been bad.
func (m *Merger) holdDownFlapping(now time.Duration, x *sourceEntry) {
	x.recoveries = append(x.recoveries, now)
	x.recoveries = slices.DeleteFunc(x.recoveries, func(at time.Duration) bool { return now-at > m.settings.FlapWindow })
	if len(x.recoveries) <= m.settings.FreeRecoveries {
		x.holdDown = 0
		return
	}
	x.recoveries = x.recoveries[len(x.recoveries)-m.settings.FreeRecoveries-1:] // more are of no use, and flapping must not make it grow
	x.holdDown = min(cmp.Or(2*x.holdDown, m.settings.InitialHoldDown), m.settings.MaxHoldDown)
	x.holdDownUntil = now + x.holdDown
	m.heldDown[x.uid] = x
}

// HandleConnectFailure tells that an attempt to an endpoint could not connect: of one that Consul lacks it settles the doubt.
func (m *Merger) HandleConnectFailure(now time.Duration, uid string) (List, bool) {
	x := m.entries[uid]
	if x == nil || !x.missing || m.PassesThrough() {
		return List{}, false
	}
	m.drop(uid, x)
	return m.publish(now, balancer.ListDelta)
}

// HasUnconfirmed tells whether something is not believed, so that Failed may settle it.
func (m *Merger) HasUnconfirmed() bool { return len(m.missing) > 0 }

// NextTick is when Tick is to be called next, false if it is not.
func (m *Merger) NextTick() (at time.Duration, ok bool) {
	if m.PassesThrough() {
		return 0, false
	}
	sooner := func(t time.Duration) {
		if !ok || t < at {
			at, ok = t, true
		}
	}
	for _, x := range m.heldDown {
		sooner(x.holdDownUntil)
	}
	for _, x := range m.missing {
		sooner(x.missingSince + m.settings.ConfirmAfter)
	}
	if m.settings.Mode == ModeOverlay && m.consulAnswered && !m.consulExpired {
		sooner(m.consulAnsweredAt + m.settings.ConsulTTL)
	}
	return at, ok
}

// Tick does what is due.
func (m *Merger) Tick(now time.Duration) (List, bool) {
	for uid, x := range m.heldDown {
		if now >= x.holdDownUntil {
			x.holdDownUntil = 0
			delete(m.heldDown, uid)
			m.dirty[uid] = x
		}
	}
	for uid, x := range m.missing {
		// Answers may have stopped coming: only one that came since counts as saying so still.
		if now >= x.missingSince+m.settings.ConfirmAfter {
			if m.consulAnsweredAt > x.missingSince && m.consulHasOthers() {
				m.drop(uid, x)
			} else {
				x.missingSince = now
			}
		}
	}
	if m.settings.Mode == ModeOverlay && m.consulAnswered && !m.consulExpired && now >= m.consulAnsweredAt+m.settings.ConsulTTL {
		m.consulExpired, m.allDirty = true, true
		m.logf("consul: no answer for %s; its word counts no more, the platform's alone does", m.settings.ConsulTTL)
	}
	if m.PassesThrough() {
		return List{}, false
	}
	return m.publish(now, balancer.ListDelta)
}

// HandleConsulUnchanged tells that Consul has answered with nothing new: its word is fresh.
func (m *Merger) HandleConsulUnchanged(now time.Duration) (List, bool) {
	if !m.consulAnswered {
		return m.HandleConsulAnswer(now, ConsulAnswer{})
	}
	m.consulAnsweredAt = now
	if m.consulExpired {
		m.consulExpired, m.allDirty = false, true
		if !m.PassesThrough() {
			return m.publish(now, balancer.ListDelta)
		}
	}
	return List{}, false
}

// evaluate says what an endpoint is to be for the module, nil for gone, and why.
func (m *Merger) evaluate(x *sourceEntry) (*Endpoint, string) {
	base, why := x.platform, "the platform says so"
	if m.settings.Mode == ModeConsul {
		if x.consul == nil {
			if x.platform != nil && (m.fromCache || x.missing) {
				e := *x.platform
				return &e, "the last known list has it"
			}
			if x.platform != nil {
				return nil, "only the platform lists it, and the source is consul"
			}
			return nil, "consul lists it no more"
		}
		base, why = x.consul, "consul says so"
	}
	if base == nil {
		return nil, "the platform lists it no more"
	}
	e := *base
	if x.consul == nil || m.settings.Mode == ModeOverlay && m.consulExpired {
		return &e, why
	}
	switch {
	case x.consul.State != balancer.EndpointReady:
		e.State, why = balancer.EndpointDraining, x.consul.Reason
	case x.holdDownUntil > 0:
		e.State, why = balancer.EndpointDraining, fmt.Sprintf("its check flaps; held back for %s", x.holdDown)
	case m.settings.Mode == ModeOverlay:
		if e.State == balancer.EndpointReady && x.consul.WeightShare > 0 && x.consul.WeightShare < 1 {
			e.Weight *= x.consul.WeightShare // a warning
			why = x.consul.Reason
		}
	case x.missing:
		why = "consul's last answer lacks it; not believed yet"
	}
	if m.settings.Mode == ModeConsul {
		for _, other := range m.byAddress[x.consul.Address] {
			if other != x && supersedes(other.consul, x.consul) {
				e.State, why = balancer.EndpointDraining, fmt.Sprintf("%s has the same address and was registered later", other.consul.UID)
			}
		}
	}
	return &e, why
}

// supersedes tells which of two instances at one address stands for the process that is there.
func supersedes(a, b *Endpoint) bool {
	if a.RegistrationIndex != b.RegistrationIndex {
		return a.RegistrationIndex > b.RegistrationIndex
	}
	return a.UID > b.UID
}

// onlyCritical tells whether nothing but a check stands against an endpoint.
func (m *Merger) onlyCritical(x *sourceEntry) bool {
	if x.consul == nil || x.consul.Maintenance || x.consul.State != balancer.EndpointDraining && x.holdDownUntil == 0 {
		return false
	}
	if m.settings.Mode == ModeOverlay {
		return x.platform != nil && x.platform.State == balancer.EndpointReady
	}
	for _, other := range m.byAddress[x.consul.Address] {
		if other != x && supersedes(other.consul, x.consul) {
			return false
		}
	}
	return true
}

// publish brings what the module was told up to what holds now. It looks at what has changed alone, unless
// something has changed that concerns all.
func (m *Merger) publish(now time.Duration, kind balancer.ListKind) (List, bool) {
	m.fromCache = kind == balancer.ListCached || m.fromCache && !m.consulAnswered && m.settings.Mode == ModeConsul
	whole := kind != balancer.ListDelta || !m.published
	if whole && kind == balancer.ListDelta {
		kind = balancer.ListFull
	}
	look := m.dirty
	if whole || m.allDirty {
		look = m.entries
	}
	for _, x := range look {
		m.countReady(x)
	}
	// Checks alone would end all service where nobody is ready: go on then, and let the attempts tell. Those
	// that are merely held back go before those that are critical.
	heldOnly := false
	if m.noneReady || m.readyCount == 0 {
		look = m.entries
		for _, x := range m.heldDown {
			heldOnly = heldOnly || m.onlyCritical(x)
		}
	}
	m.noneReady = m.readyCount == 0
	out := List{Kind: kind, Version: m.version + 1}
	uids := slices.Sorted(maps.Keys(look))
	for _, uid := range uids {
		x := m.entries[uid]
		if x == nil {
			continue
		}
		e, why := m.evaluate(x)
		if m.noneReady && e != nil && m.onlyCritical(x) && (x.holdDownUntil > 0 || !heldOnly) {
			e.State, e.Weight = balancer.EndpointReady, cmp.Or(max(0, e.Weight), 1)
			why = "no endpoint is ready, so checks alone are not believed (" + why + ")"
		}
		same := e == nil && x.published == nil || e != nil && x.published != nil && sameVerdict(e, x.published)
		if !same {
			x.since = now
		}
		x.reason = why
		switch {
		case e != nil && (whole || !same):
			out.Endpoints = append(out.Endpoints, *e)
		case e == nil && !same && !whole:
			gone := *x.published
			gone.State = balancer.EndpointRemoved
			out.Endpoints = append(out.Endpoints, gone)
		}
		x.published = e
		m.forget(uid, x)
	}
	clear(m.dirty)
	m.allDirty = false
	if !whole && len(out.Endpoints) == 0 {
		return List{}, false
	}
	m.published = true
	m.version++
	return out, true
}

// countReady keeps the number of those that are ready up to date.
func (m *Merger) countReady(x *sourceEntry) {
	e, _ := m.evaluate(x)
	if ready := e != nil && e.State == balancer.EndpointReady; ready != x.ready {
		x.ready = ready
		if ready {
			m.readyCount++
		} else {
			m.readyCount--
		}
	}
}

// sameVerdict tells whether two verdicts are the same for the module.
func sameVerdict(a, b *Endpoint) bool {
	x, y := *a, *b
	x.Reason, y.Reason, x.RegistrationIndex, y.RegistrationIndex, x.WeightShare, y.WeightShare = "", "", 0, 0, 0, 0
	x.StartUnknown, y.StartUnknown, x.Maintenance, y.Maintenance = false, false, false, false
	return x == y
}

// logDifferences logs, for a rehearsal, where Consul would say otherwise than the platform does.
func (m *Merger) logDifferences() {
	if m.settings.Mode != ModeRehearsal || !m.consulAnswered {
		return
	}
	look := m.dirty
	if m.allDirty {
		look, m.allDirty = m.entries, false
	}
	for _, uid := range slices.Sorted(maps.Keys(look)) {
		x := look[uid]
		word := ""
		switch {
		case x.platform != nil && x.consul == nil:
			word = "only the platform lists it"
		case x.platform == nil && x.consul != nil:
			word = "only consul lists it"
		case x.platform == nil:
		case x.platform.State != x.consul.State:
			word = fmt.Sprintf("the platform has it %s, consul %s %s", StateName(x.platform.State), StateName(x.consul.State), x.consul.Reason)
		case x.platform.Address != x.consul.Address:
			word = fmt.Sprintf("the platform has it at %s, consul at %s", x.platform.Address, x.consul.Address)
		}
		if word == m.differences[uid] {
			continue
		}
		if word == "" {
			delete(m.differences, uid)
			m.logf("rehearsal: %s: both agree again", uid)
		} else {
			m.differences[uid] = word
			m.logf("rehearsal: %s: %s", uid, word)
		}
	}
}

// StateName is a state in words.
func StateName(s balancer.EndpointState) string {
	switch s {
	case balancer.EndpointReady:
		return "ready"
	case balancer.EndpointDraining:
		return "draining"
	case balancer.EndpointRemoved:
		return "gone"
	}
	return "unknown"
}

// Row is an endpoint as it is shown to people.
type Row struct {
	UID      string  `json:"uid"`
	Address  string  `json:"address"`
	State    string  `json:"state"`
	Weight   float64 `json:"weight"`
	Platform string  `json:"platform,omitempty"` // the platform's word, empty if it has none
	Consul   string  `json:"consul,omitempty"`
	Why      string  `json:"why"`
	AgoMS    int64   `json:"ago_ms"` // since when it is so
}

// Rows is all endpoints, by uid.
func (m *Merger) Rows(now time.Duration) []Row {
	var rows []Row
	for uid, x := range m.entries {
		r := Row{UID: uid, State: "gone", Why: x.reason, AgoMS: (now - x.since).Milliseconds()}
		if x.published != nil {
			r.Address, r.State, r.Weight = x.published.Address, StateName(x.published.State), x.published.Weight
		}
		if x.platform != nil {
			r.Platform = StateName(x.platform.State)
			r.Address = cmp.Or(r.Address, x.platform.Address)
		}
		if x.consul != nil {
			r.Consul = StateName(x.consul.State)
			r.Address = cmp.Or(r.Address, x.consul.Address)
		}
		rows = append(rows, r)
	}
	slices.SortFunc(rows, func(a, b Row) int { return cmp.Compare(a.UID, b.UID) })
	return rows
}

// RestartConsul tells that Consul is asked anew, perhaps for another service: its next answer is its first.
func (m *Merger) RestartConsul() { m.consulAnswered = false }

// UpdateSettings changes the settings while running. The list is told anew under the new mode.
func (m *Merger) UpdateSettings(now time.Duration, s Settings) (List, bool) {
	if s == m.settings {
		return List{}, false
	}
	old := m.settings.Mode
	m.settings = s
	if old == s.Mode {
		return List{}, false
	}
	m.logf("membership: the source is %s now, %s before", s.Mode, old)
	// Consul is asked anew, or no more, and by other names; what it said is forgotten, but not what serves.
	m.consulAnswered, m.consulExpired, m.byAddress = false, false, map[string][]*sourceEntry{}
	clear(m.heldDown)
	clear(m.missing)
	clear(m.differences)
	for uid, x := range m.entries {
		x.consul, x.missing, x.unhealthy, x.holdDownUntil, x.holdDown, x.recoveries = nil, false, false, 0, 0, nil
		m.dirty[uid] = x
	}
	m.allDirty = true
	if m.settings.Mode == ModeConsul {
		m.fromCache = true // until Consul's first answer what is known goes on
		return List{}, false
	}
	if m.PassesThrough() {
		var l List
		l.Kind, l.Version = balancer.ListFull, m.version+1
		for _, uid := range slices.Sorted(maps.Keys(m.entries)) {
			if x := m.entries[uid]; x.platform != nil {
				l.Endpoints = append(l.Endpoints, *x.platform)
			}
			m.dirty[uid] = m.entries[uid]
		}
		if len(l.Endpoints) == 0 {
			return List{}, false // nothing of the platform's is known: what serves goes on until its next list
		}
		m.publishPlatform(now)
		m.version = l.Version
		return l, true
	}
	return m.publish(now, balancer.ListFull)
}
