package controlplane

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
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

// testCore is a few servers in one process, on disks in memory, in a bubble whose time doesn't pass while anything runs.
type testCore struct {
	c         *qt.C
	seeds     []string
	mu        sync.Mutex
	servers   map[string]*Server
	disks     map[string]*memoryStore
	isolated  map[string]bool
	notified  map[string][]configuration.Version // by OnCommit
	tolerated int                                // losses; 0: the voters stay as they are

	rng      *rand.Rand
	maxDelay float64 // of requests and replies, at most
	lossRate float64 // how many of them are lost

	blocked map[[2]string]bool // ways between two nodes, by their names, on which nothing passes
	drops   consensus.RequestKind
}

// memoryStore is a disk whose writes may be slow, blocked, or fail, before or after they are done.
type memoryStore struct {
	mu      sync.Mutex
	records map[string][]byte
	gate    chan struct{}
	slow    time.Duration
	fault   error
	only    string // the key whose writes fail, if not all
	torn    bool
}

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

type link struct {
	core *testCore
	from string
}

func (l link) Ask(ctx context.Context, node string, request []byte) ([]byte, error) {
	l.core.mu.Lock()
	d := l.core.servers[node]
	lost := d == nil || l.core.isolated[node] || l.core.isolated[l.from] || l.core.blocked[[2]string{l.from, node}] || l.core.blocked[[2]string{node, l.from}]
	var q consensus.Request
	lost = lost || l.core.drops != 0 && codec.Unmarshal(request, &q) == nil && q.Kind == l.core.drops
	l.core.mu.Unlock()
	if !lost && l.passes() {
		if reply, err := d.Serve(ctx, request); l.passes() {
			return reply, err
		}
	}
	<-ctx.Done() // as a cut says nothing
	return nil, trace.ConnectionProblem(ctx.Err(), "no way from %s to %s", l.from, node)
}

func (l link) passes() bool {
	l.core.mu.Lock()
	late := time.Duration(l.core.maxDelay * l.core.rng.Float64())
	lost := l.core.rng.Float64() < l.core.lossRate
	l.core.mu.Unlock()
	time.Sleep(late) // of the bubble's time
	return !lost
}

func node(i int) string { return fmt.Sprintf("10.0.0.%d:1", i) }

// runCore runs a test in a bubble, with n servers of which the first three are voters.
func runCore(t *testing.T, n int, test func(co *testCore, ctx context.Context)) {
	synctest.Test(t, func(t *testing.T) {
		co := &testCore{
			c: qt.New(t), servers: map[string]*Server{}, disks: map[string]*memoryStore{}, isolated: map[string]bool{},
			notified: map[string][]configuration.Version{}, rng: rand.New(rand.NewPCG(1, 2)), seeds: []string{node(0), node(1), node(2)},
		}
		for i := range n {
			co.start(i, true)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 24*time.Hour)
		defer cancel()
		defer func() {
			for i := range 9 {
				if co.server(i) != nil {
					co.stop(i)
				}
			}
			time.Sleep(requestTimeout) // of the bubble's time: what was on its way has come
		}()
		test(co, ctx)
	})
}

func (t *testCore) start(i int, first bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	self := node(i)
	if t.disks[self] == nil {
		t.disks[self] = &memoryStore{records: map[string][]byte{}}
	}
	kept := t.disks[self]
	log := logrus.New()
	log.SetOutput(io.Discard)
	var cores func() []string
	if t.tolerated > 0 {
		cores = func() []string { return t.cores(self) }
	}
	d, err := Open(Options{
		Self: self, Seeds: t.seeds, Tolerated: t.tolerated, Cores: cores, InitialStart: first, Transport: link{t, self}, Log: log, Seed: 1,
		OnCommit: func(w consensus.Value) {
			t.mu.Lock()
			defer t.mu.Unlock()
			t.notified[self] = append(t.notified[self], w.Version)
		},
		openStore: func(string) (recordStore, error) { return kept, nil },
	})
	t.c.Assert(err, qt.IsNil)
	t.servers[self] = d
}

// stop ends a server as a kill would: what is on disk stays.
func (t *testCore) stop(i int) {
	t.mu.Lock()
	d := t.servers[node(i)]
	delete(t.servers, node(i))
	t.mu.Unlock()
	d.Close()
}

