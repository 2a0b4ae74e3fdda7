package lease

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// takeover plays five candidates and three voters with messages of up to 20 ms one way until the holder is cut off, or gives the
// lease up, and tells how long nobody holds it.
func takeover(seed uint64, release bool) time.Duration {
	rng := rand.New(rand.NewPCG(seed, 45))
	type message struct {
		at     time.Duration
		action func()
	}
	now, messages := time.Duration(0), []message{}
	send := func(action func()) {
		messages = append(messages, message{now + time.Duration(rng.Int64N(int64(20*time.Millisecond))), action})
	}
	voters, candidates := []*Voter{}, []*Candidate{}
	for range 3 {
		voters = append(voters, NewVoter(0, true))
	}
	for i := range 5 {
		c := NewCandidate(fmt.Sprint(i), uint64(i)+1, "d", rng.Float64)
		c.SetRank(i)
		candidates = append(candidates, c)
	}
	var gone *Candidate
	var since time.Duration
	for cut := 5*time.Second + time.Duration(rng.Int64N(int64(time.Second))); ; now += 5 * time.Millisecond {
		due := messages
		messages = nil
		for _, m := range due {
			if m.at > now {
				messages = append(messages, m)
			} else {
				m.action()
			}
		}
		for _, c := range candidates {
			if _, ok := c.Holds(now); ok && gone != nil && c != gone {
				return now - since
			} else if ok && gone == nil && now >= cut {
				gone, since = c, now
				if release {
					q := c.Resign()
					for _, v := range voters {
						send(func() { v.Handle(now, firstList, q) })
					}
					for _, other := range candidates {
						send(func() { other.HolderReleased(now, c.self) })
					}
				}
			}
			if c == gone || now%(50*time.Millisecond) != 0 {
				continue
			}
			if q := c.Tick(now, 3, 0); q != nil {
				for i, v := range voters {
					asked := now
					send(func() {
						reply := v.Handle(now, firstList, q)
						send(func() { c.HandleReply(now, asked, fmt.Sprint(i), reply) })
					})
				}
			}
		}
	}
}

// How long nobody holds a lease, from when its holder was cut off or gave it up.
func TestTakeover(t *testing.T) {
	for _, x := range []struct {
		name    string
		release bool
		bound   time.Duration
	}{{"cut off", false, 2 * time.Second}, {"released", true, 400 * time.Millisecond}} {
		var gaps []time.Duration
		for seed := range uint64(200) {
			gaps = append(gaps, takeover(seed, x.release))
		}
		slices.Sort(gaps)
		t.Logf("%s, 200 runs: p50 %v, p99 %v, max %v", x.name, gaps[100], gaps[197], gaps[199])
		qt.Check(t, gaps[199] <= x.bound, qt.IsTrue)
	}
}
