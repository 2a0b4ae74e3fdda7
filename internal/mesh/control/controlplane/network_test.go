package controlplane

import (
	"context"
	"io"
	"math/rand/v2"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"quincegap/internal/mesh/control/consensus"
)

// testNetwork is a testCore whose links can be cut in one direction, and whose messages, bytes and synced writes are counted.
type testNetwork struct {
	*testCore
	mu       sync.Mutex
	severed  map[[2]string]bool // links that are cut: names of the sender and the receiver
	messages int                // number of messages that arrived
	bytes    map[string]int     // bytes that each server sent and received
	syncs    int                // number of synced writes of all servers
}

// oneWayLink is the Transport of one server, whose requests and replies can be lost separately.
type oneWayLink struct {
	network *testNetwork
	from    string
}

func (o oneWayLink) Ask(ctx context.Context, node string, request []byte) ([]byte, error) {
	o.network.testCore.mu.Lock()
	server := o.network.servers[node]
	o.network.testCore.mu.Unlock()
	if server != nil && o.network.deliver(o.from, node, len(request)) {
		if reply, err := server.Serve(ctx, request); o.network.deliver(node, o.from, len(reply)) {
			return reply, err
		}
	}
	<-ctx.Done() // the sender does not learn that the message was lost
	return nil, trace.ConnectionProblem(ctx.Err(), "request from %s to %s, or its reply, was lost", o.from, node)
}

// deliver waits for the delay of a message, reports whether the message arrives, and counts it if it does.
func (t *testNetwork) deliver(from, to string, bytes int) bool {
	if !(link{t.testCore, from}).deliver() {
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

// countingStore is a memoryStore whose writes are counted.
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

// runNetwork runs a test in a synctest bubble, with n servers of which the first three are voters.
func runNetwork(t *testing.T, n int, seed uint64, test func(ctx context.Context, network *testNetwork)) {
	t.Helper()
	runCore(t, 0, func(ctx context.Context, core *testCore) {
		core.rng = rand.New(rand.NewPCG(seed, 3))
		network := &testNetwork{testCore: core, severed: map[[2]string]bool{}, bytes: map[string]int{}}
		for i := range n {
			network.open(i, true)
		}
		test(ctx, network)
	})
}

// open starts a server on its disk, as testCore.start does.
func (t *testNetwork) open(i int, initialStart bool) {
	t.testCore.mu.Lock()
	defer t.testCore.mu.Unlock()
	self := node(i)
	if t.disks[self] == nil {
		t.disks[self] = &memoryStore{records: map[string][]byte{}}
	}
	disk := countingStore{t.disks[self], t}
	log := logrus.New()
	log.SetOutput(io.Discard)
	server, err := Open(Options{
		Self:         self,
		Seeds:        t.seeds,
		InitialStart: initialStart,
		Transport:    oneWayLink{t, self},
		Log:          log,
		Seed:         uint64(i),
		OnCommit: func(value consensus.Value) {
			t.testCore.mu.Lock()
			defer t.testCore.mu.Unlock()
			t.notified[self] = append(t.notified[self], value.Version)
		},
		openStore: func(string) (recordStore, error) { return disk, nil },
	})
	t.c.Assert(err, qt.IsNil)
	t.servers[self] = server
}

// sever cuts the links from server i to the n-1 others (sends), the links from them to i (receives), or both. If cut is false, it
// restores all of these links.
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
