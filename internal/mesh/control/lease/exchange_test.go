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

// exchangeRun is a random run of three candidates and five processes, of which three vote, and of which one after the other is exchanged.
// Messages are late, lost or duplicated; candidates are cut off; the rates of clocks differ by up to 5%; voters restart; and voter
// sets are learned late.
type exchangeRun struct {
	rng          *rand.Rand
	now          time.Duration // real time
	voterSets    [][]int       // by epoch
	voters       []*exchangeVoter
	candidates   []*exchangeCandidate
	messages     []exchangeMessage
	obtained     int    // how often a process obtained the lease
	carriedOver  int    // how often a holder renewed it under a newer voter set
	highestToken uint64 // of any holder
}

type exchangeVoter struct {
	*Voter
	clockRate float64
	accepted  uint64        // epoch of the newest voter set that it accepted, on disk
	readyAt   time.Duration // when its disk is read, after a restart
}

type exchangeCandidate struct {
	*Candidate
	clockRate    float64
	cutOffUntil  time.Duration
	knownEpoch   uint64 // of the newest voter set that it knows
	requestEpoch uint64 // of its newest request
}

type exchangeMessage struct {
	arrivesAt   time.Duration
	candidate   int
	voter       int
	requestedAt time.Duration // by the candidate's clock
	request     *Request
	reply       *Reply // nil in a request
}

// localTime returns the time on a clock that runs at a rate.
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

// exchange replaces one voter by another process: majorities of both voter sets accept the new set, and then it is chosen.
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
	for range 1 + e.rng.IntN(10)/9 { // some messages arrive twice
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
			var status VoterStatus // not ready while the disk is not read
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

// step simulates 20 ms.
func (e *exchangeRun) step() {
	e.now += 20 * time.Millisecond
	e.breakSomething()
	e.deliver()
	for i := range e.candidates {
		e.tick(i)
	}
}

// breakSomething randomly exchanges a voter, restarts one, or cuts a candidate off.
func (e *exchangeRun) breakSomething() {
	if e.rng.IntN(120) == 0 {
		e.exchange()
	}
	if e.rng.IntN(250) == 0 { // a voter restarts: it forgets its grants, and reads its disk late
		voter := e.voters[e.rng.IntN(5)]
		voter.Voter = NewVoter(localTime(e.now, voter.clockRate), false)
		voter.readyAt = e.now + time.Duration(e.rng.Int64N(int64(2*Duration)))
	}
	if e.rng.IntN(100) == 0 {
		e.candidates[e.rng.IntN(3)].cutOffUntil = e.now + time.Duration(e.rng.Int64N(int64(3*Duration)))
	}
}

// tick calls a candidate's Tick and sends its request. Before that, the candidate may learn of a newer voter set or fencing token.
func (e *exchangeRun) tick(number int) {
	candidate := e.candidates[number]
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
		e.send(exchangeMessage{candidate: number, voter: voter, requestedAt: now, request: request})
	}
}

// holders returns the candidates that hold the lease now, with their fencing tokens.
func (e *exchangeRun) holders() (holders []string) {
	for _, candidate := range e.candidates {
		if token, ok := candidate.Holds(localTime(e.now, candidate.clockRate)); ok {
			holders = append(holders, fmt.Sprintf("%s under %d", candidate.self, token))
			e.highestToken = max(e.highestToken, token)
		}
	}
	return holders
}

// While voters are exchanged, two candidates never hold the lease at the same time, and candidates continue to obtain and renew it.
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
