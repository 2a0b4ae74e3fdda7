// Package endpointsource judges what sources of endpoints say: the platform's
// watch, Consul, the last known list. It makes the one list that the decision
// module is told. It does no I/O and reads no clock: each event comes with the
// time, counted from an arbitrary start.
//
// docs/consul-design.md states the rules; each stands here once.
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
	UID     string                 `json:"UID"`     // the same from every source that means the same endpoint
	Address string                 `json:"Address"` // host:port
	Zone    string                 `json:"Zone"`
	Model   string                 `json:"Model"`
	Cell    int                    `json:"Cell"`
	State   balancer.EndpointState `json:"State"` // of an entry of the platform's also Unknown
	Weight  float64                `json:"Weight"`
	BootMS  int64                  `json:"BootMS"` // latest start, Unix time in milliseconds; 0 for long ago

	// Only Consul's:
	Maintenance bool    `json:"Maintenance"` // drained by an operator, not by a check
	Share       float64 `json:"Share"`       // of the weight that it has when all is well: a warning may lower it
	Registered  uint64  `json:"Registered"`  // the index of its registration: a later one is a newer process
	NoBoot      bool    `json:"NoBoot"`      // its start is not told
	Why         string  `json:"Why"`         // why it is not ready, for people
}

// Unknown is the state of an entry whose state nobody knows; it is passed over.
const Unknown balancer.EndpointState = -1

// List is what changed, or all there is.
type List struct {
	Kind      balancer.ListKind // Delta, Whole or Cached
	Version   uint64
	Endpoints []Endpoint
}

// Answer is what one answer of Consul's changes.
type Answer struct {
	Changed []Endpoint // new ones and those that changed
	Missing []string   // uids that the answer lacks and the one before had
	Known   int        // how many the one before had
	// Doubtful says that the answer comes from a server that may not know: what it lacks is not believed.
	Doubtful bool
	// Confirmed are uids that were missing before and that a consistent read of the catalogue lacks too. An
	// answer that has them has nothing else.
	Confirmed []string
	UnixMS    int64 // the time of day, for starts that are not told
}

// Mode tells which sources count.
type Mode string

// The modes.
const (
	Platform  Mode = "platform"
	Consul    Mode = "consul"
	Overlay   Mode = "overlay"
	Rehearsal Mode = "rehearsal"
)

// Settings is how sources are judged.
type Settings struct {
	Mode         Mode
	FreeReturns  int
	FlapWindow   time.Duration
	FirstHold    time.Duration
	LongestHold  time.Duration
	ShrinkShare  float64
	ConfirmAfter time.Duration
	WordHolds    time.Duration
	RestartAfter time.Duration
}

