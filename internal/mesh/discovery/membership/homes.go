package membership

import (
	"cmp"
	"hash/fnv"
	"slices"

	"quincegap/internal/structures/rendezvous"
)

// RegistryOwners are the first members of a zone, by rendezvous hash of service and life; if the zone has none, those of its region,
// and if that has none, of all. Of each zone only so many can be homes as other zones keep, the same ones in every view.
func (v *View) RegistryOwners(service, zone string, n int) []Member {
	h := fnv.New64a()
	_, _ = h.Write([]byte(service))
	item := rendezvous.Mix(h.Sum64())
	all := v.eligibleOwners()
	among := filterEntries(all, func(e *entry) bool { return e.Zone == zone })
	if region := v.regions[zone]; len(among) == 0 && region != "" {
		among = filterEntries(all, func(e *entry) bool { return e.Region == region })
	}
	if len(among) == 0 {
		among = slices.Clone(all)
	}
	score := func(e *entry) uint64 { return rendezvous.Mix(item ^ e.hash) }
	slices.SortFunc(among, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(score(b), score(a)), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	var out []Member
	for _, e := range among[:min(n, len(among))] {
		out = append(out, e.Member)
	}
	return out
}

// eligibleOwners are those members that can be homes, whatever their beats.
func (v *View) eligibleOwners() []*entry {
	if v.eligible == nil {
		zones := map[string]int{}
		v.eligible = filterEntries(v.hashOrder, func(e *entry) bool {
			zones[e.Zone]++
			return zones[e.Zone] <= v.config.MaxMembersPerRemoteZone
		})
	}
	return v.eligible
}

func filterEntries(all []*entry, keep func(*entry) bool) (out []*entry) {
	for _, e := range all {
		if keep(e) {
			out = append(out, e)
		}
	}
	return out
}
