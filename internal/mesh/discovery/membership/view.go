package membership

import (
	"cmp"
	"math/rand/v2"
	"net"
	"slices"
	"time"
)

// maxZones bounds the number of zones that have members, and the number of zones whose regions are stored: zone names come from messages.
const maxZones = 1024

// View is one process's view of the members. Create it with New. It holds the members of at most maxZones zones, within the limits of its
// Config; a member above them is not added.
type View struct {
	config               Config
	rng                  *rand.Rand
	self                 Member
	table                table
	tombstones           tombstoneTable
	departed             departedList
	schedule             schedule
	agreement            agreement
	eligibleCache        []*entry          // cached result of eligibleOwners; nil if it must be recomputed
	reappearedTombstones []Tombstone       // tombstones that reportReappeared adds to the next shuffle
	regions              map[string]string // region of each zone, including zones without members

	seeds          []string // addresses of the seeds
	seedsContacted bool     // a shuffle was sent to all seeds since SetSeeds last changed them
}

// New returns the view of a process that knows no other process. The view draws its random numbers from rng.
func New(self Member, config Config, rng *rand.Rand) *View {
	self.Heartbeat = max(self.Heartbeat, 1)
	config = config.WithDefaults()
	v := &View{
		config:     config,
		rng:        rng,
		self:       self,
		table:      newTable(newEntry(self)),
		tombstones: newTombstoneTable(config.MaxTombstones),
		departed:   departedList{capacity: config.MaxTombstones},
		schedule:   schedule{lastRemoval: longAgo},
		agreement:  newAgreement(),
		regions:    map[string]string{},
	}
	v.SetRegion(self.Zone, self.Region)
	return v
}

// SetRegion sets the region of a zone. It does nothing if the region is empty or the regions of maxZones zones are stored.
func (v *View) SetRegion(zone, region string) {
	if len(v.regions) < maxZones && region != "" {
		v.regions[zone] = region
	}
}

// SetSeeds replaces the addresses of the seeds. After a change the next regular shuffle goes to all of them.
func (v *View) SetSeeds(addresses []string) {
	if slices.Equal(v.seeds, addresses) {
		return
	}
	v.seeds = slices.Clone(addresses)
	v.seedsContacted = false
}

// Members returns the members that haven't departed, including this process, ordered by address. Their HeartbeatAge is 0.
func (v *View) Members() []Member {
	all := make([]Member, 0, 1+len(v.table.entries))
	all = append(all, v.self)
	for _, e := range v.table.entries {
		all = append(all, e.Member)
	}
	slices.SortFunc(all, func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.Address, b.Address), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return all
}

// MembersWithAges is like Members, and sets HeartbeatAge to the time since each member was last known to be alive; 0 for this process.
func (v *View) MembersWithAges(now time.Duration) []Member {
	all := v.Members()
	for i := range all {
		if e := v.table.byIncarnation[all[i].Incarnation]; e != nil {
			all[i].HeartbeatAge = max(now-v.lastKnownAlive(e), 0)
		}
	}
	return all
}

// MemberAt returns the member at an IP address. If there are several, it prefers a sidecar to a core process, and then the member that was
// added last. It returns false if no member is known at the address.
func (v *View) MemberAt(ip string) (Member, bool) {
	isSelf := host(v.self.Address) == ip
	if isSelf && v.self.Role == RoleAccess {
		return v.self, true
	}
	var best *entry
	for _, e := range v.table.entries {
		if host(e.Address) == ip && (best == nil || preferAtAddress(e, best)) {
			best = e
		}
	}
	if best == nil {
		return v.self, isSelf
	}
	return best.Member, true
}

// preferAtAddress reports whether MemberAt prefers a member to another one at the same IP address.
func preferAtAddress(e, other *entry) bool {
	return cmp.Or(cmp.Compare(other.Role, e.Role), cmp.Compare(e.insertionOrder, other.insertionOrder)) > 0
}

// host returns the part of an address before the port.
func host(address string) string {
	h, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return h
}

// Zones returns the sorted names of the zones that have members.
func (v *View) Zones() []string {
	v.refreshAgreement()
	return slices.Clone(v.agreement.zones)
}

// ChangeCount returns the number of arrivals, departures and changes of records so far. Values that a caller has derived from the members
// are valid until the count changes.
func (v *View) ChangeCount() uint64 { return v.agreement.changeCount }

// remove removes a member from the view. Unlike depart, it doesn't store the address for reconnecting.
func (v *View) remove(e *entry) {
	v.table.remove(e)
	v.invalidate()
}

// invalidate counts a change of the members, and discards the values that were computed from them.
func (v *View) invalidate() {
	v.eligibleCache = nil
	v.agreement.cacheValid = false
	v.agreement.changeCount++
}
