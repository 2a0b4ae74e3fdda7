package controlplane

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"quincegap/internal/mesh/control/configuration"
	"quincegap/internal/mesh/control/consensus"
	"quincegap/internal/mesh/transport/codec"
)

// testCore is several servers in one process, with disks in memory, in a synctest bubble: its time passes only while all goroutines
// are blocked.
type testCore struct {
	c         *qt.C
	seeds     []string
	mu        sync.Mutex
	servers   map[string]*Server
	disks     map[string]*memoryStore
	isolated  map[string]bool
	notified  map[string][]configuration.Version // by OnCommit, by server
	tolerated int                                // Options.Tolerated; 0: no changes of the voters are planned

	rng      *rand.Rand
	maxDelay float64 // of a request or a reply, as a time.Duration
	lossRate float64 // part of the requests and replies that are lost

	blocked map[[2]string]bool    // pairs of servers between which nothing passes, by their names
	drops   consensus.RequestKind // requests of this kind are lost; 0 for none
}

// memoryStore is a disk in memory whose writes may be slow, blocked, or fail.
type memoryStore struct {
	mu      sync.Mutex
	records map[string][]byte
	gate    chan struct{} // writes wait until it is closed; nil: they do not wait
	slow    time.Duration // duration of a write
	fault   error         // result of a write; nil: it succeeds
	only    string        // fault is only for keys with this prefix
	torn    bool          // a failed write changes the record all the same
}

// configure changes the store under its lock.
func (m *memoryStore) configure(f func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f()
}

func (m *memoryStore) Get(key string) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if data, ok := m.records[key]; ok {
		return data, nil
	}
	return nil, trace.NotFound("record %q", key)
}

func (m *memoryStore) Put(key string, data []byte) error {
	var gate chan struct{}
	var slow time.Duration
	m.configure(func() { gate, slow = m.gate, m.slow })
	if gate != nil {
		<-gate
	}
	time.Sleep(slow) // of the bubble's time
	m.mu.Lock()
	defer m.mu.Unlock()
	fails := m.fault != nil && strings.HasPrefix(key, m.only)
	if !fails || m.torn {
		m.records[key] = data
	}
	if fails {
		return m.fault
	}
	return nil
}

func (m *memoryStore) Close() error { return nil }

// link carries the requests of one server to the others.
type link struct {
	core *testCore
	from string
}

func (l link) Ask(ctx context.Context, node string, request []byte) ([]byte, error) {
	l.core.mu.Lock()
	server := l.core.servers[node]
	lost := server == nil || l.core.isolated[node] || l.core.isolated[l.from] ||
		l.core.blocked[[2]string{l.from, node}] || l.core.blocked[[2]string{node, l.from}]
	var sent consensus.Request
	lost = lost || l.core.drops != 0 && codec.Unmarshal(request, &sent) == nil && sent.Kind == l.core.drops
	l.core.mu.Unlock()
	if !lost && l.passes() {
		if reply, err := server.Serve(ctx, request); l.passes() {
			return reply, err
		}
	}
	<-ctx.Done() // the sender does not learn that the message was lost
	return nil, trace.ConnectionProblem(ctx.Err(), "no way from %s to %s", l.from, node)
}

// passes reports whether a message arrives, after its delay.
func (l link) passes() bool {
	l.core.mu.Lock()
	late := time.Duration(l.core.maxDelay * l.core.rng.Float64())
	lost := l.core.rng.Float64() < l.core.lossRate
	l.core.mu.Unlock()
	time.Sleep(late) // of the bubble's time
	return !lost
}

// node returns the name of a server.
func node(i int) string { return fmt.Sprintf("10.0.0.%d:1", i) }

// runCore runs a test in a bubble, with n servers of which the first three are voters.
func runCore(t *testing.T, n int, test func(ctx context.Context, core *testCore)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		core := &testCore{
			c:        qt.New(t),
			seeds:    []string{node(0), node(1), node(2)},
			servers:  map[string]*Server{},
			disks:    map[string]*memoryStore{},
			isolated: map[string]bool{},
			notified: map[string][]configuration.Version{},
			rng:      rand.New(rand.NewPCG(1, 2)),
		}
		for i := range n {
			core.start(i, true)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 24*time.Hour)
		defer cancel()
		defer func() {
			for i := range 9 {
				if core.server(i) != nil {
					core.stop(i)
				}
			}
			time.Sleep(requestTimeout) // of the bubble's time: all requests have ended
		}()
		test(ctx, core)
	})
}

