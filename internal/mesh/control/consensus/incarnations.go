package consensus

import (
	"maps"
	"slices"

	"quincegap/internal/mesh/transport/codec"
)

// DiskIncarnations maps each voter to its newest disk incarnation that was reported to a replica (a crash vector). A voter
// that lost its disk starts a new disk incarnation, with a higher number.
type DiskIncarnations map[string]uint64

// maxDiskIncarnations is the number of entries that a replica stores, unless more of them may not be dropped. An entry only
// matters to rounds under the epoch in which it was reported and under the next one, and fewer machines than that are replaced
// within two epochs.
const maxDiskIncarnations = 128

// prune deletes the entries with the lowest incarnations, which are usually the oldest, until at most maxDiskIncarnations
// are left. It never deletes the entry of a node for which keep returns true.
func (d DiskIncarnations) prune(keep func(node string) bool) {
	for len(d) > maxDiskIncarnations {
		lowest := d.lowest(keep)
		if lowest == "" {
			return
		}
		delete(d, lowest)
	}
}

// lowest returns the node with the lowest incarnation among those for which keep returns false; of several, the first by
// name. It returns "" if there is none.
func (d DiskIncarnations) lowest(keep func(node string) bool) string {
	lowest := ""
	for node, number := range d {
		if keep(node) {
			continue
		}
		if lowest == "" || number < d[lowest] || number == d[lowest] && node < lowest {
			lowest = node
		}
	}
	return lowest
}

// fields encodes or decodes disk incarnations, sorted by node name. All messages that contain them do so in field 4.
func (d *DiskIncarnations) fields(visitor *codec.Visitor) {
	const number = 4
	var entries []diskIncarnation
	for _, node := range slices.Sorted(maps.Keys(*d)) {
		entries = append(entries, diskIncarnation{node: node, number: (*d)[node]})
	}
	codec.Messages(visitor, number, &entries)
	if !visitor.Reading() || len(entries) == 0 {
		return
	}
	*d = DiskIncarnations{}
	for _, entry := range entries {
		(*d)[entry.node] = entry.number
	}
}

// diskIncarnation is an encoded entry of DiskIncarnations.
type diskIncarnation struct {
	node   string
	number uint64
}

// Fields implements codec.Message.
func (d *diskIncarnation) Fields(visitor *codec.Visitor) {
	visitor.String(1, &d.node)
	visitor.Uint64(2, &d.number)
}
