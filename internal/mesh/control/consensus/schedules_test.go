package consensus

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
)

// explore takes all sequences of up to depth steps from a start, checks the guarantees in each state that they reach, and
// returns the number of different states.
func explore(t *testing.T, start *cluster, depth int) int {
	t.Helper()
	type node struct {
		cluster *cluster
		path    []byte
	}
	seen := map[uint64]bool{start.key(): true}
	level := []node{{cluster: start}}
	for ; depth > 0 && len(level) > 0; depth-- {
		var next []node
		for _, reached := range level {
			for step := range reached.cluster.steps() {
				cluster := reached.cluster.clone()
				if !cluster.step(step) {
					continue
				}
				key := cluster.key()
				if seen[key] {
					continue
				}
				seen[key] = true
				path := append(slices.Clone(reached.path), byte(step))
				if violation := cluster.violation(); violation != "" {
					t.Fatalf("guarantee violated: %s, after steps %v", violation, path)
				}
				next = append(next, node{cluster, path})
			}
		}
		level = next
	}
	return len(seen)
}

// runRandom takes random sequences of up to 200 steps from a start, checks the guarantees after each conclusion and after every
// 20th step, and returns the number of conclusions.
func runRandom(t *testing.T, start *cluster, runs int) (conclusions int) {
	t.Helper()
	for seed := range runs {
		rng := rand.New(rand.NewPCG(uint64(seed), 1))
		cluster := start.clone()
		for step := 0; step < 200 && cluster.steps() > 0; step++ {
			before := len(cluster.conclusions)
			cluster.step(rng.IntN(cluster.steps()))
			if len(cluster.conclusions) == before && step%20 != 19 {
				continue
			}
			if violation := cluster.violation(); violation != "" {
				t.Fatalf("guarantee violated: %s, in run %d", violation, seed)
			}
		}
		conclusions += len(cluster.conclusions)
	}
	return conclusions
}

// firstVoterSet returns the voter set of epoch 0 with n voters v0, v1 and so on.
func firstVoterSet(n int) (voters VoterSet) {
	for i := range n {
		voters.Voters = append(voters.Voters, fmt.Sprint("v", i))
	}
	return voters
}

// voterChanges applies several changes to a voter set, one after the other, and returns the last of them as a Change.
func voterChanges(voters VoterSet, changes ...VoterChange) *Change {
	var last *Change
	for _, change := range changes {
		last = NewVoterChange(voters, change)
		voters = *last.nextVoters
	}
	return last
}

// runRound starts a proposer's round, and delivers messages between the proposer and some voters until the round is Done.
func (c *cluster) runRound(proposer int, voters ...int) *cluster {
	c.propose(proposer)
	for c.proposers[proposer].round.State != Done {
		before := len(c.inFlight)
		for _, voter := range voters {
			isNext := func(message message) bool { return message.proposer == proposer && message.voter == voter }
			if i := slices.IndexFunc(c.inFlight, isNext); i >= 0 {
				c.step(2 * i)
			}
		}
		if len(c.inFlight) == before {
			panic("the round is not done, and has no message in flight to the given voters")
		}
	}
	return c
}

// dropMessages drops all messages in flight.
func (c *cluster) dropMessages() *cluster {
	c.inFlight = nil
	return c
}

// Three changes, of which the first two have the same base.
var (
	change0to1 = NewChange(0, 1, []byte("one"))
	change0to2 = NewChange(0, 2, []byte("two"))
	change1to3 = NewChange(1, 3, []byte("three"))
)

// startRound starts a proposer's round, and delivers its first request to the voters a and b and their replies to it.
func (c *cluster) startRound(proposer, a, b int) *cluster {
	c.propose(proposer)
	c.deliverTo(proposer, a)
	c.deliverTo(proposer, b)
	return c
}

// deliverTo delivers the newest request of a proposer to a voter, and the reply to the proposer.
func (c *cluster) deliverTo(proposer, voter int) {
	newest := -1
	for i, message := range c.inFlight {
		if message.proposer == proposer && message.voter == voter && (newest < 0 || message.request.Kind == Accept) {
			newest = i
		}
	}
	c.step(2 * newest)
}

// learnedVote returns a cluster in which a voter that loses its disk may recover with a vote below its last promise.
func learnedVote() *cluster {
	c := newCluster(3, 1, []int{1, 1, 1}, change0to1, change0to2, nil).startRound(0, 0, 1)
	c.deliverTo(0, 0)
	return c.startRound(1, 1, 2)
}

