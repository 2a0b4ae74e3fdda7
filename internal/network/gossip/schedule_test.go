package gossip

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"testing/synctest"
	"time"
)

// soaking reports whether the long simulations are enabled.
func soaking() bool { return os.Getenv("SOAK") != "" }

// After any schedule of partitions, delays, losses, pauses, kills and restarts all members have one settled view within convergenceTimeout.
// At no time are two members settled in groups without a common member, as both sides of a partition into halves would be if they settled.
func TestRandomSchedules(t *testing.T) {
	useOneProcessor(t)
	seeds := uint64(8)
	if soaking() {
		seeds *= 375
	}
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runSchedule(t, seed) })
		})
	}
}

// schedule injects random faults into a fleet.
type schedule struct {
	*virtualFleet
	rng         *rand.Rand
	shuffled    []string // the members' addresses, in random order
	memberCount int      // number of members, including dead ones
}

// runSchedule runs the schedule of faults that the seed determines.
func runSchedule(t *testing.T, seed uint64) {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 3))
	sizes := []int{3, 4, 5, 7, 10, 16}
	if soaking() && seed%40 == 0 {
		sizes = []int{30, 50}
	}
	n := sizes[rng.IntN(len(sizes))]
	fleet := newFleet(t, n, seed)
	defer fleet.killAll()
	fleet.startAll(nil)
	fleet.recordStep("%d members", n)
	fleet.waitFor(convergenceTimeout, "all members to settle after the start", fleet.converged)
	fleet.recordStep("settled")

	s := &schedule{virtualFleet: fleet, rng: rng, shuffled: fleet.addresses(), memberCount: n}
	for range 2 + rng.IntN(5) {
		s.injectFault()
		pause := time.Duration(rng.IntN(15000)) * time.Millisecond
		for end := time.Now().Add(pause); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
			fleet.checkOneSettledGroup()
		}
	}
	s.endFaults()
	took := fleet.waitFor(convergenceTimeout, "all members to settle after the last fault", fleet.converged)
	t.Logf("%d members settled %v after the last fault", n, took)
}

// injectFault injects one random fault, or removes all partitions.
func (s *schedule) injectFault() {
	s.t.Helper()
	switch s.rng.IntN(7) {
	case 0:
		s.partitionSome()
	case 1:
		i := s.rng.IntN(s.memberCount)
		s.recordStep("packets from %s are dropped", s.shuffled[i])
		s.net.partition(s.shuffled[i:i+1], s.shuffled)
	case 2:
		s.loseAndDelay()
	case 3:
		for range 1 + s.rng.IntN(s.memberCount) {
			i := s.rng.IntN(s.memberCount)
			s.recordStep("%s is killed", address(i))
			s.kill(i)
		}
	case 4:
		i := s.rng.IntN(s.memberCount)
		s.recordStep("%s restarts at once", address(i))
		s.kill(i)
		s.start(i, s.memberCount, nil)
	case 5:
		i := s.rng.IntN(s.memberCount)
		pause := time.Duration(s.rng.IntN(20000)) * time.Millisecond
		s.recordStep("%s is paused for %v", address(i), pause)
		s.net.update(func() { s.net.pausedUntil[address(i)] = time.Now().Add(pause) })
	case 6:
		s.recordStep("all partitions are removed")
		s.heal()
	}
}

// partitionSome separates a random set of members from the others.
func (s *schedule) partitionSome() {
	k := 1 + s.rng.IntN(s.memberCount-1)
	s.rng.Shuffle(s.memberCount, func(i, j int) { s.shuffled[i], s.shuffled[j] = s.shuffled[j], s.shuffled[i] })
	s.recordStep("partitioned into %d and %d: %v", k, s.memberCount-k, s.shuffled[:k])
	s.partition(s.shuffled[:k], s.shuffled[k:])
}

// loseAndDelay sets a random packet loss and a random maximum delay.
func (s *schedule) loseAndDelay() {
	s.net.update(func() {
		s.net.loss = 0.3 * s.rng.Float64()
		s.net.maxDelay = time.Duration(s.rng.IntN(300)) * time.Millisecond
	})
	s.recordStep("loss %.2f, delay up to %v", s.net.loss, s.net.maxDelay)
}

// endFaults removes all faults of the network, and restarts dead members.
func (s *schedule) endFaults() {
	s.t.Helper()
	s.heal()
	s.net.update(func() {
		clear(s.net.pausedUntil)
		s.net.loss = 0
		s.net.maxDelay = defaultMaxDelay
	})
	for i, g := range s.members {
		if g == nil {
			s.start(i, s.memberCount, nil)
		}
	}
	s.recordStep("all faults are over")
}