// Table is [membership].
var Table = schema.NewTable("membership", "Which sources of endpoints count, and how they are judged.",
	schema.Choice("source", func(s *Settings) *Mode { return &s.Mode }, []Mode{Platform, Consul, Overlay, Rehearsal}, Platform, false, schema.OnReload,
		"platform: discovery alone; consul: Consul alone; overlay: Consul's health over discovery's list; rehearsal: discovery alone, and differences to Consul are logged."),
	schema.Int("free_returns", func(s *Settings) *int { return &s.FreeReturns },
		schema.Bounds[int]{Default: 2, Least: 0, Most: 100}, schema.OnReload,
		"How often within flap_window an endpoint may come back from critical at once."),
	schema.Duration("flap_window", func(s *Settings) *time.Duration { return &s.FlapWindow },
		schema.Bounds[time.Duration]{Default: 30 * time.Second, Least: time.Second, Most: time.Hour}, schema.OnReload,
		"See free_returns."),
	schema.Duration("first_hold", func(s *Settings) *time.Duration { return &s.FirstHold },
		schema.Bounds[time.Duration]{Default: time.Second, Least: 0, Most: time.Minute}, schema.OnReload,
		"How long a further return waits; twice as long each time."),
	schema.Duration("longest_hold", func(s *Settings) *time.Duration { return &s.LongestHold },
		schema.Bounds[time.Duration]{Default: 30 * time.Second, Least: 0, Most: time.Hour}, schema.OnReload,
		"The longest such wait."),
	schema.Float("shrink_share", func(s *Settings) *float64 { return &s.ShrinkShare },
		schema.Bounds[float64]{Default: 0.5, Least: 0.01, Most: 1}, schema.OnReload,
		"An answer that lacks this share of the endpoints before it, and more than two, is doubted."),
	schema.Duration("confirm_after", func(s *Settings) *time.Duration { return &s.ConfirmAfter },
		schema.Bounds[time.Duration]{Default: 10 * time.Second, Least: time.Second, Most: time.Hour}, schema.OnReload,
		"After this time of saying the same it is believed."),
	schema.Duration("word_holds", func(s *Settings) *time.Duration { return &s.WordHolds },
		schema.Bounds[time.Duration]{Default: time.Minute, Least: time.Second, Most: 24 * time.Hour}, schema.OnReload,
		"With source overlay: how long Consul's bad news hold after its last answer."),
	schema.Duration("restart_after", func(s *Settings) *time.Duration { return &s.RestartAfter },
		schema.Bounds[time.Duration]{Default: 2 * time.Second, Least: 0, Most: time.Hour}, schema.OnReload,
		"An instance without a start time that was critical for so long counts as cold when it comes back."),
).Check(func(_ *schema.File, _ string, s *Settings, report schema.Reporter) {
	if s.LongestHold < s.FirstHold {
		report("longest_hold", "%s is shorter than first_hold, %s", schema.FormatDuration(s.LongestHold), schema.FormatDuration(s.FirstHold))
	}
})

// member is all that is known of an endpoint.
type member struct {
	platform *Endpoint // what the platform says, nil if nothing
	consul   *Endpoint // what Consul says, nil if nothing
	lacking  bool      // Consul's last answer lacks it, and that is not believed
	lackedAt time.Duration

	badSince time.Duration   // since when Consul has it not ready
	bad      bool            // it has
	returns  []time.Duration // when it came back lately, the latest last
	hold     time.Duration   // how long the next return waits
	heldTill time.Duration   // until when it waits; 0 if it does not
	bootMS   int64           // its start as we count it, where none is told

	uid   string
	ready bool      // as judged by itself, without regard to whether any other is
	told  *Endpoint // what the module was told, nil if nothing or gone
	since time.Duration
	why   string // what the last word was
}

// Members judges. The zero value is not to be used.
type Members struct {
	set     Settings
	zones   names
	models  names
	members map[string]*member
	byAddr  map[string][]*member // with Consul's word, by its address
	held    map[string]*member   // with good news that waits
	lacking map[string]*member   // that Consul lacks and that is not believed
	dirty   map[string]*member   // of which something has changed since the module was told
	stale   bool                 // something has changed that concerns all

	heard    bool          // Consul has answered
	heardAt  time.Duration // and when last
	expired  bool          // its bad news hold no more (overlay)
	cached   bool          // what the module has is the last known list
	listed   bool          // the module has a list
	ready    int           // members that are ready as judged each by itself
	spared   bool          // none is, and those that are only critical go on
	version  uint64
	diverged map[string]string // rehearsal: differences that were logged
	log      []string
}

// New begins with no endpoint known; zones and models are the names that the settings have.
func New(s Settings, zones, models []string) *Members {
	return &Members{
		set: s, zones: newNames(zones), models: newNames(models), members: map[string]*member{}, byAddr: map[string][]*member{}, diverged: map[string]string{},
		held: map[string]*member{}, lacking: map[string]*member{}, dirty: map[string]*member{},
	}
}

// Passes tells whether the platform's lists go on to the module as they are.
func (m *Members) Passes() bool { return m.set.Mode == Platform || m.set.Mode == Rehearsal }

// Mode is the mode in force.
func (m *Members) Mode() Mode { return m.set.Mode }

