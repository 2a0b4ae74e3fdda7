package lease

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// initialStatus is the status of a voter that knows the first voter set.
var initialStatus = VoterStatus{Ready: true}

// twoCandidates is a state of two candidates and three voters. A step is a number: 0 to 2 deliver the first, second or third
// message in flight, stepLose loses the first message, stepWait advances the time, and stepRestart restarts the first voter.
type twoCandidates struct {
	now        time.Duration
	voters     []*Voter
	candidates []*Candidate
	messages   []scheduledMessage
}

const (
	stepLose = 3 + iota
	stepWait
	stepRestart
	stepKinds
)

// scheduledMessage is a request, or the reply to it, in flight.
type scheduledMessage struct {
	candidate, voter int
	requestedAt      time.Duration
	request          *Request
	reply            *Reply
}

func newTwoCandidates() *twoCandidates {
	halfJitter := func() float64 { return 0.5 }
	return &twoCandidates{
		voters:     []*Voter{NewVoter(0, true), NewVoter(0, true), NewVoter(0, true)},
		candidates: []*Candidate{NewCandidate("a", 1, "d", halfJitter), NewCandidate("b", 2, "d", halfJitter)},
	}
}

func (s *twoCandidates) step(step int) {
	switch {
	case step < stepLose && step < len(s.messages):
		message := s.messages[step]
		s.messages = append(append([]scheduledMessage{}, s.messages[:step]...), s.messages[step+1:]...)
		s.deliver(message)
	case step == stepLose && len(s.messages) > 0:
		s.messages = s.messages[1:]
	case step == stepWait:
		s.now += Duration/2 - 10*time.Millisecond
		s.tick()
	case step == stepRestart:
		s.voters[0] = NewVoter(s.now, false)
	}
}

func (s *twoCandidates) deliver(message scheduledMessage) {
	if message.reply == nil {
		message.reply = s.voters[message.voter].Handle(s.now, initialStatus, message.request)
		s.messages = append(s.messages, message)
		return
	}
	s.candidates[message.candidate].HandleReply(s.now, message.requestedAt, voterName(message.voter), message.reply)
}

func (s *twoCandidates) tick() {
	for i, candidate := range s.candidates {
		request := candidate.Tick(s.now, len(s.voters), 0)
		if request == nil {
			continue
		}
		for voter := range s.voters {
			s.messages = append(s.messages, scheduledMessage{candidate: i, voter: voter, requestedAt: s.now, request: request})
		}
	}
}

func voterName(voter int) string { return string(rune('0' + voter)) }

// bothHold reports whether both of two candidates hold the lease at the time now.
func bothHold(now time.Duration, candidates []*Candidate) bool {
	_, first := candidates[0].Holds(now)
	_, second := candidates[1].Holds(now)
	return first && second
}

// Two candidates never hold the lease at the same time: neither in any sequence of depth steps, nor in long random sequences in
// which leases end many times.
func TestOneHolds(t *testing.T) {
	const depth = 7
	runs := 0
	run := func(path []int) {
		schedule := newTwoCandidates()
		for _, step := range path {
			schedule.step(step)
			if bothHold(schedule.now, schedule.candidates) {
				t.Fatalf("both candidates hold the lease after steps %v", path)
			}
		}
		runs++
	}
	var play func(path []int)
	play = func(path []int) {
		if len(path) == depth {
			run(path)
			return
		}
		for step := range stepKinds {
			if len(path) == 0 && step != stepWait {
				continue
			}
			play(append(path, step))
		}
	}
	play(nil)
	rng := rand.New(rand.NewPCG(1, 2))
	for range 20000 {
		path := []int{stepWait}
		for range 60 {
			path = append(path, []int{0, 0, 0, 1, 2, 2, stepLose, stepWait, stepWait, stepRestart}[rng.IntN(10)])
		}
		run(path)
	}
	t.Logf("checked %d sequences of steps", runs)
}

// growingVoterSet is a run in which the number of voters grows from three to five, one by one. Random voters accept each new voter
// set, and each candidate learns of it at a random time.
type growingVoterSet struct {
	rng        *rand.Rand
	now        time.Duration
	decided    uint64 // the newest decided epoch
	voters     []*Voter
	accepted   []uint64 // the newest accepted epochs, by voter
	candidates []*Candidate
	known      []uint64 // the newest known epochs, by candidate
	obtained   int      // how often a candidate obtained the lease
}

func newGrowingVoterSet(rng *rand.Rand) *growingVoterSet {
	g := &growingVoterSet{rng: rng, accepted: make([]uint64, 5), known: make([]uint64, 2)}
	for range g.accepted {
		g.voters = append(g.voters, NewVoter(0, true))
	}
	g.candidates = []*Candidate{NewCandidate("a", 1, "d", rng.Float64), NewCandidate("b", 2, "d", rng.Float64)}
	return g
}

// grow decides the next voter set: a majority of the current voters, and the new voter, accept it.
func (g *growingVoterSet) grow() {
	count := voterCountOf(g.decided)
	g.decided++
	for _, voter := range g.rng.Perm(count)[:count/2+1] {
		g.accepted[voter] = g.decided
	}
	g.accepted[count] = g.decided
}

// voterCountOf returns the number of voters of an epoch.
func voterCountOf(epoch uint64) int { return int(epoch) + 3 }

func (g *growingVoterSet) step() {
	g.now += time.Duration(g.rng.Int64N(int64(Duration / 3)))
	if g.decided < 2 && g.rng.IntN(8) == 0 {
		g.grow()
	}
	i := g.rng.IntN(2)
	if g.rng.IntN(6) == 0 {
		g.known[i] = g.decided
	}
	count := voterCountOf(g.known[i])
	request := g.candidates[i].Tick(g.now, count, g.known[i])
	if request == nil {
		return
	}
	for _, voter := range g.rng.Perm(count)[:count/2+1+g.rng.IntN(count/2)] {
		status := VoterStatus{Ready: true, VoterSetEpoch: g.accepted[voter]}
		reply := g.voters[voter].Handle(g.now, status, request)
		if g.candidates[i].HandleReply(g.now, g.now, voterName(voter), reply) {
			g.obtained++
		}
	}
}

// While the number of voters grows from three to five, two candidates never hold the lease at the same time, although a majority of
// the first voter set and one of the last can be disjoint.
func TestOneHoldsWhileVotersChange(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	obtained, violations := 0, 0
	for range 20000 {
		run := newGrowingVoterSet(rng)
		for range 80 {
			run.step()
			if bothHold(run.now, run.candidates) {
				violations++
			}
		}
		obtained += run.obtained
	}
	t.Logf("lease obtained %d times", obtained)
	qt.Assert(t, violations, qt.Equals, 0)
	qt.Assert(t, obtained > 20000, qt.IsTrue)
}
