package rendezvous

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"strings"
	"testing"

	"quincegap/internal/golden"
)

// The order of the members for an item is the same in every version, because processes of different versions must agree on it.
func TestGoldenOrder(t *testing.T) {
	var text strings.Builder
	for _, x := range []uint64{0, 1, 2, 1 << 32, 1<<64 - 1} {
		fmt.Fprintf(&text, "mix %d: %d\n", x, Mix(x))
	}
	members := []uint64{5, 3, 3, 1 << 50, 77, 0}
	for _, self := range []uint64{5, 77, 78} {
		ranking := New(self, members)
		var output bytes.Buffer
		for item := range uint64(2000) {
			fmt.Fprintln(&output, ranking.Rank(Mix(item)), ranking.InFirst(Mix(item), 2))
		}
		fmt.Fprintf(&text, "member %d of %d\n%x\n", self, ranking.Len(), sha256.Sum256(output.Bytes()))
	}
	golden.Text(t, "order.txt", []byte(text.String()))
}
