package discovery_test

import (
	"fmt"
	"time"

	"quincegap/internal/mesh/discovery"
)

// A publisher announces its endpoint to the registry owner until the owner acknowledges that, and renews the lease.
func ExamplePublisher() {
	publisher := discovery.NewPublisher(discovery.Config{})
	publisher.SetOwners([]string{"10.0.0.9:7400"})
	publisher.Set(0, discovery.Endpoint{ID: "i-1", Service: "checkout", AppAddress: "10.0.0.1:8080", Sequence: 1})

	registry := discovery.NewRegistry(discovery.Config{})
	for _, a := range publisher.Tick(0) {
		fmt.Println("announce to", a.To, "under a lease of", a.Endpoint.LeaseRemaining)
		registry.Apply(0, a.Endpoint)
		publisher.Acknowledged(a.To, a.Endpoint.ID, a.Endpoint.Revision)
	}
	fmt.Println("due at once:", len(publisher.Tick(time.Second)))
	fmt.Println("due after a third of the lease:", len(publisher.Tick(3*time.Second)))

	// Output:
	// announce to 10.0.0.9:7400 under a lease of 9s
	// due at once: 0
	// due after a third of the lease: 1
}

// A lease that isn't renewed expires. The endpoint is then presumed crashed, and retained in that state for TombstoneRetention.
func ExampleRegistry() {
	r := discovery.NewRegistry(discovery.Config{})
	r.Apply(0, discovery.Endpoint{ID: "i-1", Service: "checkout", Sequence: 1, LeaseRemaining: 2 * time.Second})
	for now := time.Duration(0); now <= 2*time.Second; now += time.Second {
		for _, e := range r.Expire(now) {
			fmt.Println(now, e.ID, "crashed:", e.State == discovery.Crashed)
		}
	}
	changed, _, complete := r.ChangedSince(2*time.Second, "checkout", 1)
	fmt.Println(len(changed), "changed since version 1; nothing is missing:", complete)

	// Output:
	// 2s i-1 crashed: true
	// 1 changed since version 1; nothing is missing: true
}

// A subscriber requests the records that have changed since the last version that it received.
func ExampleSubscription() {
	owner := discovery.RegistryOwner{Address: "10.0.0.9:7400", Incarnation: 1}
	subscription := discovery.NewSubscription(discovery.Config{})
	subscription.SetOwners("checkout", []discovery.RegistryOwner{owner})
	for _, request := range subscription.Tick(0) {
		fmt.Println("ask", request.To, "for", request.Service, "since", request.SinceVersion)
	}
	subscription.Received(0, owner, "checkout", 17)
	for _, request := range subscription.Tick(2 * time.Second) {
		fmt.Println("ask", request.To, "for", request.Service, "since", request.SinceVersion)
	}

	// Output:
	// ask 10.0.0.9:7400 for checkout since 0
	// ask 10.0.0.9:7400 for checkout since 17
}

// A registry owner notifies the subscribers whose leases haven't expired.
func ExampleSubscribers() {
	s := discovery.NewSubscribers(discovery.Config{})
	s.Renew(0, "checkout", "10.0.0.1:7400")
	s.Renew(4*time.Second, "checkout", "10.0.0.2:7400")
	fmt.Println(s.Active(5*time.Second, "checkout"))
	fmt.Println(s.Active(6*time.Second, "checkout"))

	// Output:
	// [10.0.0.1:7400 10.0.0.2:7400]
	// [10.0.0.2:7400]
}