// Changes of the voters. The names state the steps from the voters v0, v1 and v2; the Change is the last step.
var (
	addV3       = voterChanges(firstVoterSet(3), VoterChange{Add: "v3"})
	addV4       = voterChanges(firstVoterSet(3), VoterChange{Add: "v3"}, VoterChange{Add: "v4"})
	dropV2      = voterChanges(firstVoterSet(3), VoterChange{Remove: "v2"})
	swapV0      = voterChanges(firstVoterSet(3), VoterChange{Add: "v3", Remove: "v0"})
	swapV1      = voterChanges(firstVoterSet(3), VoterChange{Add: "v3", Remove: "v1"})
	addV3dropV0 = voterChanges(firstVoterSet(3), VoterChange{Add: "v3"}, VoterChange{Remove: "v0"})
)

// staleProposer returns a cluster in which v3 was added and then v0 removed. v1 to v3 took part in both changes, v0 in neither.
// A proposer that only knows the first voter set and one that knows the last make changes concurrently.
func staleProposer() *cluster {
	c := newClusterWithStandbys(3, 4, 0, []int{1, 1, 2, 1}, addV3, addV3dropV0, change0to1, change0to2).runRound(0, 1, 2, 3).dropMessages()
	c.proposers[1].knownVoters = *addV3.nextVoters
	c.runRound(1, 1, 2, 3).dropMessages()
	c.proposers[3].knownVoters = *addV3dropV0.nextVoters
	return c
}

// removedVoterReturns returns a cluster in which v3 was removed and has not learned of it. A proposer that only knows the old
// voter set and one that knows the new one make changes concurrently.
func removedVoterReturns() *cluster {
	drop := voterChanges(firstVoterSet(4), VoterChange{Remove: "v3"})
	c := newClusterWithStandbys(4, 4, 0, []int{1, 2, 1}, drop, change0to1, change0to2).runRound(0, 0, 1, 2).dropMessages()
	c.proposers[2].knownVoters = *drop.nextVoters
	return c
}

// rivalVoterSet returns a cluster in which one voter accepted a voter set that was not chosen, and a proposer has learned of
// that vote. Then another voter set was chosen without that voter. The two sets have majorities that share no voter.
func rivalVoterSet() *cluster {
	drop := voterChanges(firstVoterSet(4), VoterChange{Remove: "v3"})
	add := voterChanges(firstVoterSet(4), VoterChange{Add: "v4"})
	c := newClusterWithStandbys(4, 5, 0, []int{1, 1, 1, 2}, add, drop, change0to1, change0to2).startRound(0, 1, 2)
	c.deliverTo(0, 3)
	c.deliverTo(0, 3)
	c.proposers[3].ballotNumber = 1
	c.startRound(3, 1, 2).deliverTo(3, 3)
	c.proposers[1].ballotNumber = 2
	c.runRound(1, 0, 1, 2).dropMessages()
	c.proposers[2].knownVoters = *drop.nextVoters
	c.proposers[2].ballotNumber = 3
	c.proposers[3].ballotNumber = 4
	return c
}

// diskLostDuringAdd returns a cluster in which v3 is being added, and may lose its disk at any time.
func diskLostDuringAdd() *cluster {
	c := newClusterWithStandbys(3, 4, 1, []int{1, 1, 1}, voterChanges(firstVoterSet(3), VoterChange{Add: "v3"}), change0to1, change0to2)
	c.propose(0)
	c.deliverTo(0, 0)
	c.deliverTo(0, 1)
	c.deliverTo(0, 3)
	return c
}

// exchangeInProgress returns a cluster in which v0 is being exchanged for v3. Two voters have promised, and a and b have
// received the next request. faultyVoter may lose its disk.
func exchangeInProgress(faultyVoter, a, b int) *cluster {
	c := newClusterWithStandbys(3, 4, 0, []int{1, 1, 1}, swapV0, change0to1, change0to2).withDiskLosses(faultyVoter, 1)
	c.startRound(0, 1, 2)
	c.deliverTo(0, a)
	c.deliverTo(0, b)
	return c
}

// rivalExchange returns a cluster in which v1 accepted a voter set with v3 in place of v0 that was not chosen, and a set with v3
// in place of v2 is about to be chosen: v3 has accepted it, and may lose its disk. A majority of either set without v3 need
// not include a voter that accepted the other set.
func rivalExchange() *cluster {
	c := newClusterWithStandbys(3, 4, 0, []int{1, 1, 1, 1}, voterChanges(firstVoterSet(3), VoterChange{Add: "v3", Remove: "v0"}),
		voterChanges(firstVoterSet(3), VoterChange{Add: "v3", Remove: "v2"}), change0to1, change0to2).withDiskLosses(3, 1)
	c.startRound(0, 0, 1)
	c.deliverTo(0, 1)
	c.proposers[1].ballotNumber = 1
	c.startRound(1, 0, 2)
	c.deliverTo(1, 3)
	return c
}

