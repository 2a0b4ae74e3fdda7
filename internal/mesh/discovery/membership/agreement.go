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

// agreement records whether peers know the same members as a view, and caches what is computed from the set of members.
type agreement struct {
	lastAgreed   time.Duration            // last time that a peer's digests were equal to the own ones; 0 for never
	lastDiffered time.Duration            // last time that they differed, or that a connection broke
	zoneAgreedAt map[string]time.Duration // by zone, the last time that its members are known to have agreed on the members of the zone
	changeCount  uint64                   // arrivals, departures and changes of records
	monitorTurn  int                      // counts the regular shuffles while the view is quiet

	current      bool     // the fields below belong to the present members (refreshAgreement)
	zoneDigest   uint64   // see digests
	sharedDigest uint64   // see digests
	zones        []string // that have members, sorted
	monitored    []*entry // see addMonitored
}

// newAgreement returns the agreement of a view that has not heard from any peer.
func newAgreement() agreement {
	return agreement{zoneAgreedAt: map[string]time.Duration{}, lastDiffered: longAgo}
}

// nextMonitored returns a monitored member at every other call, each of them in turn; else nil, so that other members have their turn.
func (a *agreement) nextMonitored() *entry {
	a.monitorTurn++
	if a.monitorTurn%2 != 0 || len(a.monitored) == 0 {
		return nil
	}
	return a.monitored[a.monitorTurn/2%len(a.monitored)]
}

// refreshAgreement computes what depends on the set of members, if that has changed. A digest is the sum of the members' hashes, and so
// doesn't depend on their order.
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

// sumHashes returns the sum of the hashes of the entries for which among is true.
func sumHashes(all []*entry, among func(*entry) bool) (sum uint64) {
	for _, e := range all {
		if among(e) {
			sum += e.hash
		}
	}
	return sum
}

// zonesOf returns the zones of members, sorted and without duplicates. It uses the memory of zones, which is empty.
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

// addMonitored monitors the MonitoredPeers members that follow this process in a list, which is treated as a ring.
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

// digests returns the digest of the members of the own zone, and that of the members that every view is to hold: the core members and
// the eligible owners of registries.
func (v *View) digests() (zone, shared uint64) {
	v.refreshAgreement()
	return v.agreement.zoneDigest, v.agreement.sharedDigest
}

// agreementAges returns, for Shuffle.AgreementAges, how long ago the members of each zone last agreed, as far as is known: in units of
// agreementAgeUnit, rounded up.
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

// compareDigests reports whether a peer knows the same members, by the digests of its shuffle. If so, the members of the peer's zone are
// taken for alive now, and those of other zones as lately as the peer reports.
func (v *View) compareDigests(now time.Duration, s *Shuffle) bool {
	zone, shared := v.digests()
	sameZone := s.From.Zone == v.self.Zone
	if s.SharedDigest != shared || sameZone && s.ZoneDigest != zone {
		if e := v.table.byIncarnation[s.From.Incarnation]; e != nil && s.Reply && v.isQuiet(now) {
			e.lastContacted = longAgo // it was sent a brief shuffle: the next one is for this peer, and carries what it lacks
		}
		v.noteDifference(now)
		return false
	}
	v.agreement.lastAgreed = now
	v.mergeAgreementAges(now, s)
	return true
}

// mergeAgreementAges merges the agreement ages of a peer that agrees. They can be read only if its list of zones is as long as the own
// one.
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
