package membership

import (
	"cmp"
	"math/rand/v2"
	"net"
	"slices"
	"time"
)

// maxRegions bounds the zones whose region is remembered, as their names come from messages.
const maxRegions = 1024

// View is what one process knows of the other members. Make one with New.
type View struct {
	config     Config
	rng        *rand.Rand
	self       Member
	table      table
	tombstones tombstoneTable
	departed   departedList
	schedule   schedule
	agreement  agreement
	eligible   []*entry          // see eligibleOwners; nil when it is to be worked out anew
	reappeared []Tombstone       // of members that sent a message after their end was reported, for the next shuffle
	regions    map[string]string // by zone, also of zones without members

	seeds          []string // addresses
	seedsContacted bool     // all of them, once
}

// New makes the view of a process that knows nobody. The view draws from rng in the order of its calls.
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

// SetRegion says which region a zone is in.
func (v *View) SetRegion(zone, region string) {
	if len(v.regions) < maxRegions && region != "" {
		v.regions[zone] = region
	}
}

// Self returns the record of this process as it is sent to others.
func (v *View) Self() Member { return v.self }

// SetSeeds gives the addresses of the seeds as the settings have them now. All of them are asked once when they change.
func (v *View) SetSeeds(_ time.Duration, addresses []string) {
	if slices.Equal(v.seeds, addresses) {
		return
	}
	v.seeds = slices.Clone(addresses)
	v.seedsContacted = false
}

// Members returns the members that haven't departed, this process among them, ordered by address.
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

// MemberAt returns the member at an IP address: a sidecar before others, of several the one that arrived last. It reports false if none
// is known there.
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

// preferAtAddress reports whether of two members at an address MemberAt returns the first.
func preferAtAddress(e, other *entry) bool {
	return cmp.Or(cmp.Compare(other.Role, e.Role), cmp.Compare(e.arrivalOrder, other.arrivalOrder)) > 0
}

// host is the part of an address before its port.
func host(address string) string {
	h, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return h
}

// Zones returns the zones that have members, in order.
func (v *View) Zones() []string {
	v.refreshAgreement()
	return slices.Clone(v.agreement.zones)
}

// ChangeCount rises with each arrival, each departure and each change of a record, so that what rests on the members need not be worked
// out again while it stays.
func (v *View) ChangeCount() uint64 { return v.agreement.changeCount }

// remove takes a member out of the view. Its address isn't tried again, unlike after depart.
func (v *View) remove(e *entry) {
	v.table.remove(e)
	v.invalidate()
}

// invalidate has what depends on the members worked out anew.
func (v *View) invalidate() {
	v.eligible = nil
	v.agreement.current = false
	v.agreement.changeCount++
}
