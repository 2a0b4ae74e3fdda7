package lease

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// exchangeRun is one random schedule: three candidates, sets of three voters that are exchanged one by one, messages that are
// late, lost or doubled, candidates that are cut off, steady clocks that differ by up to 5%, voters that restart, and voter sets
// that are learnt late.
type exchangeRun struct {
	rng          *rand.Rand
	now          time.Duration // real time
	voterSets    [][]int       // by epoch
	voters       []*exchangeVoter
	candidates   []*exchangeCandidate
	messages     []exchangeMessage
	obtained     int // how often the lease came to a process
	carriedOver  int // how often it was renewed under a newer voter set
	highestToken uint64
}

type exchangeVoter struct {
	*Voter
	clockRate float64
	accepted  uint64        // epoch, on disk
	readyAt   time.Duration // its disk is read
}

type exchangeCandidate struct {
	*Candidate
	clockRate    float64
	cutOffUntil  time.Duration
	knownEpoch   uint64
	requestEpoch uint64 // epoch of its newest request
}

type exchangeMessage struct {
	arrivesAt   time.Duration
	candidate   int
	voter       int
	requestedAt time.Duration // by the candidate's clock
	request     *Request
	reply       *Reply
}

func localTime(now time.Duration, rate float64) time.Duration {
	return time.Duration(float64(now) * rate)
}

func newExchangeRun(seed uint64) *exchangeRun {
	run := &exchangeRun{rng: rand.New(rand.NewPCG(seed, 44)), voterSets: [][]int{{0, 1, 2}}}
	rate := func() float64 { return 1 + 0.049*run.rng.Float64() }
	for range 5 {
		run.voters = append(run.voters, &exchangeVoter{Voter: NewVoter(0, true), clockRate: rate()})
	}
	for i := range 3 {
		candidate := NewCandidate(fmt.Sprint(i), uint64(i)+1, "d", run.rng.Float64)
		candidate.SetRank(i)
		run.candidates = append(run.candidates, &exchangeCandidate{Candidate: candidate, clockRate: rate()})
	}
	return run
}

// exchange puts one process in the place of one voter: majorities of both voter sets accept it, then it is chosen.
func (e *exchangeRun) exchange() {
	old := e.voterSets[len(e.voterSets)-1]
	next := slices.Clone(old)
	for fresh := e.rng.IntN(5); ; fresh = (fresh + 1) % 5 {
		if !slices.Contains(old, fresh) {
			next[e.rng.IntN(3)] = fresh
			break
		}
	}
	epoch := uint64(len(e.voterSets))
	for _, voterSet := range [][]int{old, next} {
		for _, i := range e.rng.Perm(3)[:2+e.rng.IntN(2)] {
			e.voters[voterSet[i]].accepted = epoch
		}
	}
	e.voterSets = append(e.voterSets, next)
}

func (e *exchangeRun) send(message exchangeMessage) {
	for range 1 + e.rng.IntN(10)/9 { // some arrive twice
		if e.rng.IntN(12) == 0 || e.now < e.candidates[message.candidate].cutOffUntil {
			continue
		}
		message.arrivesAt = e.now + time.Duration(e.rng.Int64N(int64(10*time.Millisecond)))
		if e.rng.IntN(8) == 0 {
			message.arrivesAt += time.Duration(e.rng.Int64N(int64(Duration)))
		}
		e.messages = append(e.messages, message)
	}
}

func (e *exchangeRun) deliver() {
	due := e.messages
	e.messages = nil
	for _, message := range due {
		switch voter, candidate := e.voters[message.voter], e.candidates[message.candidate]; {
		case message.arrivesAt > e.now:
			e.messages = append(e.messages, message)
		case message.reply == nil:
			var status VoterStatus // nothing, while the disk is not read
			if e.now >= voter.readyAt {
				status = VoterStatus{Ready: true, VoterSetEpoch: voter.accepted}
			}
			message.reply = voter.Handle(localTime(e.now, voter.clockRate), status, message.request)
			e.send(message)
		case candidate.HandleReply(localTime(e.now, candidate.clockRate), message.requestedAt, fmt.Sprint(message.voter), message.reply):
			e.obtained++
		}
	}
}

// step lets 20 ms pass.
func (e *exchangeRun) step() {
	e.now += 20 * time.Millisecond
	e.breakSomething()
	e.deliver()
	for i := range e.candidates {
		e.tick(i)
	}
}

// breakSomething exchanges a voter, restarts one, or cuts a candidate off, each by chance.
func (e *exchangeRun) breakSomething() {
	if e.rng.IntN(120) == 0 {
		e.exchange()
	}
	if e.rng.IntN(250) == 0 { // a voter restarts: its grants are forgotten, its disk stays, and is read late
		voter := e.voters[e.rng.IntN(5)]
		voter.Voter = NewVoter(localTime(e.now, voter.clockRate), false)
		voter.readyAt = e.now + time.Duration(e.rng.Int64N(int64(2*Duration)))
	}
	if e.rng.IntN(100) == 0 {
		e.candidates[e.rng.IntN(3)].cutOffUntil = e.now + time.Duration(e.rng.Int64N(int64(3*Duration)))
	}
}

// tick has a candidate learn of a newer voter set, or of a newer fencing token, by chance, and send its request.
func (e *exchangeRun) tick(i int) {
	candidate := e.candidates[i]
	if e.rng.IntN(10) == 0 {
		candidate.knownEpoch = max(candidate.knownEpoch, uint64(e.rng.IntN(len(e.voterSets))))
	}
	now := localTime(e.now, candidate.clockRate)
	if e.rng.IntN(500) == 0 {
		candidate.ObserveToken(now, e.highestToken)
	}
	request := candidate.Tick(now, 3, candidate.knownEpoch)
	if request == nil {
		return
	}
	if _, ok := candidate.Holds(now); ok && candidate.knownEpoch > candidate.requestEpoch {
		e.carriedOver++
	}
	candidate.requestEpoch = candidate.knownEpoch
	for _, voter := range e.voterSets[candidate.knownEpoch] {
		e.send(exchangeMessage{candidate: i, voter: voter, requestedAt: now, request: request})
	}
}

// holders are the candidates that hold the lease now, with their fencing tokens.
func (e *exchangeRun) holders() (holders []string) {
	for _, candidate := range e.candidates {
		if token, ok := candidate.Holds(localTime(e.now, candidate.clockRate)); ok {
			holders = append(holders, fmt.Sprintf("%s under %d", candidate.self, token))
			e.highestToken = max(e.highestToken, token)
		}
	}
	return holders
}

// Never do two hold the lease while voters are exchanged, and it keeps being held.
func TestOneHoldsWhileVotersAreExchanged(t *testing.T) {
	runs := 500
	if os.Getenv("SOAK") != "" {
		runs = 40000
	}
	obtained, carriedOver := 0, 0
	for seed := range uint64(runs) {
		run := newExchangeRun(seed)
		for run.now < 40*time.Second {
			run.step()
			if holders := run.holders(); len(holders) > 1 {
				t.Fatalf("seed %d, %v: %v hold the lease, voter sets %v", seed, run.now, holders, run.voterSets)
			}
		}
		obtained += run.obtained
		carriedOver += run.carriedOver
	}
	t.Logf("%d runs: the lease came to a process %d times, and was renewed under a newer voter set %d times", runs, obtained, carriedOver)
	qt.Assert(t, obtained > runs*5, qt.IsTrue)
	qt.Assert(t, carriedOver > 3*runs, qt.IsTrue)
}
