package deadlinequeue

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Against a map that is walked each time.
func TestAgainstNaive(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		q := Queue[int]{Less: func(a, b int) bool { return a < b }}
		naive := map[int]time.Duration{}
		for range rapid.IntRange(1, 300).Draw(rt, "events") {
			x := rapid.IntRange(0, 30).Draw(rt, "x")
			if rapid.IntRange(0, 2).Draw(rt, "event") == 0 {
				q.Remove(x)
				delete(naive, x)
			} else {
				at := time.Duration(rapid.IntRange(0, 20).Draw(rt, "at"))
				q.Put(x, at)
				naive[x] = at
			}
			first, ok := 0, false
			for y, at := range naive {
				if !ok || at < naive[first] || at == naive[first] && y < first {
					first, ok = y, true
				}
				if got, here := q.Deadline(y); !here || got != at {
					rt.Fatalf("%d is due %v, %v, want %v", y, got, here, at)
				}
			}
			got, at, here := q.Peek()
			if here != ok || ok && (got != first || at != naive[first]) || q.Len() != len(naive) {
				rt.Fatalf("first is %d at %v, %v of %d; want %d of %v", got, at, here, q.Len(), first, naive)
			}
		}
	})
}

func BenchmarkPut(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var q Queue[int]
			rng := rand.New(rand.NewPCG(1, 2))
			for i := range n {
				q.Put(i, time.Duration(rng.Int64N(1e9)))
			}
			b.ReportAllocs()
			for b.Loop() {
				q.Put(rng.IntN(n), time.Duration(rng.Int64N(1e9)))
			}
		})
	}
}
