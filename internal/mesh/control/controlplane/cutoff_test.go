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

// Core processes are cut off one after another for up to twenty seconds, in one direction or both, while changes and reads are sent to all
// of them. A process that is cut off answers neither changes nor reads. No read returns a version older than one that was acknowledged
// or read before. No rejected change becomes active. Of two changes based on the same version at most one is acknowledged. A
// process reads the newest version within two seconds after it is connected again.
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
				run.isolated.Store(-1)
				slowest = max(slowest, run.execute(ctx))
				run.check(t)
				for answer, n := range run.history.answers {
					answers[answer] += n
				}
			})
		})
	}
	t.Logf("%d runs: %v; the first successful read after a cut took %v at most", seeds, answers, slowest)
	qt.Assert(t, slowest < 2*time.Second, qt.IsTrue)
	qt.Assert(t, answers["change "+Committed.String()] > 20*seeds && answers["change "+Conflict.String()] > seeds, qt.IsTrue)
}

// cutOffServers is the number of servers in TestCutOff.
const cutOffServers = 4

// cutOffRun is one run of TestCutOff.
type cutOffRun struct {
	seed     uint64
	network  *testNetwork
	history  *history
	isolated atomic.Int64 // server that is cut off and whose earlier requests have all ended; -1 for none
}

// cutOff returns the server that is cut off; -1 for none.
func (r *cutOffRun) cutOff() int { return int(r.isolated.Load()) }

// execute cuts off a random server three times, during changes and reads. It returns the longest time from the end of a cut to the
// server's first successful read.
func (r *cutOffRun) execute(ctx context.Context) (slowest time.Duration) {
	r.network.testCore.mu.Lock()
	r.network.maxDelay, r.network.lossRate = float64(20*time.Millisecond), 0.05*float64(r.seed%2)
	r.network.testCore.mu.Unlock()
	callersCtx, stop := context.WithCancel(ctx)
	var callers sync.WaitGroup
	for n := range 3 { // two operators and a reader
		rng := rand.New(rand.NewPCG(r.seed, uint64(n)))
		callers.Go(func() {
			for callersCtx.Err() == nil {
				time.Sleep(time.Duration(rng.Int64N(int64(800 * time.Millisecond))))
				if n < 2 {
					r.history.sendRandomChange(ctx, r.network, rng, cutOffServers, r.cutOff)
				} else {
					r.readAtRandomServer(ctx, rng)
				}
			}
		})
	}
	rng := rand.New(rand.NewPCG(r.seed, 9))
	for range 3 {
		time.Sleep(time.Duration(rng.Int64N(int64(3 * time.Second))))
		slowest = max(slowest, r.cutOffRandomServer(ctx, rng))
	}
	stop()
	callers.Wait()
	synctest.Wait()
	return slowest
}

// cutOffRandomServer cuts off a server for up to twenty seconds, and returns the time from the end of the cut to the server's first
// successful read.
func (r *cutOffRun) cutOffRandomServer(ctx context.Context, rng *rand.Rand) time.Duration {
	server := rng.IntN(cutOffServers)
	direction := rng.IntN(3)
	r.network.sever(server, cutOffServers, direction != 1, direction != 2, true)
	time.Sleep(callTimeout) // until all earlier requests have ended
	r.isolated.Store(int64(server))
	time.Sleep(time.Duration(rng.Int64N(int64(20 * time.Second))))
	r.isolated.Store(-1)
	r.network.sever(server, cutOffServers, true, true, false)
	began := time.Now()
	ok := false
	for !ok {
		_, ok = r.history.read(ctx, r.network, server)
	}
	return time.Since(began)
}

// readAtRandomServer reads at a random server, which must not answer while it is cut off.
func (r *cutOffRun) readAtRandomServer(ctx context.Context, rng *rand.Rand) {
	server := rng.IntN(cutOffServers)
	before := r.cutOff()
	_, ok := r.history.read(ctx, r.network, server)
	if ok && before == server && r.cutOff() == server {
		r.history.mu.Lock()
		defer r.history.mu.Unlock()
		r.history.addViolation("server %d was cut off and answered a read", server)
	}
}

// check reports the violations in the history, and checks that the versions that each server was notified of only increase.
func (r *cutOffRun) check(t *testing.T) {
	t.Helper()
	for _, violation := range r.history.violations {
		t.Errorf("seed %d: violation of the specification: %s", r.seed, violation)
	}
	for i := range cutOffServers {
		notified := r.network.notified[node(i)]
		for j := range notified {
			r.network.c.Assert(j == 0 || notified[j] > notified[j-1], qt.IsTrue,
				qt.Commentf("server %d was notified of versions %v", i, notified))
		}
	}
}
