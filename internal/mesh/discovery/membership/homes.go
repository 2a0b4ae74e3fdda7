package membership

import (
	"cmp"
	"hash/fnv"
	"slices"

	"quincegap/internal/structures/rendezvous"
)

// Homes are the first members of a zone, by rendezvous hash of service and life; if the zone has none, those of its region,
// and if that has none, of all. Of each zone only so many can be homes as other zones keep, the same ones in every view.
func (v *View) Homes(service, zone string, n int) []Member {
	h := fnv.New64a()
	_, _ = h.Write([]byte(service))
	item := rendezvous.Mix(h.Sum64())
	all := v.candidates()
	among := filter(all, func(e *entry) bool { return e.Zone == zone })
	if region := v.regions[zone]; len(among) == 0 && region != "" {
		among = filter(all, func(e *entry) bool { return e.Region == region })
	}
	if len(among) == 0 {
		among = slices.Clone(all)
	}
	score := func(e *entry) uint64 { return rendezvous.Mix(item ^ e.mix) }
	slices.SortFunc(among, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(score(b), score(a)), cmp.Compare(a.Life, b.Life))
	})
	var out []Member
	for _, e := range among[:min(n, len(among))] {
		out = append(out, e.Member)
	}
	return out
}

// candidates are those members that can be homes, whatever their beats.
func (v *View) candidates() []*entry {
	if v.ranked == nil {
		zones := map[string]int{}
		v.ranked = filter(v.ring, func(e *entry) bool {
			zones[e.Zone]++
			return zones[e.Zone] <= v.bounds.Other
		})
	}
	return v.ranked
}

func filter(all []*entry, keep func(*entry) bool) (out []*entry) {
	for _, e := range all {
		if keep(e) {
			out = append(out, e)
		}
	}
	return out
}
