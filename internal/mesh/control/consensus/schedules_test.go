package consensus

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
)

// explore takes all sequences of up to depth steps, checks each state, and returns the number of states.
func explore(t *testing.T, start *world, depth int) int {
	t.Helper()
	type node struct {
		world *world
		path  []byte
	}
	seen := map[uint64]bool{start.key(): true}
	level := []node{{world: start}}
	for ; depth > 0 && len(level) > 0; depth-- {
		var next []node
		for _, reached := range level {
			for step := range reached.world.steps() {
				world := reached.world.clone()
				if !world.step(step) {
					continue
				}
				key := world.key()
				if seen[key] {
					continue
				}
				seen[key] = true
				path := append(slices.Clone(reached.path), byte(step))
				if fault := world.fault(); fault != "" {
					t.Fatalf("%s after steps %v", fault, path)
				}
				next = append(next, node{world, path})
			}
		}
		level = next
	}
	return len(seen)
}

// playRandom takes random sequences of steps to their ends, and returns the number of conclusions.
func playRandom(t *testing.T, start *world, runs int) (conclusions int) {
	t.Helper()
	for seed := range runs {
		rng := rand.New(rand.NewPCG(uint64(seed), 1))
		world := start.clone()
		for step := 0; step < 200 && world.steps() > 0; step++ {
			before := len(world.conclusions)
			world.step(rng.IntN(world.steps()))
			if len(world.conclusions) == before && step%20 != 19 {
				continue
			}
			if fault := world.fault(); fault != "" {
				t.Fatalf("%s in run %d", fault, seed)
			}
		}
		conclusions += len(world.conclusions)
	}
	return conclusions
}

// firstVoterSet returns the voter set of n voters v0, v1 and so on.
func firstVoterSet(n int) (voters VoterSet) {
	for i := range n {
		voters.Voters = append(voters.Voters, fmt.Sprint("v", i))
	}
	return voters
}

// voterChanges returns the last of several changes of a voter set, each of which is made to the outcome of the one before.
func voterChanges(voters VoterSet, changes ...VoterChange) *Change {
	var last *Change
	for _, change := range changes {
		last = NewVoterChange(voters, change)
		voters = *last.nextVoters
	}
	return last
}

// playRound starts a proposer's round, and delivers messages between it and some voters until it is Done.
func (w *world) playRound(proposer int, voters ...int) *world {
	w.propose(proposer)
	for w.proposers[proposer].round.State != Done {
		before := len(w.inFlight)
		for _, voter := range voters {
			isNext := func(message message) bool { return message.proposer == proposer && message.voter == voter }
			if i := slices.IndexFunc(w.inFlight, isNext); i >= 0 {
				w.step(2 * i)
			}
		}
		if len(w.inFlight) == before {
			panic("the round doesn't end")
		}
	}
	return w
}

// dropMessages drops all messages in flight.
func (w *world) dropMessages() *world {
	w.inFlight = nil
	return w
}

var (
	one   = NewChange(0, 1, []byte("one"))
	two   = NewChange(0, 2, []byte("two"))
	three = NewChange(1, 3, []byte("three"))
)

// startRound starts a proposer's round, and delivers its first request to two voters.
func (w *world) startRound(proposer, a, b int) *world {
	w.propose(proposer)
	w.deliverTo(proposer, a)
	w.deliverTo(proposer, b)
	return w
}

// deliverTo delivers the newest request of a proposer to a voter.
func (w *world) deliverTo(proposer, voter int) {
	newest := -1
	for i, message := range w.inFlight {
		if message.proposer == proposer && message.voter == voter && (newest < 0 || message.request.Kind == Accept) {
			newest = i
		}
	}
	w.step(2 * newest)
}

// learnedVote returns a world in which the recovery of the voter that may lose its disk learns a vote below its last promise.
func learnedVote() *world {
	w := newWorld(3, 1, []int{1, 1, 1}, one, two, nil).startRound(0, 0, 1)
	w.deliverTo(0, 0)
	return w.startRound(1, 1, 2)
}

