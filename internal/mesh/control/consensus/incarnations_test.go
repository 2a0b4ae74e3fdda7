package consensus

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// However many nodes ask to recover, a replica stores a bounded number of disk incarnations, and never drops those of voters.
func TestIncarnationsAreBounded(t *testing.T) {
	record := InitialRecord("v0", firstVoterSet(3).Voters)
	for i := range 3 * maxDiskIncarnations {
		node := fmt.Sprint("x", i)
		if i == 5 {
			node = "v1"
		}
		_, record, _ = record.Handle(&Request{Kind: Recover, Node: node, DiskIncarnation: uint64(10 + i)})
	}
	qt.Assert(t, len(record.State.DiskIncarnations), qt.Equals, maxDiskIncarnations)
	qt.Assert(t, record.State.DiskIncarnations["v1"], qt.Equals, uint64(15))
	qt.Assert(t, record.State.DiskIncarnations[fmt.Sprint("x", 3*maxDiskIncarnations-1)] > 0, qt.IsTrue)
}