// Logs are lines for the operator since it was last asked.
func (m *Members) Logs() []string {
	lines := m.log
	m.log = nil
	return lines
}

func (m *Members) logf(format string, args ...any) {
	const mostLines = 100 // of one event: a flood of changes must not become a flood of lines
	if len(m.log) < mostLines {
		m.log = append(m.log, fmt.Sprintf(format, args...))
	} else if len(m.log) == mostLines {
		m.log = append(m.log, "and more")
	}
}

func (m *Members) get(uid string) *member {
	x := m.members[uid]
	if x == nil {
		x = &member{uid: uid}
		m.members[uid] = x
	}
	m.dirty[uid] = x
	return x
}

// FromPlatform takes a list of the platform's that is to count. It returns what the module is to be told,
// false for nothing. In the modes that pass lists on it is the same list.
func (m *Members) FromPlatform(now time.Duration, l List) (List, bool) {
	if l.Kind == balancer.ListCached && m.heard {
		return List{}, false // there is a better one
	}
	l.Endpoints = m.sift("discovery", l.Endpoints)
	listed := map[string]bool{}
	for _, e := range l.Endpoints {
		listed[e.UID] = true
		x := m.get(e.UID)
		if e.State == balancer.EndpointRemoved {
			x.platform = nil
			continue
		}
		x.platform = &e
	}
	if l.Kind != balancer.ListDelta {
		for uid, x := range m.members {
			if !listed[uid] {
				x.platform = nil
				m.dirty[uid] = x
			}
		}
	}
	if m.Passes() {
		m.passed(now)
		m.version = max(m.version, l.Version)
		return l, true
	}
	if m.set.Mode == Consul && l.Kind != balancer.ListCached {
		return List{}, false
	}
	return m.settle(now, l.Kind)
}

// passed notes what the module is told by a list that is passed on.
func (m *Members) passed(now time.Duration) {
	m.compare()
	for uid, x := range m.dirty {
		if x.platform == nil && x.told != nil {
			x.told, x.since, x.why = nil, now, "the platform lists it no more"
		} else if x.platform != nil && (x.told == nil || !sameWord(x.told, x.platform)) {
			told := *x.platform
			x.told, x.since, x.why = &told, now, "the platform says so"
		}
		m.forget(uid, x)
	}
	clear(m.dirty)
	m.listed = true
}

// forget drops an endpoint that no source has. What it was is kept by nobody: an id that comes back is new.
func (m *Members) forget(uid string, x *member) {
	if x.platform != nil || x.consul != nil || x.told != nil {
		return
	}
	if x.ready {
		m.ready--
	}
	delete(m.members, uid)
	delete(m.held, uid)
	delete(m.lacking, uid)
	delete(m.diverged, uid)
}

