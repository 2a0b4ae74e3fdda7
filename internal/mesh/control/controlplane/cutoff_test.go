package controlplane

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"quincegap/internal/mesh/control/configuration"
	"quincegap/internal/mesh/control/consensus"
)

// testNetwork is a core whose messages may be cut one way, and are counted.
type testNetwork struct {
	*testCore
	mu       sync.Mutex
	severed  map[[2]string]bool // from, to
	messages int
	bytes    map[string]int // to and from each server
	syncs    int
}

// oneWayLink carries requests of one server.
type oneWayLink struct {
	network *testNetwork
	from    string
}

func (o oneWayLink) Ask(ctx context.Context, node string, request []byte) ([]byte, error) {
	x := o.network
	x.testCore.mu.Lock()
	d := x.servers[node]
	x.testCore.mu.Unlock()
	if d != nil && x.passes(o.from, node, len(request)) {
		if reply, err := d.Serve(ctx, request); x.passes(node, o.from, len(reply)) {
			return reply, err
		}
	}
	<-ctx.Done() // as a cut says nothing
	return nil, trace.ConnectionProblem(ctx.Err(), "no way between %s and %s", o.from, node)
}

// passes counts a message and tells whether it arrives, after its delay.
func (t *testNetwork) passes(from, to string, bytes int) bool {
	if !(link{t.testCore, from}).passes() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.severed[[2]string{from, to}] {
		return false
	}
	t.messages++
	t.bytes[from] += bytes
	t.bytes[to] += bytes
	return true
}

// countingStore counts writes that are synced.
type countingStore struct {
	*memoryStore
	network *testNetwork
}

func (c countingStore) Put(key string, data []byte) error {
	c.network.mu.Lock()
	c.network.syncs++
	c.network.mu.Unlock()
	return c.memoryStore.Put(key, data)
}

// runNetwork runs a test in a bubble, with n servers of which the first three are voters.
func runNetwork(t *testing.T, n int, seed uint64, test func(x *testNetwork, ctx context.Context)) {
	runCore(t, 0, func(co *testCore, ctx context.Context) {
		co.rng = rand.New(rand.NewPCG(seed, 3))
		x := &testNetwork{testCore: co, severed: map[[2]string]bool{}, bytes: map[string]int{}}
		for i := range n {
			x.open(i, true)
		}
		test(x, ctx)
	})
}

// openStore starts a server on its disk.
func (t *testNetwork) open(i int, first bool) {
	t.testCore.mu.Lock()
	defer t.testCore.mu.Unlock()
	self := node(i)
	if t.disks[self] == nil {
		t.disks[self] = &memoryStore{records: map[string][]byte{}}
	}
	kept := countingStore{t.disks[self], t}
	log := logrus.New()
	log.SetOutput(io.Discard)
	d, err := Open(Options{
		Self: self, Seeds: t.seeds, InitialStart: first, Transport: oneWayLink{t, self}, Log: log, Seed: uint64(i),
		OnCommit: func(w consensus.Value) {
			t.testCore.mu.Lock()
			defer t.testCore.mu.Unlock()
			t.notified[self] = append(t.notified[self], w.Version)
		},
		openStore: func(string) (recordStore, error) { return kept, nil },
	})
	t.c.Assert(err, qt.IsNil)
	t.servers[self] = d
}

// sever cuts what one server sends or receives.
func (t *testNetwork) sever(i, n int, sends, receives, cut bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for j := range n {
		if j != i {
			t.severed[[2]string{node(i), node(j)}] = cut && sends
			t.severed[[2]string{node(j), node(i)}] = cut && receives
		}
	}
}

// history is what operators and readers saw, and the plain specification of it.
type history struct {
	mu           sync.Mutex
	acknowledged configuration.Version            // the newest
	sent         map[string]configuration.Version // bodies
	refused      map[string]bool
	bases        map[configuration.Version]string // acknowledged bodies, by what they build on
	faults       []string
	answers      map[string]int
	next         configuration.Version
}

func (h *history) fault(format string, args ...any) {
	h.faults = append(h.faults, fmt.Sprintf(format, args...))
}

// operate sends one order on the newest version that the operator knows, as often as it takes to get an answer, at most thrice.
func (h *history) operate(x *testNetwork, ctx context.Context, rng *rand.Rand, servers int, cutOff func() int) {
	h.mu.Lock()
	base := h.acknowledged
	h.next += 1 + configuration.Version(rng.IntN(3))
	version := max(h.next, base+1)
	body := config(version, fmt.Sprint(rng.Uint64()))
	h.sent[string(body)] = version
	h.mu.Unlock()
	for range 3 {
		i, before := rng.IntN(servers), cutOff()
		short, cancel := context.WithTimeout(ctx, callTimeout)
		outcome := x.server(i).Replace(short, base, body).Outcome
		cancel()
		h.mu.Lock()
		h.answers["order "+outcome.String()]++
		if before == i && cutOff() == i && outcome != Unknown {
			h.fault("server %d was cut off and answered %v to an order", i, outcome)
		}
		switch outcome {
		case Applied:
			if other, ok := h.bases[base]; ok && other != string(body) {
				h.fault("two orders on version %v are acknowledged", base)
			}
			h.bases[base] = string(body)
			h.acknowledged = max(h.acknowledged, version)
		case Conflict:
			h.refused[string(body)] = true
		}
		h.mu.Unlock()
		switch {
		case outcome == Conflict: // whoever refuses knows of another version in place
			if newest, ok := h.read(x, ctx, i); ok && newest <= base {
				h.fault("server %d refused %v on %v, with %v in place", i, version, base, newest)
			}
			return
		case outcome == Applied:
			return
		}
	}
}

