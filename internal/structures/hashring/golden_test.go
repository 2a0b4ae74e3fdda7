package hashring

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"strings"
	"testing"

	"quincegap/internal/golden"
)

// The owners of an item are the same in every version, because instances of different versions must agree on them without
// communication.
func TestGoldenShares(t *testing.T) {
	members := []uint64{0, 7, 1 << 20, 1 << 40, 99, 1<<64 - 1}
	var text strings.Builder
	for _, test := range []struct {
		name  string
		share Share
	}{
		{"first of 10, 3 copies", Share{Owner: 0, Owners: 10, Replicas: 3}},
		{"last of 10, 3 copies", Share{Owner: 9, Owners: 10, Replicas: 3}},
		{"third of 7, 2.5 copies", Share{Owner: 2, Owners: 7, Replicas: 2.5}},
		{"third of 7, 2.5 copies, twice as wide", Share{Owner: 2, Owners: 7, Replicas: 2.5, Widening: 2}},
		{"all", Share{Owner: 1, Owners: 3, Replicas: 3}},
		{"group", Share{Owners: 6, Replicas: 2, Group: NewGroup(99, members)}},
		{"group, parts of copies, wide", Share{Owners: 6, Replicas: 1.5, Widening: 2, Group: NewGroup(7, members)}},
		{"group without itself", Share{Owners: 6, Replicas: 1, Group: NewGroup(8, members)}},
	} {
		var output bytes.Buffer
		owned := 0
		var first []uint32
		for id := range uint32(5000) {
			if test.share.Owns(id) {
				fmt.Fprintln(&output, id)
				if owned++; owned <= 8 {
					first = append(first, id)
				}
			}
		}
		fmt.Fprintf(&text, "%s: %d of 5000, first %v\n%x\n", test.name, owned, first, sha256.Sum256(output.Bytes()))
	}
	golden.Text(t, "shares.txt", []byte(text.String()))
}