var (
	addV3       = voterChanges(firstVoterSet(3), VoterChange{Add: "v3"})
	addV4       = voterChanges(firstVoterSet(3), VoterChange{Add: "v3"}, VoterChange{Add: "v4"})
	dropV2      = voterChanges(firstVoterSet(3), VoterChange{Remove: "v2"})
	swapV0      = voterChanges(firstVoterSet(3), VoterChange{Add: "v3", Remove: "v0"})
	swapV1      = voterChanges(firstVoterSet(3), VoterChange{Add: "v3", Remove: "v1"})
	addV3dropV0 = voterChanges(firstVoterSet(3), VoterChange{Add: "v3"}, VoterChange{Remove: "v0"})
)

// outOfDate returns a world in which v3 was added and then v0 removed. v1 to v3 took part in both changes, v0 in neither. A
// proposer that only knows the first voter set races with one that knows the last.
func outOfDate() *world {
	w := newWorldWithStandbys(3, 4, 0, []int{1, 1, 2, 1}, addV3, addV3dropV0, one, two).playRound(0, 1, 2, 3).dropMessages()
	w.proposers[1].knownVoters = *addV3.nextVoters
	w.playRound(1, 1, 2, 3).dropMessages()
	w.proposers[3].knownVoters = *addV3dropV0.nextVoters
	return w
}

// comesBack returns a world in which v3 was removed without its knowledge. A proposer that only knows the old voter set
// races with one that knows the new one.
func comesBack() *world {
	drop := voterChanges(firstVoterSet(4), VoterChange{Remove: "v3"})
	w := newWorldWithStandbys(4, 4, 0, []int{1, 2, 1}, drop, one, two).playRound(0, 0, 1, 2).dropMessages()
	w.proposers[2].knownVoters = *drop.nextVoters
	return w
}

// rivalVoterSet returns a world in which one voter accepted a voter set that was not chosen, and a proposer has seen that. Then
// another voter set was chosen without that voter; the two sets have majorities that share no voter.
func rivalVoterSet() *world {
	drop := voterChanges(firstVoterSet(4), VoterChange{Remove: "v3"})
	add := voterChanges(firstVoterSet(4), VoterChange{Add: "v4"})
	w := newWorldWithStandbys(4, 5, 0, []int{1, 1, 1, 2}, add, drop, one, two).startRound(0, 1, 2)
	w.deliverTo(0, 3)
	w.deliverTo(0, 3)
	w.proposers[3].ballotNumber = 1
	w.startRound(3, 1, 2).deliverTo(3, 3)
	w.proposers[1].ballotNumber = 2
	w.playRound(1, 0, 1, 2).dropMessages()
	w.proposers[2].knownVoters = *drop.nextVoters
	w.proposers[2].ballotNumber = 3
	w.proposers[3].ballotNumber = 4
	return w
}

// lostWhileAdded returns a world in which v3 is being added, and may lose its disk meanwhile.
func lostWhileAdded() *world {
	w := newWorldWithStandbys(3, 4, 1, []int{1, 1, 1}, voterChanges(firstVoterSet(3), VoterChange{Add: "v3"}), one, two)
	w.propose(0)
	w.deliverTo(0, 0)
	w.deliverTo(0, 1)
	w.deliverTo(0, 3)
	return w
}

// exchanging returns a world in which v0 is being exchanged for v3. Two voters have promised, a and b have received the next
// request, and the loser may lose its disk.
func exchanging(loser, a, b int) *world {
	w := newWorldWithStandbys(3, 4, 0, []int{1, 1, 1}, swapV0, one, two).mayLose(loser, 1)
	w.startRound(0, 1, 2)
	w.deliverTo(0, a)
	w.deliverTo(0, b)
	return w
}