// start starts a server on its disk. first is Options.InitialStart.
func (t *testCore) start(i int, first bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	self := node(i)
	if t.disks[self] == nil {
		t.disks[self] = &memoryStore{records: map[string][]byte{}}
	}
	disk := t.disks[self]
	log := logrus.New()
	log.SetOutput(io.Discard)
	var cores func() []string
	if t.tolerated > 0 {
		cores = func() []string { return t.cores(self) }
	}
	server, err := Open(Options{
		Self:         self,
		Seeds:        t.seeds,
		Tolerated:    t.tolerated,
		Cores:        cores,
		InitialStart: first,
		Transport:    link{t, self},
		Log:          log,
		Seed:         1,
		OnCommit: func(value consensus.Value) {
			t.mu.Lock()
			defer t.mu.Unlock()
			t.notified[self] = append(t.notified[self], value.Version)
		},
		openStore: func(string) (recordStore, error) { return disk, nil },
	})
	t.c.Assert(err, qt.IsNil)
	t.servers[self] = server
}

// stop kills a server. Its disk stays.
func (t *testCore) stop(i int) {
	t.mu.Lock()
	server := t.servers[node(i)]
	delete(t.servers, node(i))
	t.mu.Unlock()
	server.Close()
}

func (t *testCore) server(i int) *Server { return t.servers[node(i)] }

// isolate cuts a server off from all others, or connects it again.
func (t *testCore) isolate(i int, cut bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.isolated[node(i)] = cut
}

// config returns a configuration; more distinguishes configurations of one version.
func config(v configuration.Version, more string) []byte {
	return fmt.Appendf(nil, `{"configVersion":"%v","routeTable":[],"x":%q}`, v, more)
}

// replace sends a change to a server and returns the outcome.
func (t *testCore) replace(ctx context.Context, i int, base, v configuration.Version) Outcome {
	return t.server(i).Replace(ctx, base, config(v, "")).Outcome
}

// newest returns the version that a server reads.
func (t *testCore) newest(ctx context.Context, i int) configuration.Version {
	value, err := t.server(i).ReadLatest(ctx)
	t.c.Assert(err, qt.IsNil)
	return value.Version
}

// cores returns the servers that a server can reach, itself included.
func (t *testCore) cores(self string) (list []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for node := range t.servers {
		if !t.isolated[node] && !t.isolated[self] {
			list = append(list, node)
		}
	}
	return list
}

// runGrown runs a test with n servers, once the voters have grown to the number that tolerates the losses.
func runGrown(t *testing.T, n, tolerated, voters int, test func(ctx context.Context, core *testCore)) {
	t.Helper()
	runCore(t, 0, func(ctx context.Context, core *testCore) {
		core.tolerated = tolerated
		for i := range n {
			core.start(i, true)
		}
		core.await(7*time.Second, func() bool { return core.allKnowVoters(voters) })
		test(ctx, core)
	})
}

// allKnowVoters reports whether every server knows the given number of voters.
func (t *testCore) allKnowVoters(voters int) bool {
	for _, server := range t.servers {
		if len(server.Voters()) != voters {
			return false
		}
	}
	return true
}

// await waits until done returns true, at most for timeout of the bubble's time.
func (t *testCore) await(timeout time.Duration, done func() bool) {
	for began := time.Now(); !done(); time.Sleep(100 * time.Millisecond) {
		t.c.Assert(time.Since(began) < timeout, qt.IsTrue, qt.Commentf("not after %v", timeout))
	}
}

// loseMachine kills a server and loses its disk.
func (t *testCore) loseMachine(i int) {
	t.stop(i)
	t.disks[node(i)] = nil
}

// runGrownWithChange runs a test with four servers, of which three vote, after a first change to version 1.
func runGrownWithChange(t *testing.T, test func(ctx context.Context, core *testCore)) {
	t.Helper()
	runGrown(t, 4, 1, 3, func(ctx context.Context, core *testCore) {
		time.Sleep(2 * time.Second)
		core.c.Assert(core.replace(ctx, 0, 0, 1), qt.Equals, Committed)
		test(ctx, core)
	})
}
