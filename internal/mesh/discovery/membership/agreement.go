package membership

import (
	"slices"
	"time"
)

const (
	// agreementAgeUnit is the unit of the ages in Shuffle.AgreementAges.
	agreementAgeUnit = 500 * time.Millisecond
	// unknownAgreementAge is the age for a zone without a known agreement, and for any age too high to encode.
	unknownAgreementAge = 255
)

// agreement records whether peers know the same members as a view, and caches values that are computed from the set of members.
type agreement struct {
	lastAgreed   time.Duration            // last time that a peer had the same digests; 0 for never
	lastDiffered time.Duration            // last time that a peer had other digests, or that a connection broke
	zoneAgreedAt map[string]time.Duration // by zone: last time that its members are known to have agreed on the zone's members
	changeCount  uint64                   // number of arrivals, departures and changes of records
	monitorTurn  int                      // number of regular shuffles sent while the view was quiet

	cacheValid   bool     // the fields below were computed from the current members (refreshAgreement)
	zoneDigest   uint64   // digest of the members of this process's zone
	sharedDigest uint64   // digest of the members that every view must hold
	zones        []string // zones that have members, sorted
	monitored    []*entry // members that addMonitored has selected
}

// newAgreement returns the agreement of a view that has not received any shuffle.
func newAgreement() agreement {
	return agreement{zoneAgreedAt: map[string]time.Duration{}, lastDiffered: longAgo}
}

// nextMonitored returns the monitored members in turn, one at every other call. At the calls between it returns nil, so that other members
// are contacted as well.
func (a *agreement) nextMonitored() *entry {
	a.monitorTurn++
	if a.monitorTurn%2 != 0 || len(a.monitored) == 0 {
		return nil
	}
	return a.monitored[a.monitorTurn/2%len(a.monitored)]
}

// refreshAgreement recomputes the values that depend on the set of members, if the set has changed. A digest is the sum of the members'
// hashes, so it doesn't depend on their order.
func (v *View) refreshAgreement() {
	a := &v.agreement
	if a.cacheValid {
		return
	}
	a.cacheValid = true
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

// sumHashes returns the sum of the hashes of the entries for which include returns true.
func sumHashes(all []*entry, include func(*entry) bool) (sum uint64) {
	for _, e := range all {
		if include(e) {
			sum += e.hash
		}
	}
	return sum
}

// zonesOf returns the zones of members, sorted and without duplicates. It appends to zones, an empty slice whose memory is reused.
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

// addMonitored adds the MonitoredPeers members that follow this process in a list, treated as a ring, to the monitored members.
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

// digests returns the digest of the members of this process's zone, and the digest of the members that every view must hold: the core
// members and the eligible registry owners.
func (v *View) digests() (zone, shared uint64) {
	v.refreshAgreement()
	return v.agreement.zoneDigest, v.agreement.sharedDigest
}

// agreementAges returns the value of Shuffle.AgreementAges: for each zone, the time since its members last agreed as far as this process
// knows, in units of agreementAgeUnit, rounded up.
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

// compareDigests compares the digests of a peer's shuffle with those of this view, and reports whether the peer knows the same members. If
// so, the members of the peer's zone count as alive now, and those of other zones as alive at the times that the peer reports.
func (v *View) compareDigests(now time.Duration, s *Shuffle) bool {
	zone, shared := v.digests()
	sameZone := s.From.Zone == v.self.Zone
	if s.SharedDigest != shared || sameZone && s.ZoneDigest != zone {
		if e := v.table.byIncarnation[s.From.Incarnation]; e != nil && s.Reply && v.isQuiet(now) {
			e.lastContacted = longAgo // the peer got a brief shuffle, so it is contacted next and is sent the members it lacks
		}
		v.noteDifference(now)
		return false
	}
	v.agreement.lastAgreed = now
	v.mergeAgreementAges(now, s)
	return true
}

// mergeAgreementAges merges the agreement ages of a peer that knows the same members. The ages carry no zone names, so they are used only
// if there are as many of them as zones known here.
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
