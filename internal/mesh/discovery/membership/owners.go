package membership

import (
	"cmp"
	"hash/fnv"
	"slices"

	"quincegap/internal/structures/rendezvous"
)

// RegistryOwners returns the first n members of a zone for a service, by rendezvous hash of service and incarnation; if the zone has
// none, those of its region, and if that has none either, of all. All views that hold the same members return the same ones.
func (v *View) RegistryOwners(service, zone string, n int) []Member {
	h := fnv.New64a()
	_, _ = h.Write([]byte(service)) // a hash never fails
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

// ownerCandidates returns a list of its own of those that the owners of a zone's services are chosen from.
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

// eligibleOwners are the members that can be registry owners, whatever their states: of each zone only as many as other zones keep,
// the same ones in every view. They are ordered by compareHash.
func (v *View) eligibleOwners() []*entry {
	if v.eligible == nil {
		ofZone := map[string]int{}
		v.eligible = filterEntries(v.table.hashOrder, func(e *entry) bool {
			ofZone[e.Zone]++
			return ofZone[e.Zone] <= v.config.MaxMembersPerRemoteZone
		})
	}
	return v.eligible
}
