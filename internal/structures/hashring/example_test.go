package hashring_test

import (
	"fmt"

	"quincegap/internal/structures/hashring"
)

// Each item has two of the five owners, and each owner has about two fifths of the items.
func ExampleShare() {
	const owners, items = 5, 1000
	perOwner := make([]int, owners)
	for owner := range owners {
		share := hashring.Share{Owner: owner, Owners: owners, Replicas: 2}
		for id := range uint32(items) {
			if share.Owns(id) {
				perOwner[owner]++
			}
		}
	}
	fmt.Println(perOwner)
	// Output: [427 384 354 386 409]
}

// When a member leaves a group, the other members keep their items and take over the items of the member that left.
func ExampleGroup() {
	before := hashring.Share{Replicas: 1, Group: hashring.NewGroup(1, []uint64{1, 2, 3, 4})}
	after := hashring.Share{Replicas: 1, Group: hashring.NewGroup(1, []uint64{1, 2, 3})}
	lost, gained := 0, 0
	for id := range uint32(1000) {
		switch ownedBefore, ownedAfter := before.Owns(id), after.Owns(id); {
		case ownedBefore && !ownedAfter:
			lost++
		case ownedAfter && !ownedBefore:
			gained++
		}
	}
	fmt.Println("lost", lost, "gained", gained)
	// Output: lost 0 gained 83
}
