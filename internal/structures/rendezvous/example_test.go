package rendezvous_test

import (
	"fmt"

	"quincegap/internal/structures/rendezvous"
)

// Three members agree on their order for an item without communication.
func ExampleRanking() {
	members := []uint64{10, 20, 30}
	item := rendezvous.Mix(7)
	for _, member := range members {
		ranking := rendezvous.New(member, members)
		fmt.Println("member", member, "rank", ranking.Rank(item), "among the first two:", ranking.InFirst(item, 2))
	}
	// Output:
	// member 10 rank 1 among the first two: true
	// member 20 rank 2 among the first two: false
	// member 30 rank 0 among the first two: true
}
