package lease_test

import (
	"fmt"
	"time"

	"quincegap/internal/mesh/control/lease"
)

// A candidate obtains a lease from three voters. Another candidate is rejected until that lease has ended.
func Example() {
	now := time.Duration(0)
	status := lease.VoterStatus{Ready: true}
	noJitter := func() float64 { return 0 }
	var voters []*lease.Voter
	for range 3 {
		voters = append(voters, lease.NewVoter(now, true))
	}
	ask := func(candidate *lease.Candidate) {
		request := candidate.Tick(now, len(voters), 0)
		for i, voter := range voters {
			reply := voter.Handle(now, status, request)
			candidate.HandleReply(now, now, fmt.Sprint("voter", i), reply)
		}
	}
	first := lease.NewCandidate("10.0.0.1:7401", 1, "allocator", noJitter)
	second := lease.NewCandidate("10.0.0.2:7401", 2, "allocator", noJitter)

	ask(first)
	ask(second)
	token, ok := first.Holds(now)
	fmt.Println("first:", ok, token, first.Remaining(now))
	_, ok = second.Holds(now)
	fmt.Println("second:", ok, "holder is", second.Holder(now))

	now += lease.Duration // the lease ends, as the first candidate does not renew it
	ask(second)
	_, ok = first.Holds(now)
	fmt.Println("first:", ok)
	token, ok = second.Holds(now)
	fmt.Println("second:", ok, token)

	// Output:
	// first: true 1 950ms
	// second: false holder is 10.0.0.1:7401
	// first: false
	// second: true 2
}
