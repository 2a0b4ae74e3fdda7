package membership

import (
	"slices"
	"time"
)

const (
	// agreementAgeUnit is the unit of the ages in Shuffle.AgreementAges.
	agreementAgeUnit = 500 * time.Millisecond
	// unknownAgreementAge stands for a zone of which no agreement is known, and for all higher ages.
	unknownAgreementAge = 255
)

// agreement is what a view knows of whether others know the same members, and what follows from who the members are.
type agreement struct {
	lastAgreed   time.Duration            // when a peer's digests last were the own ones; 0 for never
	lastDiffered time.Duration            // when they last weren't, or a connection broke
	zoneAgreedAt map[string]time.Duration // when a zone's members last were known to agree
	changeCount  uint64                   // arrivals, departures and changes of records
	monitorTurn  int                      // counts the first peers while the view is quiet

	current      bool // what follows is as the members are now; refreshAgreement sees to it
	zoneDigest   uint64
	sharedDigest uint64
	zones        []string // that have members, in order
	monitored    []*entry
}

func newAgreement() agreement {
	return agreement{zoneAgreedAt: map[string]time.Duration{}, lastDiffered: longAgo}
}

// nextMonitored returns each monitored member in turn, and nil in between, when another member has its turn.
func (a *agreement) nextMonitored() *entry {
	a.monitorTurn++
	if a.monitorTurn%2 != 0 || len(a.monitored) == 0 {
		return nil
	}
	return a.monitored[a.monitorTurn/2%len(a.monitored)]
}

// refreshAgreement works out what follows from who the members are, if they changed. Digests are sums of the members' hashes, which are
// the same in whatever order they are added up.
func (v *View) refreshAgreement() {
	a := &v.agreement
	if a.current {
		return
	}
	a.current = true
	eligible := v.eligibleOwners()
	ofOwnZone := filterEntries(v.table.hashOrder, func(e *entry) bool { return e.Zone == v.self.Zone })
	a.zoneDigest = sumHashes(ofOwnZone, func(*entry) bool { return true })
	a.sharedDigest = sumHashes(eligible, func(e *entry) bool { return e.Role != RoleCore }) +
		sumHashes(v.table.hashOrder, func(e *entry) bool { return e.Role == RoleCore })
	a.zones = zonesOf(v.table.hashOrder, a.zones[:0])
	a.monitored = nil
	v.addMonitored(ofOwnZone)
	v.addMonitored(eligible)
}

func sumHashes(all []*entry, among func(*entry) bool) (sum uint64) {
	for _, e := range all {
		if among(e) {
			sum += e.hash
		}
	}
	return sum
}

// zonesOf appends the zones of members to a list that is empty, in order and each of them once.
func zonesOf(all []*entry, zones []string) []string {
	known := map[string]bool{}
	for _, e := range all {
		if !known[e.Zone] {
			known[e.Zone] = true
			zones = append(zones, e.Zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// addMonitored adds the members that follow this process in a ring.
func (v *View) addMonitored(ring []*entry) {
	self := slices.IndexFunc(ring, func(e *entry) bool { return e.Incarnation == v.self.Incarnation })
	if self < 0 {
		return
	}
	for n := 1; n <= min(v.config.MonitoredPeers, len(ring)-1); n++ {
		if e := ring[(self+n)%len(ring)]; !slices.Contains(v.agreement.monitored, e) {
			v.agreement.monitored = append(v.agreement.monitored, e)
		}
	}
}

// digests are of the members of the own zone, and of those that every view is to hold: the core members and the eligible owners.
func (v *View) digests() (zone, shared uint64) {
	v.refreshAgreement()
	return v.agreement.zoneDigest, v.agreement.sharedDigest
}

// agreementAges are how long ago the members of each zone last were known to agree, for Shuffle.AgreementAges, rounded up.
func (v *View) agreementAges(now time.Duration) []byte {
	v.refreshAgreement()
	ages := make([]byte, len(v.agreement.zones))
	for i, zone := range v.agreement.zones {
		ages[i] = unknownAgreementAge
		if at, ok := v.agreement.zoneAgreedAt[zone]; ok {
			age := (now - at + agreementAgeUnit - time.Millisecond) / agreementAgeUnit
			ages[i] = byte(min(unknownAgreementAge, age))
		}
	}
	return ages
}

// compareDigests reports whether a peer knows the same members; these are then taken for alive.
func (v *View) compareDigests(now time.Duration, s *Shuffle) bool {
	zone, shared := v.digests()
	sameZone := s.From.Zone == v.self.Zone
	if s.SharedDigest != shared || sameZone && s.ZoneDigest != zone {
		if e := v.table.byIncarnation[s.From.Incarnation]; e != nil && s.Reply && v.isQuiet(now) {
			e.lastContacted = longAgo // what was sent was brief: it is sent next what it lacks
		}
		v.noteDifference(now)
		return false
	}
	v.agreement.lastAgreed = now
	v.mergeAgreementAges(now, s)
	return true
}

// mergeAgreementAges takes over what a peer that agrees knows of each zone's agreement.
func (v *View) mergeAgreementAges(now time.Duration, s *Shuffle) {
	a := &v.agreement
	for i, zone := range a.zones {
		if zone == s.From.Zone {
			a.zoneAgreedAt[zone] = now
			continue
		}
		if zone == v.self.Zone || len(s.AgreementAges) != len(a.zones) || s.AgreementAges[i] == unknownAgreementAge {
			continue
		}
		reported := now - time.Duration(s.AgreementAges[i])*agreementAgeUnit
		if known, ok := a.zoneAgreedAt[zone]; !ok || reported > known {
			a.zoneAgreedAt[zone] = reported
		}
	}
}