func (t *testCore) server(i int) *Server { return t.servers[node(i)] }

func (t *testCore) isolate(i int, cut bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.isolated[node(i)] = cut
}

func config(v configuration.Version, more string) []byte {
	return []byte(fmt.Sprintf(`{"configVersion":"%v","routeTable":[],"x":%q}`, v, more))
}

func (t *testCore) replace(ctx context.Context, i int, base, v configuration.Version) Outcome {
	return t.server(i).Replace(ctx, base, config(v, "")).Outcome
}

func (t *testCore) newest(ctx context.Context, i int) configuration.Version {
	w, err := t.server(i).ReadLatest(ctx)
	t.c.Assert(err, qt.IsNil)
	return w.Version
}

func TestChangesAreTakenOnce(t *testing.T) {
	runCore(t, 4, func(co *testCore, ctx context.Context) {
		co.c.Assert(co.newest(ctx, 3), qt.Equals, configuration.Version(0))
		for i, x := range []struct {
			base, v configuration.Version
			outcome Outcome
		}{
			{0, 3, Applied},
			{0, 3, Applied},
			{0, 4, Conflict},
			{3, 3, Applied},
			{3, 2, Conflict},
			{3, 4, Applied},
			{3, 5, Conflict},
			{0, 3, Applied},
			{9, 10, Conflict},
			{4, 10, Conflict},
			{4, 11, Applied},
		} {
			co.c.Assert(co.replace(ctx, i%4, x.base, x.v), qt.Equals, x.outcome, qt.Commentf("%v", x))
		}
		co.c.Assert(co.server(1).Replace(ctx, 11, config(11, "other")).Outcome, qt.Equals, Conflict)
		co.c.Assert(co.server(1).Replace(ctx, 11, []byte("{")).Outcome, qt.Equals, Invalid)
		co.c.Assert(co.newest(ctx, 3), qt.Equals, configuration.Version(11))
		synctest.Wait()
		for i := range 3 { // the voters hear of it
			w, ok := co.server(i).Committed()
			co.c.Assert(ok && w.Version == 11, qt.IsTrue)
		}
		co.server(2).LearnCommitted(consensus.Value{Version: 7})
		synctest.Wait()
		co.c.Assert(co.notified[node(2)][len(co.notified[node(2)])-1], qt.Equals, configuration.Version(11))
		w, _ := co.server(2).Committed()
		co.c.Assert(w.Version, qt.Equals, configuration.Version(11))
	})
}

// Of changes that are sent at the same time, on the same base, to all servers, one is taken, and no more when requests and
// replies are late or lost.
func TestOneOfManyWins(t *testing.T) {
	for _, loss := range []float64{0, 0.2} {
		runCore(t, 4, func(co *testCore, ctx context.Context) {
			co.mu.Lock()
			co.maxDelay, co.lossRate = float64(30*time.Millisecond), loss
			co.mu.Unlock()
			counts := map[Outcome]int{}
			for range 100 {
				base := co.newest(ctx, 3)
				outcomes := make([]Outcome, 4)
				short, cancel := context.WithTimeout(ctx, callTimeout)
				var wg sync.WaitGroup
				for i := range outcomes {
					wg.Go(func() {
						outcomes[i] = co.server(i).Replace(short, base, config(base+1+configuration.Version(i%2), fmt.Sprint(i))).Outcome
					})
				}
				wg.Wait()
				cancel()
				w, err := co.server(3).ReadLatest(ctx)
				co.c.Assert(err, qt.IsNil)
				taken := 0
				for i, o := range outcomes {
					counts[o]++
					in := strings.Contains(string(w.Body), fmt.Sprintf(`"x":"%d"`, i))
					if o == Applied {
						taken++
					}
					co.c.Assert(o == Applied && in || o == Conflict && !in || o == Unknown, qt.IsTrue, qt.Commentf("%v %s", o, w.Body))
				}
				co.c.Assert(taken == 1 || loss > 0 && taken == 0, qt.IsTrue)
			}
			t.Logf("loss %v: %v", loss, counts)
		})
	}
}

