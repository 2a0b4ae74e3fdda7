package consensus_test

import (
	"fmt"

	"quincegap/internal/mesh/control/consensus"
)

// Three voters agree on a configuration. The map of records stands for their disks, and every message arrives.
func Example() {
	voters := consensus.VoterSet{Voters: []string{"a", "b", "c"}}
	disks := map[string]consensus.Record{}
	for _, voter := range voters.Voters {
		disks[voter] = consensus.InitialRecord(voter, voters.Voters)
	}

	change := consensus.NewChange(0, 1, []byte("timeout: 2s"))
	ballot := consensus.Ballot{Number: 1, Proposer: "a#1"}
	round, request := consensus.NewRound(voters, ballot, change, consensus.Vote{})
	for request != nil {
		sent := request
		request = nil
		for _, voter := range round.Recipients() {
			reply, record, unsynced := disks[voter].Handle(sent)
			if unsynced.Any() {
				disks[voter] = record // must be synced before the reply is sent
			}
			if next := round.Step(voter, &reply); next != nil {
				request = next
			}
		}
	}
	fmt.Println(round.State == consensus.Done, round.Verdict, round.Value.Version)

	// A read needs no ballot, and the replies of two voters of three are enough.
	read, request := consensus.NewReadRound(voters, consensus.Vote{})
	for _, voter := range []string{"b", "c"} {
		reply, _, _ := disks[voter].Handle(request)
		read.Step(voter, &reply)
	}
	fmt.Println(read.State == consensus.Done, string(read.Value.Body))

	// Output:
	// true applied r1
	// true timeout: 2s
}

// A process without a record obtains replies from enough voters before it votes again, under a new disk incarnation.
func ExampleRecovery() {
	voters := consensus.VoterSet{Voters: []string{"a", "b", "c"}}
	recovery, request := consensus.NewRecovery("c", voters, 2, false)
	for _, voter := range recovery.Recipients() {
		reply, _, _ := consensus.InitialRecord(voter, voters.Voters).Handle(request)
		if record, ok := recovery.Step(voter, &reply); ok {
			fmt.Println("ready after", voter, "with disk incarnation", record.State.DiskIncarnation)
		}
	}

	// Output:
	// ready after b with disk incarnation 2
}

// A voter that a majority reports as unresponsive is replaced by a standby in one step.
func ExamplePlanVoterChange() {
	voters := consensus.VoterSet{Voters: []string{"a", "b", "c"}}
	core := []consensus.PeerStatus{
		{Node: "a", Responsive: true, Ready: true, StateDuration: consensus.ReplaceDelay},
		{Node: "b", Responsive: true, Ready: true, StateDuration: consensus.ReplaceDelay},
		{Node: "c", StateDuration: consensus.ReplaceDelay, UnresponsiveReports: 2},
		{Node: "d", Responsive: true, Ready: true, StateDuration: consensus.ReplaceDelay},
	}
	change := consensus.PlanVoterChange(voters, core, 1)
	fmt.Println("add", change.Add, "remove", change.Remove)

	// Output:
	// add d remove c
}
