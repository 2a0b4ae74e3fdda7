package consensus

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
)

// explore plays all orders of up to so many steps, and gives the number of states.
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

// playRandom plays random orders to their end.
func playRandom(t *testing.T, start *world, runs int) (ends int) {
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
		ends += len(world.conclusions)
	}
	return ends
}

// firstVoterSet is a voter set of v0, v1 and so on.
func firstVoterSet(n int) (voters VoterSet) {
	for i := range n {
		voters.Voters = append(voters.Voters, fmt.Sprint("v", i))
	}
	return voters
}

// voterChanges is the last of some changes of a voter set, each made on the one before.
func voterChanges(voters VoterSet, moves ...VoterChange) *Change {
	var change *Change
	for _, move := range moves {
		change = NewVoterChange(voters, move)
		voters = *change.nextVoters
	}
	return change
}

// playRound has a proposer play a round with some voters to its end.
func (w *world) playRound(proposer int, voters ...int) *world {
	w.propose(proposer)
	for w.proposers[proposer].round.State != Done {
		before := len(w.inFlight)
		for _, v := range voters {
			if i := slices.IndexFunc(w.inFlight, func(message message) bool { return message.proposer == proposer && message.voter == v }); i >= 0 {
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

// startRound has a proposer start a round, and two voters hear of it.
func (w *world) startRound(proposer, a, b int) *world {
	w.propose(proposer)
	w.deliverTo(proposer, a)
	w.deliverTo(proposer, b)
	return w
}

// deliverTo delivers the last request of a proposer to a voter.
func (w *world) deliverTo(proposer, voter int) {
	at := -1
	for i, message := range w.inFlight {
		if message.proposer == proposer && message.voter == voter && (at < 0 || message.request.Kind == Accept) {
			at = i
		}
	}
	w.step(2 * at)
}

// learnedVote is a world in which the disk that will be lost gets back a vote below what it promised.
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

// outOfDate is a world in which v3 was added and v0 removed, of which v0 and v1 know the half, or nothing: a proposer that only
// knows the first voter set races with one that knows the last.
func outOfDate() *world {
	w := newWorldWithStandbys(3, 4, 0, []int{1, 1, 2, 1}, addV3, addV3dropV0, one, two).playRound(0, 1, 2, 3).dropMessages()
	w.proposers[1].knownVoters = *addV3.nextVoters
	w.playRound(1, 1, 2, 3).dropMessages()
	w.proposers[3].knownVoters = *addV3dropV0.nextVoters
	return w
}

// comesBack is a world in which v3 was removed without hearing of it, and proposes with its old voter set.
func comesBack() *world {
	drop := voterChanges(firstVoterSet(4), VoterChange{Remove: "v3"})
	w := newWorldWithStandbys(4, 4, 0, []int{1, 2, 1}, drop, one, two).playRound(0, 0, 1, 2).dropMessages()
	w.proposers[2].knownVoters = *drop.nextVoters
	return w
}

// rivalVoterSet is a world in which one voter accepted a voter set that was not chosen, and a proposer saw that; then another one was
// chosen without that voter, of which a majority meets no majority of the first one.
func rivalVoterSet() *world {
	drop := voterChanges(firstVoterSet(4), VoterChange{Remove: "v3"})
	w := newWorldWithStandbys(4, 5, 0, []int{1, 1, 1, 2}, voterChanges(firstVoterSet(4), VoterChange{Add: "v4"}), drop, one, two).startRound(0, 1, 2)
	w.deliverTo(0, 3)
	w.deliverTo(0, 3)
	w.proposers[3].ballotNumber = 1
	w.startRound(3, 1, 2).deliverTo(3, 3)
	w.proposers[1].ballotNumber = 2
	w.playRound(1, 0, 1, 2).dropMessages()
	w.proposers[2].knownVoters, w.proposers[2].ballotNumber, w.proposers[3].ballotNumber = *drop.nextVoters, 3, 4
	return w
}

// lostWhileAdded is a world in which a voter's disk may be lost when another is being added.
func lostWhileAdded() *world {
	w := newWorldWithStandbys(3, 4, 1, []int{1, 1, 1}, voterChanges(firstVoterSet(3), VoterChange{Add: "v3"}), one, two)
	w.propose(0)
	w.deliverTo(0, 0)
	w.deliverTo(0, 1)
	w.deliverTo(0, 3)
	return w
}

// exchanging is a world in which v0 is being exchanged for v3; two of the others have promised, and one voter's disk may be lost.
func exchanging(loser, a, b int) *world {
	w := newWorldWithStandbys(3, 4, 0, []int{1, 1, 1}, swapV0, one, two).mayLose(loser, 1)
	w.startRound(0, 1, 2)
	w.deliverTo(0, a)
	w.deliverTo(0, b)
	return w
}

// rivalExchange is a world in which v1 accepted a voter set with v3 in place of v0 that was not chosen, and one with v3 in place of v2
// is about to be: v3 accepted it and may lose its disk then. A majority of either set without v3 need not meet those who chose.
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

func TestAllOrders(t *testing.T) {
	for name, test := range map[string]struct {
		w     *world
		depth int
	}{
		"two changes on a base":     {newWorld(3, 0, []int{1, 1}, one, two), 100},
		"one tries again":           {newWorld(3, 0, []int{2, 1}, one, two), 10},
		"a lost disk":               {newWorld(3, 1, []int{1, 1}, one, two).startRound(0, 0, 1), 9},
		"a lost disk, and a reader": {learnedVote(), 7},

		"a voter is added":               {newWorldWithStandbys(3, 4, 0, []int{1, 1}, one, addV3), 8},
		"a voter is removed":             {newWorldWithStandbys(3, 3, 0, []int{1, 1}, one, dropV2), 9},
		"one is added, another removed":  {newWorldWithStandbys(3, 4, 0, []int{1, 1}, addV3, dropV2), 8},
		"a proposer that is out of date": {newWorldWithStandbys(3, 4, 0, []int{1, 1, 2}, addV3, one, two).playRound(0, 0, 1, 3).dropMessages(), 7},
		"two epochs out of date":         {outOfDate(), 7},
		"a removed voter comes back":     {comesBack(), 7},
		"a rival list that one has":      {rivalVoterSet(), 8},
		"a lost disk while one is added": {lostWhileAdded(), 6},

		"a voter is exchanged":              {newWorldWithStandbys(3, 4, 0, []int{1, 1}, one, swapV0), 8},
		"two exchanges race":                {newWorldWithStandbys(3, 4, 0, []int{1, 1}, swapV0, swapV1), 8},
		"who joins loses its disk":          {exchanging(3, 1, 3), 6},
		"who joins loses its disk, rival":   {rivalExchange(), 6},
		"who stays loses its disk":          {exchanging(1, 1, 3), 6},
		"who was exchanged, and knows less": {newWorldWithStandbys(3, 4, 0, []int{1, 2, 1}, swapV0, one, two).playRound(0, 1, 2, 3).dropMessages(), 7},
	} {
		t.Run(name, func(t *testing.T) {
			states := explore(t, test.w, test.depth)
			t.Logf("%d states", states)
			qt.Assert(t, states > 1000, qt.IsTrue)
		})
	}
}

func TestRandomOrders(t *testing.T) {
	for name, w := range map[string]*world{
		"a change twice, and another": newWorld(3, 0, []int{3, 3, 3}, one, two, one),
		"a base that comes later":     newWorld(3, 0, []int{3, 3, 3}, one, three, three),
		"a lost disk":                 newWorld(3, 2, []int{3, 3, 3}, one, two, nil),
		"a lost disk of four":         newWorld(4, 2, []int{3, 3, 3}, one, two, nil),
		"a lost disk of five":         newWorld(5, 2, []int{3, 3, 3}, one, two, nil),
	} {
		t.Run(name, func(t *testing.T) {
			ends := playRandom(t, w, 2000)
			t.Logf("%d conclusions", ends)
		})
	}
}

// While the voters change, in orders in which most messages arrive, so that rounds end and epochs follow each other.
func TestRandomOrdersOfMoves(t *testing.T) {
	plays := 1000
	if os.Getenv("SOAK") != "" {
		plays = 3000
	}
	many := []int{4, 4, 4, 4, 4}
	drop := func(n int, node string) *Change { return voterChanges(firstVoterSet(n), VoterChange{Remove: node}) }
	for name, world := range map[string]*world{
		"three become five":             newWorldWithStandbys(3, 5, 0, many, one, addV3, addV4, two, three),
		"three become five, a disk":     newWorldWithStandbys(3, 5, 0, many, one, addV3, addV4, two, three).mayLose(0, 2),
		"voters are exchanged":          newWorldWithStandbys(3, 4, 0, many, one, addV3, addV3dropV0, two, three),
		"voters are exchanged, a disk":  newWorldWithStandbys(3, 4, 0, many, one, addV3, addV3dropV0, two, three).mayLose(1, 2),
		"exchanged in one step":         newWorldWithStandbys(3, 4, 0, many, one, swapV0, swapV1, two, three),
		"exchanged, who joins, a disk":  newWorldWithStandbys(3, 4, 0, many, one, swapV0, swapV1, two, three).mayLose(3, 2),
		"exchanged, who stays, a disk":  newWorldWithStandbys(3, 4, 0, many, one, swapV0, voterChanges(firstVoterSet(3), VoterChange{Add: "v3", Remove: "v0"}, VoterChange{Add: "v0", Remove: "v1"}), two, three).mayLose(2, 2),
		"exchanged, who leaves, a disk": newWorldWithStandbys(3, 4, 0, many, one, swapV0, voterChanges(firstVoterSet(3), VoterChange{Add: "v3", Remove: "v0"}, VoterChange{Add: "v0", Remove: "v1"}), two, three).mayLose(0, 2),
		"rivals of four":                newWorldWithStandbys(4, 5, 0, many, voterChanges(firstVoterSet(4), VoterChange{Add: "v4"}), drop(4, "v3"), one, two, three),
		"rivals of four, a disk": newWorldWithStandbys(4, 5, 0, many, voterChanges(firstVoterSet(4), VoterChange{Add: "v4"}), drop(4, "v3"), one, two, three).
			mayLose(0, 2),
		"five become two": newWorldWithStandbys(5, 5, 0, many, drop(5, "v4"), voterChanges(firstVoterSet(5), VoterChange{Remove: "v4"}, VoterChange{Remove: "v3"}),
			voterChanges(firstVoterSet(5), VoterChange{Remove: "v4"}, VoterChange{Remove: "v3"}, VoterChange{Remove: "v2"}), one, two),
		"rivals grow and shrink": newWorldWithStandbys(4, 6, 0, many, voterChanges(firstVoterSet(4), VoterChange{Add: "v4"}), drop(4, "v3"),
			voterChanges(firstVoterSet(4), VoterChange{Add: "v4"}, VoterChange{Add: "v5"}), voterChanges(firstVoterSet(4), VoterChange{Remove: "v3"}, VoterChange{Remove: "v2"}), one),
	} {
		t.Run(name, func(t *testing.T) {
			ends, epochs := 0, map[uint64]int{}
			for seed := range plays {
				rng := rand.New(rand.NewPCG(uint64(seed), 2))
				world := world.clone()
				world.randomSteps(rng, 120)
				if fault := world.fault(); fault != "" {
					t.Fatalf("%s in run %d", fault, seed)
				}
				ends += len(world.conclusions)
				newest := uint64(0)
				for _, conclusion := range world.conclusions {
					newest = max(newest, conclusion.value.VoterSet.Epoch)
				}
				epochs[newest]++
			}
			t.Logf("%d conclusions, runs by epoch: %v", ends, epochs)
			qt.Assert(t, ends > plays, qt.IsTrue)
		})
	}
}

// mayLose lets a voter lose its disk so often.
func (w *world) mayLose(voter, losses int) *world {
	w.loser, w.diskLosses = voter, losses
	w.distinguished[w.voters[voter]] = true
	return w
}

// randomSteps does so many steps by chance, or fewer if there is none to do.
func (w *world) randomSteps(rng *rand.Rand, steps int) {
	for range steps {
		if !w.randomStep(rng) {
			return
		}
	}
}

// randomStep does a step by chance; it reports whether there was one to do.
func (w *world) randomStep(rng *rand.Rand) bool {
	for range 50 {
		flight := len(w.inFlight)
		draw := rng.IntN(100)
		switch {
		case flight > 0 && draw < 70:
			w.step(2 * rng.IntN(flight))
			return true
		case flight > 0 && draw < 74:
			w.step(2*rng.IntN(flight) + 1)
			return true
		case flight > 0 && draw < 80:
			i := rng.IntN(flight)
			w.inFlight = slices.Delete(w.inFlight, i, i+1)
			return true
		case draw < 97:
			i := rng.IntN(len(w.proposers))
			if proposer := &w.proposers[i]; (proposer.round == nil || proposer.round.Finished() || rng.IntN(4) == 0) && w.propose(i) {
				return true
			}
		case w.diskLosses > 0 && w.recoveries[w.loser] == nil:
			return w.loseDisk(w.loser)
		}
	}
	return false
}
