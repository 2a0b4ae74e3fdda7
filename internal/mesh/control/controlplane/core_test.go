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

// testCore is a set of servers in one process, with disks in memory. They run in a synctest bubble, whose simulated time advances only
// while all goroutines are blocked.
type testCore struct {
	c         *qt.C
	seeds     []string
	mu        sync.Mutex
	servers   map[string]*Server
	disks     map[string]*memoryStore
	isolated  map[string]bool
	notified  map[string][]configuration.Version // versions that OnCommit was called with, by server
	tolerated int                                // Options.Tolerated; if it is 0, no changes of the voters are planned

	rng      *rand.Rand
	maxDelay float64 // maximum delay of a request or a reply, in nanoseconds
	lossRate float64 // fraction of the requests and replies that are lost

	blocked     map[[2]string]bool    // pairs of server names between which all messages are lost
	droppedKind consensus.RequestKind // kind of requests that are lost; 0 for none
}

// memoryStore is a disk in memory whose writes can be made to take long, block or fail.
type memoryStore struct {
	mu      sync.Mutex
	records map[string][]byte
	unblock chan struct{} // channel that blocks writes until it is closed; nil if writes do not block
	latency time.Duration // duration of a write
	fault   error         // error that writes return; nil if they succeed
	faulty  string        // prefix of the keys whose writes return fault
	torn    bool          // whether a write that returns an error changes the record nevertheless
}

// configure calls f, which may change the store, under the store's lock.
func (m *memoryStore) configure(f func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f()
}

// record returns the record of a key; nil if there is none.
func (m *memoryStore) record(key string) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.records[key]
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
	var unblock chan struct{}
	var latency time.Duration
	m.configure(func() { unblock, latency = m.unblock, m.latency })
	if unblock != nil {
		<-unblock
	}
	time.Sleep(latency)
	m.mu.Lock()
	defer m.mu.Unlock()
	fails := m.fault != nil && strings.HasPrefix(key, m.faulty)
	if !fails || m.torn {
		m.records[key] = data
	}
	if fails {
		return m.fault
	}
	return nil
}

func (m *memoryStore) Verify() error { return nil }

// Probe fails and blocks like a write to a key without a prefix.
func (m *memoryStore) Probe() error {
	scratch := &memoryStore{records: map[string][]byte{}}
	m.configure(func() {
		scratch.unblock, scratch.latency, scratch.fault, scratch.faulty = m.unblock, m.latency, m.fault, m.faulty
	})
	return scratch.Put("", nil)
}

func (m *memoryStore) Close() error { return nil }

// link is the Transport of one server.
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
	lost = lost || l.core.droppedKind != 0 && codec.Unmarshal(request, &sent) == nil && sent.Kind == l.core.droppedKind
	l.core.mu.Unlock()
	if !lost && l.deliver() {
		if reply, err := server.Serve(ctx, request); l.deliver() {
			return reply, err
		}
	}
	<-ctx.Done() // the sender does not learn that the message was lost
	return nil, trace.ConnectionProblem(ctx.Err(), "message from %s to %s was lost", l.from, node)
}

// deliver waits for the delay of a message, and reports whether the message arrives.
func (l link) deliver() bool {
	l.core.mu.Lock()
	delay := time.Duration(l.core.maxDelay * l.core.rng.Float64())
	lost := l.core.rng.Float64() < l.core.lossRate
	l.core.mu.Unlock()
	time.Sleep(delay)
	return !lost
}

// node returns the name of a server.
func node(i int) string { return fmt.Sprintf("10.0.0.%d:1", i) }

// runCore runs a test in a synctest bubble, with n servers of which the first three are voters.
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
			time.Sleep(requestTimeout) // until all requests have ended
		}()
		test(ctx, core)
	})
}

// start starts a server on its disk.
func (t *testCore) start(i int, initialStart bool) {
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
		InitialStart: initialStart,
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

// stop stops a server. Its disk is retained.
func (t *testCore) stop(i int) {
	t.mu.Lock()
	server := t.servers[node(i)]
	delete(t.servers, node(i))
	t.mu.Unlock()
	server.Close()
}

// server returns a running server; nil if it does not run.
func (t *testCore) server(i int) *Server { return t.servers[node(i)] }

// isolate cuts a server off from all others, or connects it again.
func (t *testCore) isolate(i int, cut bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.isolated[node(i)] = cut
}

// config returns a configuration. extra makes configurations of the same version different.
func config(v configuration.Version, extra string) []byte {
	return fmt.Appendf(nil, `{"configVersion":"%v","routeTable":[],"x":%q}`, v, extra)
}

// replace sends a change to a server and returns the outcome.
func (t *testCore) replace(ctx context.Context, i int, base, version configuration.Version) Outcome {
	return t.server(i).Replace(ctx, base, config(version, "")).Outcome
}

// newest returns the newest version, as a server reads it.
func (t *testCore) newest(ctx context.Context, i int) configuration.Version {
	value, err := t.server(i).ReadLatest(ctx)
	t.c.Assert(err, qt.IsNil)
	return value.Version
}

// cores returns the servers that a server can reach, including itself. It is the server's Options.Cores.
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

// runGrown starts n servers, waits until each of them knows the given number of voters, and then runs a test.
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

// await waits until done returns true, and fails the test if that takes longer than timeout in simulated time.
func (t *testCore) await(timeout time.Duration, done func() bool) {
	for began := time.Now(); !done(); time.Sleep(100 * time.Millisecond) {
		t.c.Assert(time.Since(began) < timeout, qt.IsTrue, qt.Commentf("the awaited condition is still false after %v", timeout))
	}
}

// loseMachine stops a server and deletes its disk.
func (t *testCore) loseMachine(i int) {
	t.stop(i)
	t.disks[node(i)] = nil
}

// runGrownWithChange runs a test with four servers, of which three are voters, after a first change, to version 1.
func runGrownWithChange(t *testing.T, test func(ctx context.Context, core *testCore)) {
	t.Helper()
	runGrown(t, 4, 1, 3, func(ctx context.Context, core *testCore) {
		time.Sleep(2 * time.Second)
		core.c.Assert(core.replace(ctx, 0, 0, 1), qt.Equals, Committed)
		test(ctx, core)
	})
}