// No sequence of steps up to a depth violates the guarantees that cluster.violation checks.
func TestAllOrders(t *testing.T) {
	behind := newClusterWithStandbys(3, 4, 0, []int{1, 1, 2}, addV3, change0to1, change0to2).runRound(0, 0, 1, 3).dropMessages()
	exchanged := newClusterWithStandbys(3, 4, 0, []int{1, 2, 1}, swapV0, change0to1, change0to2).runRound(0, 1, 2, 3).dropMessages()
	for name, test := range map[string]struct {
		start *cluster
		depth int
	}{
		"two changes with the same base": {newCluster(3, 0, []int{1, 1}, change0to1, change0to2), 100},
		"one proposer tries again":       {newCluster(3, 0, []int{2, 1}, change0to1, change0to2), 10},
		"a lost disk":                    {newCluster(3, 1, []int{1, 1}, change0to1, change0to2).startRound(0, 0, 1), 9},
		"a lost disk, and a reader":      {learnedVote(), 7},

		"a voter is added":                     {newClusterWithStandbys(3, 4, 0, []int{1, 1}, change0to1, addV3), 8},
		"a voter is removed":                   {newClusterWithStandbys(3, 3, 0, []int{1, 1}, change0to1, dropV2), 9},
		"one is added, another removed":        {newClusterWithStandbys(3, 4, 0, []int{1, 1}, addV3, dropV2), 8},
		"a proposer one epoch out of date":     {behind, 7},
		"a proposer two epochs out of date":    {staleProposer(), 7},
		"a removed voter returns":              {removedVoterReturns(), 7},
		"one voter accepted a rival voter set": {rivalVoterSet(), 8},
		"a lost disk while a voter is added":   {diskLostDuringAdd(), 6},

		"a voter is exchanged":                          {newClusterWithStandbys(3, 4, 0, []int{1, 1}, change0to1, swapV0), 8},
		"two concurrent exchanges":                      {newClusterWithStandbys(3, 4, 0, []int{1, 1}, swapV0, swapV1), 8},
		"the new voter loses its disk":                  {exchangeInProgress(3, 1, 3), 6},
		"the new voter loses its disk, rival voter set": {rivalExchange(), 6},
		"a remaining voter loses its disk":              {exchangeInProgress(1, 1, 3), 6},
		"a removed voter that did not learn of it":      {exchanged, 7},
	} {
		t.Run(name, func(t *testing.T) {
			states := explore(t, test.start, test.depth)
			t.Logf("%d states", states)
			qt.Assert(t, states > 1000, qt.IsTrue)
		})
	}
}

// No long random sequence of steps violates the same guarantees.
func TestRandomOrders(t *testing.T) {
	for name, start := range map[string]*cluster{
		"a change by two proposers, and another change": newCluster(3, 0, []int{3, 3, 3}, change0to1, change0to2, change0to1),
		"a change whose base is committed later":        newCluster(3, 0, []int{3, 3, 3}, change0to1, change1to3, change1to3),
		"a lost disk":                                   newCluster(3, 2, []int{3, 3, 3}, change0to1, change0to2, nil),
		"a lost disk of four voters":                    newCluster(4, 2, []int{3, 3, 3}, change0to1, change0to2, nil),
		"a lost disk of five voters":                    newCluster(5, 2, []int{3, 3, 3}, change0to1, change0to2, nil),
	} {
		t.Run(name, func(t *testing.T) {
			conclusions := runRandom(t, start, 2000)
			t.Logf("%d conclusions", conclusions)
		})
	}
}