// FromConsul takes an answer of Consul's. It returns what the module is to be told, false for nothing.
func (m *Members) FromConsul(now time.Duration, a Answer) (List, bool) {
	if len(a.Confirmed) > 0 {
		return m.confirmed(now, a.Confirmed)
	}
	first := !m.heard
	if first && len(a.Changed) == 0 && m.set.Mode == Consul {
		return List{}, false // a first answer without anybody says nothing: what is known goes on
	}
	m.stale = m.stale || first || m.expired
	m.heard, m.heardAt, m.expired = true, now, false
	usable := m.sift("consul", a.Changed)
	if len(usable) < len(a.Changed) {
		m.unusable(a.Changed)
	}
	for _, e := range usable {
		m.consulSays(now, e, first, a.UnixMS)
	}
	missing := a.Missing
	if first {
		// What is known, by the last known list or by what Consul was asked before, is what its first answer is
		// measured by.
		here := make(map[string]bool, len(a.Changed))
		for _, e := range a.Changed {
			here[e.UID] = true
		}
		a.Known = 0
		for uid, x := range m.members {
			if x.consul == nil && (x.told == nil || m.set.Mode != Consul) {
				continue
			}
			a.Known++
			switch {
			case here[uid]:
			case x.told != nil && slices.ContainsFunc(m.byAddr[x.told.Address], func(y *member) bool { return here[y.uid] }):
				m.drop(uid, x) // Consul has it by another name
			default:
				missing = append(missing, uid)
			}
		}
	}
	// What it lacked before and lacks still counts with what it lacks now: a list that melts away in steps.
	if len(missing) > 0 {
		missing = slices.Clone(missing)
		for uid := range m.lacking {
			missing = append(missing, uid)
		}
		slices.Sort(missing)
		missing = slices.Compact(missing)
	}
	lost := len(missing)
	doubt := a.Doubtful || lost > 2 && float64(lost) >= m.set.ShrinkShare*float64(max(1, a.Known)) || lost > 0 && lost >= a.Known && a.Known > 0
	if doubt && lost > 0 {
		why := "too many at once"
		if a.Doubtful {
			why = "its server may not know"
		}
		m.logf("consul: an answer lacks %d of %d endpoints; not believed yet: %s", lost, max(a.Known, lost), why)
	}
	for _, uid := range missing {
		x := m.members[uid]
		if x == nil {
			continue
		}
		switch {
		case !doubt:
			m.drop(uid, x)
		case !x.lacking:
			x.lacking, x.lackedAt = true, now
			m.lacking[uid], m.dirty[uid] = x, x
		}
	}
	if m.Passes() {
		m.passed(now)
		return List{}, false
	}
	kind := balancer.ListDelta
	if first && m.set.Mode == Consul {
		kind = balancer.ListFull
	}
	return m.settle(now, kind)
}

// confirmed takes the catalogue's word that endpoints are gone which health lacks. Where nothing would be left,
// neither it nor time is believed: a Consul that has lost its data would end all service. What the attempts
// find out settles it then, one endpoint after another.
func (m *Members) confirmed(now time.Duration, gone []string) (List, bool) {
	if !m.solid() {
		return List{}, false
	}
	for _, uid := range gone {
		if x := m.lacking[uid]; x != nil {
			m.drop(uid, x)
		}
	}
	if m.Passes() {
		m.passed(now)
		return List{}, false
	}
	return m.settle(now, balancer.ListDelta)
}

// solid tells whether Consul has any endpoint but those that it lacks.
func (m *Members) solid() bool {
	if m.set.Mode != Consul {
		return true // the platform's list is the set
	}
	for _, x := range m.members {
		if x.consul != nil && !x.lacking {
			return true
		}
	}
	return false
}

// unusable takes out those that Consul has changed into what cannot be used: their old word is not true any more.
func (m *Members) unusable(changed []Endpoint) {
	for _, e := range changed {
		if x := m.members[e.UID]; x != nil && !m.usable(&e) {
			m.drop(e.UID, x)
		}
	}
}

// drop believes that Consul has an endpoint no more.
func (m *Members) drop(uid string, x *member) {
	if x.consul != nil {
		m.leave(x)
	}
	x.consul, x.lacking, x.bad, x.heldTill = nil, false, false, 0
	delete(m.lacking, uid)
	delete(m.held, uid)
	m.dirty[uid] = x
}

// leave takes a member out of those at its address.
func (m *Members) leave(x *member) {
	at := x.consul.Address
	for _, y := range m.byAddr[at] {
		m.dirty[y.uid] = y // another one may be the newest there now
	}
	if rest := slices.DeleteFunc(m.byAddr[at], func(y *member) bool { return y == x }); len(rest) > 0 {
		m.byAddr[at] = rest
	} else {
		delete(m.byAddr, at)
	}
}