// With a voter cut off, slow, or on a disk that hangs or fails, changes are taken; with two they are unclear, until one of
// them is back.
func TestVotersInTrouble(t *testing.T) {
	gate := make(chan struct{})
	for name, trouble := range map[string]struct {
		begin, end func(co *testCore, i int, m *memoryStore)
	}{
		"cut": {
			func(co *testCore, i int, m *memoryStore) { co.isolate(i, true) },
			func(co *testCore, i int, m *memoryStore) { co.isolate(i, false) },
		},
		"stalled": {
			func(co *testCore, i int, m *memoryStore) {
				gate = make(chan struct{})
				m.configure(func() { m.gate = gate })
			},
			func(co *testCore, i int, m *memoryStore) { m.configure(func() { m.gate = nil }); close(gate) },
		},
		"full": {
			func(co *testCore, i int, m *memoryStore) { m.configure(func() { m.fault = io.ErrShortWrite }) },
			func(co *testCore, i int, m *memoryStore) { m.configure(func() { m.fault = nil }) },
		},
		"failing late": {
			func(co *testCore, i int, m *memoryStore) {
				m.configure(func() { m.fault, m.torn = io.ErrShortWrite, true })
			},
			func(co *testCore, i int, m *memoryStore) { m.configure(func() { m.fault = nil }) },
		},
	} {
		t.Run(name, func(t *testing.T) {
			runCore(t, 4, func(co *testCore, ctx context.Context) {
				co.newest(ctx, 0)
				time.Sleep(time.Second) // of the bubble's time: the first records are written, that of server 3, too
				for _, m := range co.disks {
					m.configure(func() { m.slow = 50 * time.Millisecond })
				}
				began := time.Now()
				co.c.Assert(co.replace(ctx, 0, 0, 1), qt.Equals, Applied)
				co.c.Assert(time.Since(began), qt.Equals, 100*time.Millisecond) // a promise and a vote
				trouble.begin(co, 2, co.disks[node(2)])
				co.c.Assert(co.replace(ctx, 3, 1, 2), qt.Equals, Applied)
				co.c.Assert(co.newest(ctx, 3), qt.Equals, configuration.Version(2))

				co.isolate(1, true)
				short, cancel := context.WithTimeout(ctx, callTimeout)
				co.c.Assert(co.replace(short, 3, 2, 3), qt.Equals, Unknown)
				cancel()
				trouble.end(co, 2, co.disks[node(2)])
				co.c.Assert(co.replace(ctx, 3, 2, 3), qt.Equals, Applied)
				co.isolate(1, false)
				co.isolate(0, true)
				co.c.Assert(co.newest(ctx, 1), qt.Equals, configuration.Version(3))
			})
		})
	}
}

// After an acknowledgement all are killed, and one loses its disk as well, or a part of it; then another one is away.
func TestLostDisk(t *testing.T) {
	for mode := range 6 {
		away, part := mode%2, []string{"", stateKey, voteKey}[mode/2]
		runCore(t, 4, func(co *testCore, ctx context.Context) {
			co.isolate(1-away, true)
			co.c.Assert(co.replace(ctx, 3, 0, 5), qt.Equals, Applied) // by two voters, of whom one loses its disk
			co.isolate(1-away, false)
			for i := range 4 {
				co.stop(i)
			}
			co.disks[node(3)] = nil
			if co.disks[node(2)].records[part] = []byte("spoilt"); part == "" {
				co.disks[node(2)] = nil
			}
			co.notified = map[string][]configuration.Version{}
			for i := range 4 {
				co.start(i, false)
			}
			time.Sleep(5 * time.Second) // of the bubble's time: long enough for all pauses
			synctest.Wait()
			for i := range 4 {
				co.c.Assert(co.notified[node(i)], qt.DeepEquals, []configuration.Version{5}, qt.Commentf("server %d", i))
			}
			co.isolate(away, true)
			co.c.Assert(co.newest(ctx, 2), qt.Equals, configuration.Version(5))
			co.c.Assert(co.replace(ctx, 2, 5, 6), qt.Equals, Applied)
		})
	}
}