// No random sequence of steps with changes of the voters violates the same guarantees. Most messages arrive, so that rounds end
// and one epoch follows another.
func TestRandomOrdersOfMoves(t *testing.T) {
	runs := 1000
	if os.Getenv("SOAK") != "" {
		runs = 3000
	}
	attempts := []int{4, 4, 4, 4, 4}
	swapTwice := voterChanges(firstVoterSet(3), VoterChange{Add: "v3", Remove: "v0"}, VoterChange{Add: "v0", Remove: "v1"})
	four, five := firstVoterSet(4), firstVoterSet(5)
	addV4ToFour := voterChanges(four, VoterChange{Add: "v4"})
	addTwoToFour := voterChanges(four, VoterChange{Add: "v4"}, VoterChange{Add: "v5"})
	dropOneOfFour := voterChanges(four, VoterChange{Remove: "v3"})
	dropTwoOfFour := voterChanges(four, VoterChange{Remove: "v3"}, VoterChange{Remove: "v2"})
	dropOneOfFive := voterChanges(five, VoterChange{Remove: "v4"})
	dropTwoOfFive := voterChanges(five, VoterChange{Remove: "v4"}, VoterChange{Remove: "v3"})
	dropThreeOfFive := voterChanges(five, VoterChange{Remove: "v4"}, VoterChange{Remove: "v3"}, VoterChange{Remove: "v2"})
	for name, start := range map[string]*cluster{
		"three become five": newClusterWithStandbys(3, 5, 0, attempts,
			change0to1, addV3, addV4, change0to2, change1to3),
		"three become five, one loses its disk": newClusterWithStandbys(3, 5, 0, attempts,
			change0to1, addV3, addV4, change0to2, change1to3).withDiskLosses(0, 2),
		"voters are exchanged": newClusterWithStandbys(3, 4, 0, attempts,
			change0to1, addV3, addV3dropV0, change0to2, change1to3),
		"voters are exchanged, one loses its disk": newClusterWithStandbys(3, 4, 0, attempts,
			change0to1, addV3, addV3dropV0, change0to2, change1to3).withDiskLosses(1, 2),
		"exchanged in one step": newClusterWithStandbys(3, 4, 0, attempts,
			change0to1, swapV0, swapV1, change0to2, change1to3),
		"exchanged in one step, the new voter loses its disk": newClusterWithStandbys(3, 4, 0, attempts,
			change0to1, swapV0, swapV1, change0to2, change1to3).withDiskLosses(3, 2),
		"exchanged in one step, a remaining voter loses its disk": newClusterWithStandbys(3, 4, 0, attempts,
			change0to1, swapV0, swapTwice, change0to2, change1to3).withDiskLosses(2, 2),
		"exchanged in one step, the removed voter loses its disk": newClusterWithStandbys(3, 4, 0, attempts,
			change0to1, swapV0, swapTwice, change0to2, change1to3).withDiskLosses(0, 2),
		"rival changes of four voters": newClusterWithStandbys(4, 5, 0, attempts,
			addV4ToFour, dropOneOfFour, change0to1, change0to2, change1to3),
		"rival changes of four voters, one loses its disk": newClusterWithStandbys(4, 5, 0, attempts,
			addV4ToFour, dropOneOfFour, change0to1, change0to2, change1to3).withDiskLosses(0, 2),
		"five become two": newClusterWithStandbys(5, 5, 0, attempts, dropOneOfFive, dropTwoOfFive, dropThreeOfFive, change0to1, change0to2),
		"rival changes grow and shrink the voter set": newClusterWithStandbys(4, 6, 0, attempts,
			addV4ToFour, dropOneOfFour, addTwoToFour, dropTwoOfFour, change0to1),
	} {
		t.Run(name, func(t *testing.T) {
			conclusions := 0
			runsByEpoch := map[uint64]int{}
			for seed := range runs {
				rng := rand.New(rand.NewPCG(uint64(seed), 2))
				cluster := start.clone()
				cluster.randomSteps(rng, 120)
				if violation := cluster.violation(); violation != "" {
					t.Fatalf("guarantee violated: %s, in run %d", violation, seed)
				}
				conclusions += len(cluster.conclusions)
				newest := uint64(0)
				for _, conclusion := range cluster.conclusions {
					newest = max(newest, conclusion.value.VoterSet.Epoch)
				}
				runsByEpoch[newest]++
			}
			t.Logf("%d conclusions, runs by epoch: %v", conclusions, runsByEpoch)
			qt.Assert(t, conclusions > runs, qt.IsTrue)
		})
	}
}

// withDiskLosses allows one voter, and no other, to lose its disk a number of times.
func (c *cluster) withDiskLosses(voter, losses int) *cluster {
	c.faultyVoter = voter
	c.diskLosses = losses
	c.distinguished[c.voters[voter]] = true
	return c
}

// randomSteps takes a number of random steps, or fewer if none is possible any more.
func (c *cluster) randomSteps(rng *rand.Rand, steps int) {
	for range steps {
		if !c.randomStep(rng) {
			return
		}
	}
}

// randomStep takes a random step, and reports whether one was found. Most steps deliver a request and its reply.
func (c *cluster) randomStep(rng *rand.Rand) bool {
	for range 50 {
		messages := len(c.inFlight)
		draw := rng.IntN(100)
		switch {
		case messages > 0 && draw < 70:
			c.step(2 * rng.IntN(messages))
			return true
		case messages > 0 && draw < 74:
			c.step(2*rng.IntN(messages) + 1)
			return true
		case messages > 0 && draw < 80:
			i := rng.IntN(messages)
			c.inFlight = slices.Delete(c.inFlight, i, i+1)
			return true
		case draw < 97:
			i := rng.IntN(len(c.proposers))
			round := c.proposers[i].round
			if (round == nil || round.Finished() || rng.IntN(4) == 0) && c.propose(i) {
				return true
			}
		case c.diskLosses > 0 && c.recoveries[c.faultyVoter] == nil:
			return c.loseDisk(c.faultyVoter)
		}
	}
	return false
}