// consulSays takes Consul's word on one endpoint.
func (m *Members) consulSays(now time.Duration, e Endpoint, first bool, unixMS int64) {
	x := m.get(e.UID)
	was := x.consul
	x.lacking = false
	delete(m.lacking, e.UID)
	if was != nil {
		m.leave(x)
	}
	m.byAddr[e.Address] = append(m.byAddr[e.Address], x)
	for _, y := range m.byAddr[e.Address] {
		m.dirty[y.uid] = y
	}
	bad := e.State != balancer.EndpointReady
	switch {
	case bad && !x.bad:
		x.badSince, x.heldTill = now, 0
		delete(m.held, e.UID)
	case !bad && x.bad:
		m.comesBack(now, x)
	}
	if e.NoBoot {
		// No start is told: these are what a start looks like from outside.
		anew := was == nil && !first || was != nil && (was.Address != e.Address || was.Registered != e.Registered) ||
			!bad && x.bad && now-x.badSince >= m.set.RestartAfter
		if anew {
			x.bootMS = unixMS
		}
		e.BootMS = x.bootMS
	}
	x.bad = bad
	x.consul = &e
}

// comesBack weighs the good news of a check that has been bad.
func (m *Members) comesBack(now time.Duration, x *member) {
	x.returns = append(x.returns, now)
	x.returns = slices.DeleteFunc(x.returns, func(at time.Duration) bool { return now-at > m.set.FlapWindow })
	if len(x.returns) <= m.set.FreeReturns {
		x.hold = 0
		return
	}
	x.returns = x.returns[len(x.returns)-m.set.FreeReturns-1:] // more are of no use, and flapping must not make it grow
	x.hold = min(cmp.Or(2*x.hold, m.set.FirstHold), m.set.LongestHold)
	x.heldTill = now + x.hold
	m.held[x.uid] = x
}

// Failed tells that an attempt to an endpoint could not connect: of one that Consul lacks it settles the doubt.
func (m *Members) Failed(now time.Duration, uid string) (List, bool) {
	x := m.members[uid]
	if x == nil || !x.lacking || m.Passes() {
		return List{}, false
	}
	m.drop(uid, x)
	return m.settle(now, balancer.ListDelta)
}

// Doubts tells whether something is not believed, so that Failed may settle it.
func (m *Members) Doubts() bool { return len(m.lacking) > 0 }

// Due is when Tick is to be called next, false if it is not.
func (m *Members) Due() (at time.Duration, ok bool) {
	if m.Passes() {
		return 0, false
	}
	sooner := func(t time.Duration) {
		if !ok || t < at {
			at, ok = t, true
		}
	}
	for _, x := range m.held {
		sooner(x.heldTill)
	}
	for _, x := range m.lacking {
		sooner(x.lackedAt + m.set.ConfirmAfter)
	}
	if m.set.Mode == Overlay && m.heard && !m.expired {
		sooner(m.heardAt + m.set.WordHolds)
	}
	return at, ok
}

// Tick does what is due.
func (m *Members) Tick(now time.Duration) (List, bool) {
	for uid, x := range m.held {
		if now >= x.heldTill {
			x.heldTill = 0
			delete(m.held, uid)
			m.dirty[uid] = x
		}
	}
	for uid, x := range m.lacking {
		// Answers may have stopped coming: only one that came since counts as saying so still.
		if now >= x.lackedAt+m.set.ConfirmAfter {
			if m.heardAt > x.lackedAt && m.solid() {
				m.drop(uid, x)
			} else {
				x.lackedAt = now
			}
		}
	}
	if m.set.Mode == Overlay && m.heard && !m.expired && now >= m.heardAt+m.set.WordHolds {
		m.expired, m.stale = true, true
		m.logf("consul: no answer for %s; its word counts no more, the platform's alone does", m.set.WordHolds)
	}
	if m.Passes() {
		return List{}, false
	}
	return m.settle(now, balancer.ListDelta)
}

// Heard tells that Consul has answered with nothing new: its word is fresh.
func (m *Members) Heard(now time.Duration) (List, bool) {
	if !m.heard {
		return m.FromConsul(now, Answer{})
	}
	m.heardAt = now
	if m.expired {
		m.expired, m.stale = false, true
		if !m.Passes() {
			return m.settle(now, balancer.ListDelta)
		}
	}
	return List{}, false
}

