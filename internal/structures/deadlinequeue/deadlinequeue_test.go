package deadlinequeue

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// checkQueue compares a queue with a map of the expected deadlines.
func checkQueue(t *rapid.T, queue *Queue[int], deadlines map[int]time.Duration) {
	t.Helper()
	first, ok := 0, false
	for value, deadline := range deadlines {
		if !ok || deadline < deadlines[first] || deadline == deadlines[first] && value < first {
			first, ok = value, true
		}
		if got, found := queue.Deadline(value); !found || got != deadline {
			t.Fatalf("Deadline(%d): got %v, %v, want %v, true", value, got, found, deadline)
		}
	}
	got, deadline, found := queue.Peek()
	if found != ok || queue.Len() != len(deadlines) {
		t.Fatalf("got a first item: %v, length %d; want a first item: %v, items %v", found, queue.Len(), ok, deadlines)
	}
	if ok && (got != first || deadline != deadlines[first]) {
		t.Fatalf("first item: got %d with deadline %v, want %d of the items %v", got, deadline, first, deadlines)
	}
}

// After each random change the queue agrees with a map that is searched linearly.
func TestAgainstNaive(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		queue := Queue[int]{Less: func(a, b int) bool { return a < b }}
		deadlines := map[int]time.Duration{}
		for range rapid.IntRange(1, 300).Draw(rt, "events") {
			value := rapid.IntRange(0, 30).Draw(rt, "value")
			if rapid.IntRange(0, 2).Draw(rt, "event") == 0 {
				queue.Remove(value)
				delete(deadlines, value)
			} else {
				deadline := time.Duration(rapid.IntRange(0, 20).Draw(rt, "deadline"))
				queue.Put(value, deadline)
				deadlines[value] = deadline
			}
			checkQueue(rt, &queue, deadlines)
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
