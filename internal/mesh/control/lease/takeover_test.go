package lease

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// takeoverRun is a run of five candidates and three voters. Messages take up to 20 ms one way.
type takeoverRun struct {
	rng        *rand.Rand
	now        time.Duration
	voters     []*Voter
	candidates []*Candidate
	messages   []takeoverMessage
	departed   *Candidate // the holder that was cut off or released the lease; nil before
}

// takeoverMessage is a message in flight.
type takeoverMessage struct {
	arrivesAt time.Duration
	deliver   func()
}

func newTakeoverRun(seed uint64) *takeoverRun {
	run := &takeoverRun{rng: rand.New(rand.NewPCG(seed, 45))}
	for range 3 {
		run.voters = append(run.voters, NewVoter(0, true))
	}
	for i := range 5 {
		candidate := NewCandidate(fmt.Sprint(i), uint64(i)+1, "d", run.rng.Float64)
		candidate.SetRank(i)
		run.candidates = append(run.candidates, candidate)
	}
	return run
}

func (r *takeoverRun) send(deliver func()) {
	delay := time.Duration(r.rng.Int64N(int64(20 * time.Millisecond)))
	r.messages = append(r.messages, takeoverMessage{r.now + delay, deliver})
}

func (r *takeoverRun) deliver() {
	due := r.messages
	r.messages = nil
	for _, message := range due {
		if message.arrivesAt > r.now {
			r.messages = append(r.messages, message)
		} else {
			message.deliver()
		}
	}
}

// depart makes the holder release the lease, or cuts it off without a release: it sends no further requests.
func (r *takeoverRun) depart(holder *Candidate, release bool) {
	r.departed = holder
	if !release {
		return
	}
	request := holder.Resign()
	for _, voter := range r.voters {
		r.send(func() { voter.Handle(r.now, initialStatus, request) })
	}
	for _, other := range r.candidates {
		r.send(func() { other.HolderReleased(r.now, holder.self) })
	}
}

// tick calls a candidate's Tick and sends the request that it returns.
func (r *takeoverRun) tick(candidate *Candidate) {
	request := candidate.Tick(r.now, len(r.voters), 0)
	if request == nil {
		return
	}
	requestedAt := r.now
	for i, voter := range r.voters {
		r.send(func() {
			reply := voter.Handle(r.now, initialStatus, request)
			r.send(func() { candidate.HandleReply(r.now, requestedAt, fmt.Sprint(i), reply) })
		})
	}
}

// takeover simulates a run in which the holder releases the lease or is cut off, and returns the time from then until another
// candidate holds the lease.
func takeover(seed uint64, release bool) time.Duration {
	run := newTakeoverRun(seed)
	var since time.Duration
	for departAfter := 5*time.Second + time.Duration(run.rng.Int64N(int64(time.Second))); ; run.now += 5 * time.Millisecond {
		run.deliver()
		for _, candidate := range run.candidates {
			_, holds := candidate.Holds(run.now)
			switch {
			case holds && run.departed != nil && candidate != run.departed:
				return run.now - since
			case holds && run.departed == nil && run.now >= departAfter:
				since = run.now
				run.depart(candidate, release)
			}
			if candidate != run.departed && run.now%(50*time.Millisecond) == 0 {
				run.tick(candidate)
			}
		}
	}
}

// After the holder is cut off, or releases the lease, another candidate holds the lease within a bounded time.
func TestTakeover(t *testing.T) {
	for _, test := range []struct {
		name    string
		release bool
		bound   time.Duration
	}{
		{"cut off", false, 2 * time.Second},
		{"released", true, 400 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			var gaps []time.Duration
			for seed := range uint64(200) {
				gaps = append(gaps, takeover(seed, test.release))
			}
			slices.Sort(gaps)
			t.Logf("%s, time to takeover in 200 runs: p50 %v, p99 %v, max %v", test.name, gaps[100], gaps[197], gaps[199])
			qt.Check(t, gaps[199] <= test.bound, qt.IsTrue)
		})
	}
}