// judge says what an endpoint is to be for the module, nil for gone, and why.
func (m *Members) judge(x *member) (*Endpoint, string) {
	base, why := x.platform, "the platform says so"
	if m.set.Mode == Consul {
		if x.consul == nil {
			if x.platform != nil && (m.cached || x.lacking) {
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
	if x.consul == nil || m.set.Mode == Overlay && m.expired {
		return &e, why
	}
	switch {
	case x.consul.State != balancer.EndpointReady:
		e.State, why = balancer.EndpointDraining, x.consul.Why
	case x.heldTill > 0:
		e.State, why = balancer.EndpointDraining, fmt.Sprintf("its check flaps; held back for %s", x.hold)
	case m.set.Mode == Overlay:
		if e.State == balancer.EndpointReady && x.consul.Share > 0 && x.consul.Share < 1 {
			e.Weight *= x.consul.Share // a warning
			why = x.consul.Why
		}
	case x.lacking:
		why = "consul's last answer lacks it; not believed yet"
	}
	if m.set.Mode == Consul {
		for _, other := range m.byAddr[x.consul.Address] {
			if other != x && newer(other.consul, x.consul) {
				e.State, why = balancer.EndpointDraining, fmt.Sprintf("%s has the same address and was registered later", other.consul.UID)
			}
		}
	}
	return &e, why
}

// newer tells which of two instances at one address stands for the process that is there.
func newer(a, b *Endpoint) bool {
	if a.Registered != b.Registered {
		return a.Registered > b.Registered
	}
	return a.UID > b.UID
}

// onlyCritical tells whether nothing but a check stands against an endpoint.
func (m *Members) onlyCritical(x *member) bool {
	if x.consul == nil || x.consul.Maintenance || x.consul.State != balancer.EndpointDraining && x.heldTill == 0 {
		return false
	}
	if m.set.Mode == Overlay {
		return x.platform != nil && x.platform.State == balancer.EndpointReady
	}
	for _, other := range m.byAddr[x.consul.Address] {
		if other != x && newer(other.consul, x.consul) {
			return false
		}
	}
	return true
}

// settle brings what the module was told up to what holds now. It looks at what has changed alone, unless
// something has changed that concerns all.
func (m *Members) settle(now time.Duration, kind balancer.ListKind) (List, bool) {
	m.cached = kind == balancer.ListCached || m.cached && !m.heard && m.set.Mode == Consul
	whole := kind != balancer.ListDelta || !m.listed
	if whole && kind == balancer.ListDelta {
		kind = balancer.ListFull
	}
	look := m.dirty
	if whole || m.stale {
		look = m.members
	}
	for _, x := range look {
		m.count(x)
	}
	// Checks alone would end all service where nobody is ready: go on then, and let the attempts tell. Those
	// that are merely held back go before those that are critical.
	heldOnly := false
	if m.spared || m.ready == 0 {
		look = m.members
		for _, x := range m.held {
			heldOnly = heldOnly || m.onlyCritical(x)
		}
	}
	m.spared = m.ready == 0
	out := List{Kind: kind, Version: m.version + 1}
	uids := slices.Sorted(maps.Keys(look))
	for _, uid := range uids {
		x := m.members[uid]
		if x == nil {
			continue
		}
		e, why := m.judge(x)
		if m.spared && e != nil && m.onlyCritical(x) && (x.heldTill > 0 || !heldOnly) {
			e.State, e.Weight = balancer.EndpointReady, cmp.Or(max(0, e.Weight), 1)
			why = "no endpoint is ready, so checks alone are not believed (" + why + ")"
		}
		same := e == nil && x.told == nil || e != nil && x.told != nil && sameWord(e, x.told)
		if !same {
			x.since = now
		}
		x.why = why
		switch {
		case e != nil && (whole || !same):
			out.Endpoints = append(out.Endpoints, *e)
		case e == nil && !same && !whole:
			gone := *x.told
			gone.State = balancer.EndpointRemoved
			out.Endpoints = append(out.Endpoints, gone)
		}
		x.told = e
		m.forget(uid, x)
	}
	clear(m.dirty)
	m.stale = false
	if !whole && len(out.Endpoints) == 0 {
		return List{}, false
	}
	m.listed = true
	m.version++
	return out, true
}

// count keeps the number of those that are ready up to date.
func (m *Members) count(x *member) {
	e, _ := m.judge(x)
	if ready := e != nil && e.State == balancer.EndpointReady; ready != x.ready {
		x.ready = ready
		if ready {
			m.ready++
		} else {
			m.ready--
		}
	}
}

// sameWord tells whether two verdicts are the same for the module.
func sameWord(a, b *Endpoint) bool {
	x, y := *a, *b
	x.Why, y.Why, x.Registered, y.Registered, x.Share, y.Share = "", "", 0, 0, 0, 0
	x.NoBoot, y.NoBoot, x.Maintenance, y.Maintenance = false, false, false, false
	return x == y
}

// compare logs, for a rehearsal, where Consul would say otherwise than the platform does.
func (m *Members) compare() {
	if m.set.Mode != Rehearsal || !m.heard {
		return
	}
	look := m.dirty
	if m.stale {
		look, m.stale = m.members, false
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
			word = fmt.Sprintf("the platform has it %s, consul %s %s", StateName(x.platform.State), StateName(x.consul.State), x.consul.Why)
		case x.platform.Address != x.consul.Address:
			word = fmt.Sprintf("the platform has it at %s, consul at %s", x.platform.Address, x.consul.Address)
		}
		if word == m.diverged[uid] {
			continue
		}
		if word == "" {
			delete(m.diverged, uid)
			m.logf("rehearsal: %s: both agree again", uid)
		} else {
			m.diverged[uid] = word
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

// View is all endpoints, by uid.
func (m *Members) View(now time.Duration) []Row {
	var rows []Row
	for uid, x := range m.members {
		r := Row{UID: uid, State: "gone", Why: x.why, AgoMS: (now - x.since).Milliseconds()}
		if x.told != nil {
			r.Address, r.State, r.Weight = x.told.Address, StateName(x.told.State), x.told.Weight
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

// Refollow tells that Consul is asked anew, perhaps for another service: its next answer is its first.
func (m *Members) Refollow() { m.heard = false }

// Set changes the settings while running. The list is told anew under the new mode.
func (m *Members) Set(now time.Duration, s Settings) (List, bool) {
	if s == m.set {
		return List{}, false
	}
	old := m.set.Mode
	m.set = s
	if old == s.Mode {
		return List{}, false
	}
	m.logf("membership: the source is %s now, %s before", s.Mode, old)
	// Consul is asked anew, or no more, and by other names; what it said is forgotten, but not what serves.
	m.heard, m.expired, m.byAddr = false, false, map[string][]*member{}
	clear(m.held)
	clear(m.lacking)
	clear(m.diverged)
	for uid, x := range m.members {
		x.consul, x.lacking, x.bad, x.heldTill, x.hold, x.returns = nil, false, false, 0, 0, nil
		m.dirty[uid] = x
	}
	m.stale = true
	if m.set.Mode == Consul {
		m.cached = true // until Consul's first answer what is known goes on
		return List{}, false
	}
	if m.Passes() {
		var l List
		l.Kind, l.Version = balancer.ListFull, m.version+1
		for _, uid := range slices.Sorted(maps.Keys(m.members)) {
			if x := m.members[uid]; x.platform != nil {
				l.Endpoints = append(l.Endpoints, *x.platform)
			}
			m.dirty[uid] = m.members[uid]
		}
		if len(l.Endpoints) == 0 {
			return List{}, false // nothing of the platform's is known: what serves goes on until its next list
		}
		m.passed(now)
		m.version = l.Version
		return l, true
	}
	return m.settle(now, balancer.ListFull)
}
