package membership_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"quincegap/internal/mesh/discovery/membership"
)

// Two processes find each other through a seed. The program that uses a View sends the view's shuffles and passes it the current time.
func ExampleView() {
	newView := func(incarnation uint64, address string) *membership.View {
		self := membership.Member{Incarnation: incarnation, Address: address, Zone: "zone-a"}
		return membership.New(self, membership.Config{}, rand.New(rand.NewPCG(incarnation, 0)))
	}
	first := newView(1, "10.0.0.1:7400")
	second := newView(2, "10.0.0.2:7400")
	second.SetSeeds([]string{"10.0.0.1:7400"})

	now := 10 * time.Millisecond
	to, shuffle := second.Tick(now)
	fmt.Println("shuffle to", to)
	reply, changed := first.Receive(now, shuffle)
	fmt.Println("the first view changed:", changed)
	second.Receive(now, reply)
	for _, m := range second.Members() {
		fmt.Println("known to the second:", m.Address)
	}

	// Output:
	// shuffle to [10.0.0.1:7400]
	// the first view changed: true
	// known to the second: 10.0.0.1:7400
	// known to the second: 10.0.0.2:7400
}

// The registry owners of a service are the same in all views that hold the same members.
func ExampleView_RegistryOwners() {
	self := membership.Member{Incarnation: 1, Address: "10.0.0.1:7400", Zone: "zone-a"}
	view := membership.New(self, membership.Config{}, rand.New(rand.NewPCG(1, 0)))
	for i := uint64(2); i <= 5; i++ {
		other := membership.Member{
			Incarnation: i,
			Address:     fmt.Sprintf("10.0.0.%d:7400", i),
			Zone:        "zone-a",
			Heartbeat:   1,
		}
		view.Receive(0, &membership.Shuffle{From: other, Reply: true})
	}
	for _, owner := range view.RegistryOwners("checkout", "zone-a", 2) {
		fmt.Println(owner.Address)
	}

	// Output:
	// 10.0.0.1:7400
	// 10.0.0.2:7400
}

// A member departs if a connection to it breaks and its heartbeat doesn't advance within DisconnectGrace.
func ExampleView_ConnectionLost() {
	self := membership.Member{Incarnation: 1, Address: "10.0.0.1:7400", Zone: "zone-a"}
	view := membership.New(self, membership.Config{DisconnectGrace: time.Second}, rand.New(rand.NewPCG(1, 0)))
	other := membership.Member{Incarnation: 2, Address: "10.0.0.2:7400", Zone: "zone-a", Heartbeat: 1}
	view.Receive(0, &membership.Shuffle{From: other, Reply: true})
	view.Tick(0)

	view.ConnectionLost(500*time.Millisecond, "10.0.0.2:7400")
	view.Tick(1400 * time.Millisecond)
	fmt.Println("members:", len(view.Members()))
	view.Tick(1500 * time.Millisecond)
	fmt.Println("after the grace:", len(view.Members()))

	// Output:
	// members: 2
	// after the grace: 1
}