// rivalExchange returns a world in which v1 accepted a voter set with v3 in place of v0 that was not chosen, and a set with v3 in
// place of v2 is about to be chosen: v3 has accepted it, and may lose its disk. A majority of either set without v3 need not
// include a voter that accepted the other.
func rivalExchange() *world {
	w := newWorldWithStandbys(3, 4, 0, []int{1, 1, 1, 1}, voterChanges(firstVoterSet(3), VoterChange{Add: "v3", Remove: "v0"}),
		voterChanges(firstVoterSet(3), VoterChange{Add: "v3", Remove: "v2"}), one, two).mayLose(3, 1)
	w.startRound(0, 0, 1)
	w.deliverTo(0, 1)
	w.proposers[1].ballotNumber = 1
	w.startRound(1, 0, 2)
	w.deliverTo(1, 3)
	return w
}

// All sequences of steps, up to a depth, keep the guarantees that world.fault checks.
func TestAllOrders(t *testing.T) {
	behind := newWorldWithStandbys(3, 4, 0, []int{1, 1, 2}, addV3, one, two).playRound(0, 0, 1, 3).dropMessages()
	exchanged := newWorldWithStandbys(3, 4, 0, []int{1, 2, 1}, swapV0, one, two).playRound(0, 1, 2, 3).dropMessages()
	for name, test := range map[string]struct {
		start *world
		depth int
	}{
		"two changes on a base":     {newWorld(3, 0, []int{1, 1}, one, two), 100},
		"one tries again":           {newWorld(3, 0, []int{2, 1}, one, two), 10},
		"a lost disk":               {newWorld(3, 1, []int{1, 1}, one, two).startRound(0, 0, 1), 9},
		"a lost disk, and a reader": {learnedVote(), 7},

		"a voter is added":               {newWorldWithStandbys(3, 4, 0, []int{1, 1}, one, addV3), 8},
		"a voter is removed":             {newWorldWithStandbys(3, 3, 0, []int{1, 1}, one, dropV2), 9},
		"one is added, another removed":  {newWorldWithStandbys(3, 4, 0, []int{1, 1}, addV3, dropV2), 8},
		"a proposer that is out of date": {behind, 7},
		"two epochs out of date":         {outOfDate(), 7},
		"a removed voter comes back":     {comesBack(), 7},
		"a rival list that one has":      {rivalVoterSet(), 8},
		"a lost disk while one is added": {lostWhileAdded(), 6},

		"a voter is exchanged":              {newWorldWithStandbys(3, 4, 0, []int{1, 1}, one, swapV0), 8},
		"two exchanges race":                {newWorldWithStandbys(3, 4, 0, []int{1, 1}, swapV0, swapV1), 8},
		"who joins loses its disk":          {exchanging(3, 1, 3), 6},
		"who joins loses its disk, rival":   {rivalExchange(), 6},
		"who stays loses its disk":          {exchanging(1, 1, 3), 6},
		"who was exchanged, and knows less": {exchanged, 7},
	} {
		t.Run(name, func(t *testing.T) {
			states := explore(t, test.start, test.depth)
			t.Logf("%d states", states)
			qt.Assert(t, states > 1000, qt.IsTrue)
		})
	}
}

// Long random sequences of steps keep the same guarantees.
func TestRandomOrders(t *testing.T) {
	for name, start := range map[string]*world{
		"a change twice, and another": newWorld(3, 0, []int{3, 3, 3}, one, two, one),
		"a base that comes later":     newWorld(3, 0, []int{3, 3, 3}, one, three, three),
		"a lost disk":                 newWorld(3, 2, []int{3, 3, 3}, one, two, nil),
		"a lost disk of four":         newWorld(4, 2, []int{3, 3, 3}, one, two, nil),
		"a lost disk of five":         newWorld(5, 2, []int{3, 3, 3}, one, two, nil),
	} {
		t.Run(name, func(t *testing.T) {
			conclusions := playRandom(t, start, 2000)
			t.Logf("%d conclusions", conclusions)
		})
	}
}

