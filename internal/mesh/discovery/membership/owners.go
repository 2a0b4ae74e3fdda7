package membership

import (
	"cmp"
	"hash/fnv"
	"slices"

	"quincegap/internal/structures/rendezvous"
)

// RegistryOwners returns up to n registry owners of a service in a zone: the first eligible members of the zone by a rendezvous hash of
// service and incarnation. If the zone has no members, the owners are chosen among the members of its region, and if the region has none
// either, among all members. Views that hold the same members return the same owners.
func (v *View) RegistryOwners(service, zone string, n int) []Member {
	h := fnv.New64a()
	_, _ = h.Write([]byte(service)) // Write of a hash never fails
	item := rendezvous.Mix(h.Sum64())
	score := func(e *entry) uint64 { return rendezvous.Mix(item ^ e.hash) }

	owners := v.ownerCandidates(zone)
	slices.SortFunc(owners, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(score(b), score(a)), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	var out []Member
	for _, e := range owners[:min(n, len(owners))] {
		out = append(out, e.Member)
	}
	return out
}

// ownerCandidates returns the members from which the owners of a zone's services are chosen. The caller may modify the list.
func (v *View) ownerCandidates(zone string) []*entry {
	eligible := v.eligibleOwners()
	if ofZone := filterEntries(eligible, func(e *entry) bool { return e.Zone == zone }); len(ofZone) > 0 {
		return ofZone
	}
	if region := v.regions[zone]; region != "" {
		if ofRegion := filterEntries(eligible, func(e *entry) bool { return e.Region == region }); len(ofRegion) > 0 {
			return ofRegion
		}
	}
	return slices.Clone(eligible)
}

// eligibleOwners returns the members that can be registry owners, in any state, ordered by compareHash. They are the first
// MaxMembersPerRemoteZone members of each zone, which are the same in every view.
func (v *View) eligibleOwners() []*entry {
	if v.eligibleCache == nil {
		ofZone := map[string]int{}
		v.eligibleCache = filterEntries(v.table.hashOrder, func(e *entry) bool {
			ofZone[e.Zone]++
			return ofZone[e.Zone] <= v.config.MaxMembersPerRemoteZone
		})
	}
	return v.eligibleCache
}
