package consensus

import (
	"maps"
	"slices"

	"quincegap/internal/mesh/transport/codec"
)

// DiskIncarnations are, by voter, the newest disk incarnation that was reported to a replica (a crash vector). A voter begins
// a new one when it lost its disk.
type DiskIncarnations map[string]uint64

// maxDiskIncarnations bounds how many a replica remembers. An entry matters to rounds under the epoch in which it was
// reported and the one after, and fewer machines than that are replaced within two epochs.
const maxDiskIncarnations = 128

// prune drops the lowest incarnations, which as a rule are the oldest, until no more than maxDiskIncarnations are left.
// It never drops those of nodes for which keep holds.
func (d DiskIncarnations) prune(keep func(node string) bool) {
	for len(d) > maxDiskIncarnations {
		lowest := d.lowest(keep)
		if lowest == "" {
			return
		}
		delete(d, lowest)
	}
}

// lowest returns the node with the lowest incarnation for which keep does not hold, the first by name of several, and ""
// if there is none.
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

// fields encodes or decodes field 4 of the messages that have disk incarnations, in the order of the nodes' names.
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

// diskIncarnation is one entry of DiskIncarnations as it is encoded.
type diskIncarnation struct {
	node   string
	number uint64
}

// Fields implements codec.Message.
func (d *diskIncarnation) Fields(visitor *codec.Visitor) {
	visitor.String(1, &d.node)
	visitor.Uint64(2, &d.number)
}