// While the voters change, random sequences of steps in which most messages arrive, so that rounds end and epochs follow one
// another, keep the same guarantees.
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
	for name, start := range map[string]*world{
		"three become five":             newWorldWithStandbys(3, 5, 0, attempts, one, addV3, addV4, two, three),
		"three become five, a disk":     newWorldWithStandbys(3, 5, 0, attempts, one, addV3, addV4, two, three).mayLose(0, 2),
		"voters are exchanged":          newWorldWithStandbys(3, 4, 0, attempts, one, addV3, addV3dropV0, two, three),
		"voters are exchanged, a disk":  newWorldWithStandbys(3, 4, 0, attempts, one, addV3, addV3dropV0, two, three).mayLose(1, 2),
		"exchanged in one step":         newWorldWithStandbys(3, 4, 0, attempts, one, swapV0, swapV1, two, three),
		"exchanged, who joins, a disk":  newWorldWithStandbys(3, 4, 0, attempts, one, swapV0, swapV1, two, three).mayLose(3, 2),
		"exchanged, who stays, a disk":  newWorldWithStandbys(3, 4, 0, attempts, one, swapV0, swapTwice, two, three).mayLose(2, 2),
		"exchanged, who leaves, a disk": newWorldWithStandbys(3, 4, 0, attempts, one, swapV0, swapTwice, two, three).mayLose(0, 2),
		"rivals of four":                newWorldWithStandbys(4, 5, 0, attempts, addV4ToFour, dropOneOfFour, one, two, three),
		"rivals of four, a disk":        newWorldWithStandbys(4, 5, 0, attempts, addV4ToFour, dropOneOfFour, one, two, three).mayLose(0, 2),
		"five become two":               newWorldWithStandbys(5, 5, 0, attempts, dropOneOfFive, dropTwoOfFive, dropThreeOfFive, one, two),
		"rivals grow and shrink":        newWorldWithStandbys(4, 6, 0, attempts, addV4ToFour, dropOneOfFour, addTwoToFour, dropTwoOfFour, one),
	} {
		t.Run(name, func(t *testing.T) {
			conclusions := 0
			runsByEpoch := map[uint64]int{}
			for seed := range runs {
				rng := rand.New(rand.NewPCG(uint64(seed), 2))
				world := start.clone()
				world.randomSteps(rng, 120)
				if fault := world.fault(); fault != "" {
					t.Fatalf("%s in run %d", fault, seed)
				}
				conclusions += len(world.conclusions)
				newest := uint64(0)
				for _, conclusion := range world.conclusions {
					newest = max(newest, conclusion.value.VoterSet.Epoch)
				}
				runsByEpoch[newest]++
			}
			t.Logf("%d conclusions, runs by epoch: %v", conclusions, runsByEpoch)
			qt.Assert(t, conclusions > runs, qt.IsTrue)
		})
	}
}

// mayLose allows a voter, and no other one, to lose its disk a number of times.
func (w *world) mayLose(voter, losses int) *world {
	w.loser = voter
	w.diskLosses = losses
	w.distinguished[w.voters[voter]] = true
	return w
}

// randomSteps takes random steps, fewer if no further one is possible.
func (w *world) randomSteps(rng *rand.Rand, steps int) {
	for range steps {
		if !w.randomStep(rng) {
			return
		}
	}
}

// randomStep takes a random step, and reports whether one was possible. Most steps deliver a message and its reply.
func (w *world) randomStep(rng *rand.Rand) bool {
	for range 50 {
		messages := len(w.inFlight)
		draw := rng.IntN(100)
		switch {
		case messages > 0 && draw < 70:
			w.step(2 * rng.IntN(messages))
			return true
		case messages > 0 && draw < 74:
			w.step(2*rng.IntN(messages) + 1)
			return true
		case messages > 0 && draw < 80:
			i := rng.IntN(messages)
			w.inFlight = slices.Delete(w.inFlight, i, i+1)
			return true
		case draw < 97:
			i := rng.IntN(len(w.proposers))
			round := w.proposers[i].round
			if (round == nil || round.Finished() || rng.IntN(4) == 0) && w.propose(i) {
				return true
			}
		case w.diskLosses > 0 && w.recoveries[w.loser] == nil:
			return w.loseDisk(w.loser)
		}
	}
	return false
}
