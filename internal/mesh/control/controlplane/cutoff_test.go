package controlplane

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// One core process after the other is cut off for up to twenty seconds, in one direction or both, while orders and reads go to all of
// them. A process that is cut off answers neither. No read returns a version older than one that was acknowledged or read before.
// No refused change comes into force. Of two orders on one version at most one is acknowledged. A process reads the newest version
// within two seconds after the end of its cut.
func TestCutOff(t *testing.T) {
	seeds := 8
	if os.Getenv("SOAK") != "" {
		seeds = 600
	}
	answers := map[string]int{}
	slowest := time.Duration(0)
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			runNetwork(t, cutOffServers, seed, func(ctx context.Context, network *testNetwork) {
				run := &cutOffRun{seed: seed, network: network, history: newHistory()}
				run.away.Store(-1)
				slowest = max(slowest, run.play(ctx))
				run.check(t)
				for answer, n := range run.history.answers {
					answers[answer] += n
				}
			})
		})
	}
	t.Logf("%d runs: %v; the first read after a cut took %v at most", seeds, answers, slowest)
	qt.Assert(t, slowest < 2*time.Second, qt.IsTrue)
	qt.Assert(t, answers["order "+Committed.String()] > 20*seeds && answers["order "+Conflict.String()] > seeds, qt.IsTrue)
}

const cutOffServers = 4

// cutOffRun is one run of TestCutOff.
type cutOffRun struct {
	seed    uint64
	network *testNetwork
	history *history
	away    atomic.Int64 // the server that is cut off, once all its earlier requests have ended; -1 for none
}

func (r *cutOffRun) cutOff() int { return int(r.away.Load()) }

// play cuts off three servers one after the other, during orders and reads. It returns the longest time from the end of a cut to the
// server's first successful read.
func (r *cutOffRun) play(ctx context.Context) (slowest time.Duration) {
	r.network.testCore.mu.Lock()
	r.network.maxDelay, r.network.lossRate = float64(20*time.Millisecond), 0.05*float64(r.seed%2)
	r.network.testCore.mu.Unlock()
	over, stop := context.WithCancel(ctx)
	var callers sync.WaitGroup
	for n := range 3 { // two operators and a reader
		rng := rand.New(rand.NewPCG(r.seed, uint64(n)))
		callers.Go(func() {
			for over.Err() == nil {
				time.Sleep(time.Duration(rng.Int64N(int64(800 * time.Millisecond)))) // of the bubble's time
				if n < 2 {
					r.history.operate(ctx, r.network, rng, cutOffServers, r.cutOff)
				} else {
					r.readAnywhere(ctx, rng)
				}
			}
		})
	}
	rng := rand.New(rand.NewPCG(r.seed, 9))
	for range 3 {
		time.Sleep(time.Duration(rng.Int64N(int64(3 * time.Second))))
		slowest = max(slowest, r.cutOne(ctx, rng))
	}
	stop()
	callers.Wait()
	synctest.Wait()
	return slowest
}

// cutOne cuts off a server for a while, and returns the time from the end of the cut to its first successful read.
func (r *cutOffRun) cutOne(ctx context.Context, rng *rand.Rand) time.Duration {
	server := rng.IntN(cutOffServers)
	way := rng.IntN(3)
	r.network.sever(server, cutOffServers, way != 1, way != 2, true)
	time.Sleep(callTimeout) // all earlier requests have ended
	r.away.Store(int64(server))
	time.Sleep(time.Duration(rng.Int64N(int64(20 * time.Second))))
	r.away.Store(-1)
	r.network.sever(server, cutOffServers, true, true, false)
	began := time.Now()
	ok := false
	for !ok {
		_, ok = r.history.read(ctx, r.network, server)
	}
	return time.Since(began)
}

// readAnywhere reads at a random server, which must not answer while it is cut off.
func (r *cutOffRun) readAnywhere(ctx context.Context, rng *rand.Rand) {
	server := rng.IntN(cutOffServers)
	before := r.cutOff()
	_, ok := r.history.read(ctx, r.network, server)
	if ok && before == server && r.cutOff() == server {
		r.history.mu.Lock()
		defer r.history.mu.Unlock()
		r.history.fault("server %d was cut off and answered a read", server)
	}
}

// check reports the faults, and checks that each server was notified of rising versions only.
func (r *cutOffRun) check(t *testing.T) {
	t.Helper()
	for _, fault := range r.history.faults {
		t.Errorf("seed %d: %s", r.seed, fault)
	}
	for i := range cutOffServers {
		notified := r.network.notified[node(i)]
		for j := range notified {
			r.network.c.Assert(j == 0 || notified[j] > notified[j-1], qt.IsTrue, qt.Commentf("%v", notified))
		}
	}
}