// read reads at one server, and checks that the answer is no older than what was acknowledged when it began.
func (h *history) read(x *testNetwork, ctx context.Context, i int) (configuration.Version, bool) {
	h.mu.Lock()
	least := h.acknowledged
	h.mu.Unlock()
	short, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	value, err := x.server(i).ReadLatest(short)
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil {
		h.answers["read unclear"]++
		return 0, false
	}
	h.answers["read answered"]++
	_, known := h.sent[string(value.Body)]
	switch {
	case value.Version < least:
		h.fault("server %d handed out %v, %v was acknowledged before", i, value.Version, least)
	case value.Version > 0 && !known:
		h.fault("server %d handed out %v, which nobody sent", i, value.Version)
	case h.refused[string(value.Body)]:
		h.fault("server %d handed out %v, which was refused", i, value.Version)
	}
	h.acknowledged = max(h.acknowledged, value.Version) // read once, it stays
	return value.Version, true
}

// While one core machine after the other is cut off for up to twenty seconds, in both directions or one, and orders and reads
// go to all of them: a machine that is cut off answers neither; no read is older than what was acknowledged or read before;
// nothing that was refused comes in force; of two orders on one version one is acknowledged at most. Afterwards the machine
// that was cut off reads the newest version within two seconds.
func TestCutOff(t *testing.T) {
	seeds := 8
	if os.Getenv("SOAK") != "" {
		seeds = 600
	}
	answers, slowest := map[string]int{}, time.Duration(0)
	for seed := range uint64(seeds) {
		const servers = 4
		runNetwork(t, servers, seed, func(x *testNetwork, ctx context.Context) {
			x.testCore.mu.Lock()
			x.maxDelay, x.lossRate = float64(20*time.Millisecond), 0.05*float64(seed%2)
			x.testCore.mu.Unlock()
			h := &history{
				sent: map[string]configuration.Version{}, refused: map[string]bool{},
				bases: map[configuration.Version]string{}, answers: map[string]int{},
			}
			var cut sync.Mutex
			away := -1 // the server that has been cut off long enough for all earlier answers to have come
			cutOff := func() int {
				cut.Lock()
				defer cut.Unlock()
				return away
			}
			setAway := func(i int) {
				cut.Lock()
				defer cut.Unlock()
				away = i
			}
			over, stop := context.WithCancel(ctx)
			var wg sync.WaitGroup
			for n := range 3 { // two operators and a reader
				rng := rand.New(rand.NewPCG(seed, uint64(n)))
				wg.Go(func() {
					for over.Err() == nil {
						time.Sleep(time.Duration(rng.Int64N(int64(800 * time.Millisecond)))) // of the bubble's time
						if n < 2 {
							h.operate(x, ctx, rng, servers, cutOff)
							continue
						}
						i, before := rng.IntN(servers), cutOff()
						if _, ok := h.read(x, ctx, i); ok && before == i && cutOff() == i {
							h.mu.Lock()
							h.fault("server %d was cut off and answered a read", i)
							h.mu.Unlock()
						}
					}
				})
			}
			rng := rand.New(rand.NewPCG(seed, 9))
			for range 3 {
				time.Sleep(time.Duration(rng.Int64N(int64(3 * time.Second))))
				i, way := rng.IntN(servers), rng.IntN(3)
				x.sever(i, servers, way != 1, way != 2, true)
				time.Sleep(callTimeout) // what was under way has come or has been given up
				setAway(i)
				time.Sleep(time.Duration(rng.Int64N(int64(20 * time.Second))))
				setAway(-1)
				x.sever(i, servers, true, true, false)
				began := time.Now()
				for ok := false; !ok; _, ok = h.read(x, ctx, i) {
				}
				slowest = max(slowest, time.Since(began))
			}
			stop()
			wg.Wait()
			synctest.Wait()
			for _, fault := range h.faults {
				t.Errorf("seed %d: %s", seed, fault)
			}
			for i := range servers { // versions never go back where they come in force
				told := x.notified[node(i)]
				for j := range told {
					x.c.Assert(j == 0 || told[j] > told[j-1], qt.IsTrue, qt.Commentf("%v", told))
				}
			}
			for answer, n := range h.answers {
				answers[answer] += n
			}
		})
	}
	t.Logf("%d runs: %v; the first read after a cut took %v at most", seeds, answers, slowest)
	qt.Assert(t, slowest < 2*time.Second, qt.IsTrue)
	qt.Assert(t, answers["order "+Applied.String()] > 20*seeds && answers["order "+Conflict.String()] > seeds, qt.IsTrue)
}