// A replica that lost its disk doesn't vote while it can't read from both others.
func TestAmnesiacIsUnfit(t *testing.T) {
	runCore(t, 3, func(co *testCore, ctx context.Context) {
		co.c.Assert(co.replace(ctx, 0, 0, 5), qt.Equals, Applied)
		co.stop(2)
		co.disks[node(2)] = nil
		co.isolate(0, true)
		co.start(2, false)
		short, cancel := context.WithTimeout(ctx, 20*time.Second)
		defer cancel()
		co.c.Assert(co.replace(short, 1, 5, 6), qt.Equals, Unknown)
		co.isolate(0, false)
		co.c.Assert(co.replace(ctx, 1, 5, 6), qt.Equals, Applied)
	})
}

// A vote that was written although the disk said it failed counts from then on, not only after the next start.
func TestFailedWriteIsReadAgain(t *testing.T) {
	runCore(t, 1, func(co *testCore, ctx context.Context) {
		co.stop(0)
		co.seeds, co.disks[node(0)] = co.seeds[:1], nil
		co.start(0, true)
		co.c.Assert(co.replace(ctx, 0, 0, 1), qt.Equals, Applied)
		m := co.disks[node(0)]
		m.configure(func() { m.fault, m.only, m.torn = io.ErrShortWrite, voteKey, true })
		short, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		co.c.Assert(co.replace(short, 0, 1, 2), qt.Equals, Unknown)
		m.configure(func() { m.fault = nil })
		co.c.Assert(co.newest(ctx, 0), qt.Equals, configuration.Version(2))
		co.stop(0)
		co.start(0, false)
		co.c.Assert(co.newest(ctx, 0), qt.Equals, configuration.Version(2))
	})
}

// A voter alone, on a real disk, knows after each start what was acknowledged.
func TestRealDisk(t *testing.T) {
	c := qt.New(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	folder := t.TempDir()
	for v := range configuration.Version(5) {
		d, err := Open(Options{Self: "a", Seeds: []string{"a"}, InitialStart: v == 0, Folder: folder, Transport: link{}, Log: log})
		c.Assert(err, qt.IsNil)
		w, err := d.ReadLatest(t.Context())
		c.Assert(err, qt.IsNil)
		c.Assert(w.Version, qt.Equals, v)
		c.Assert(d.Replace(t.Context(), v, config(v+1, "")).Outcome, qt.Equals, Applied)
		d.Close()
	}
}

func TestOperatorsCalls(t *testing.T) {
	runCore(t, 3, func(co *testCore, ctx context.Context) {
		h := co.server(0).Handler()
		call := func(method, path, base string, body io.Reader) *httptest.ResponseRecorder {
			r := httptest.NewRequest(method, path, body)
			if base != "" {
				r.Header.Set("Base-Version", base)
			}
			w := httptest.NewRecorder()
			h.ServeHTTP(w, r)
			return w
		}
		replace := func(base, body string) int {
			return call("POST", "/configuration/replace", base, strings.NewReader(body)).Code
		}
		co.c.Assert(call("GET", "/configuration/retrieve", "", nil).Code, qt.Equals, http.StatusNotFound)
		one := string(config(1, ""))
		co.c.Assert(replace("", one), qt.Equals, http.StatusBadRequest)
		co.c.Assert(replace("5", one), qt.Equals, http.StatusBadRequest)
		co.c.Assert(replace("0", one[1:]), qt.Equals, http.StatusBadRequest)
		co.c.Assert(replace("0", strings.Repeat(" ", maxBodyBytes+1)), qt.Equals, http.StatusRequestEntityTooLarge)
		co.c.Assert(replace("0", one), qt.Equals, http.StatusOK)
		co.c.Assert(replace("0", string(config(2, ""))), qt.Equals, http.StatusPreconditionFailed)
		w := call("GET", "/configuration/retrieve", "", nil)
		co.c.Assert(w.Code, qt.Equals, http.StatusOK)
		co.c.Assert(w.Body.String(), qt.Equals, one)
		co.isolate(0, true)
		began := time.Now()
		w = call("POST", "/configuration/replace", "r1", strings.NewReader(string(config(2, ""))))
		co.c.Assert(w.Code, qt.Equals, http.StatusServiceUnavailable)
		co.c.Assert(w.Header().Get("Retry-After"), qt.Equals, "0.2")
		co.c.Assert(time.Since(began) < time.Second, qt.IsTrue)
		co.c.Assert(call("GET", "/configuration/retrieve", "", nil).Code, qt.Equals, http.StatusServiceUnavailable)
	})
}
