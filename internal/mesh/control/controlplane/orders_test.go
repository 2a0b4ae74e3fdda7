package controlplane

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/gravitational/trace"

	"quincegap/internal/mesh/control/configuration"
)

// order is a change that an operator sends over HTTP, any number of times, to any server.
type order struct {
	base configuration.Version
	body string
}

// send sends an order once, and returns the status.
func (t *testCore) send(ctx context.Context, i int, o order) int {
	request := httptest.NewRequestWithContext(ctx, http.MethodPost, "/configuration/replace", strings.NewReader(o.body))
	request.Header.Set("Base-Version", o.base.String())
	response := httptest.NewRecorder()
	t.server(i).Handler().ServeHTTP(response, request)
	if response.Code == http.StatusServiceUnavailable {
		t.c.Assert(response.Header().Get("Retry-After"), qt.Equals, retryAfterSeconds)
	}
	return response.Code
}

// sendUntilAnswered sends an order to one server after the other until it gets a definite answer, and returns the status. It ignores
// the first lost answers.
func (t *testCore) sendUntilAnswered(ctx context.Context, from int, o order, lost int) int {
	for n := 0; ; n++ {
		status := t.send(ctx, (from+n)%4, o)
		if n >= lost && status != http.StatusServiceUnavailable {
			return status
		}
	}
}

// checkAtAll checks that all servers answer orders with a status.
func (t *testCore) checkAtAll(ctx context.Context, status int, orders ...order) {
	for _, o := range orders {
		for i := range 4 {
			t.c.Assert(t.sendUntilAnswered(ctx, i, o, 0), qt.Equals, status, qt.Commentf("server %d, %.40s", i, o.body))
		}
	}
}

// Two operators choose one version for two bodies and send them to two processes. Answers and messages are lost, and each order is
// repeated until it is answered. One is applied and one refused, by every process, also after a change of the voters, after all
// processes were killed, and after later changes.
func TestOneNumberTwoBodies(t *testing.T) {
	for seed := range 6 {
		runCore(t, 4, func(ctx context.Context, core *testCore) {
			core.mu.Lock()
			core.maxDelay, core.lossRate = float64(20*time.Millisecond), 0.15
			core.mu.Unlock()
			orders := []order{{0, string(config(7, "one"))}, {0, string(config(7, "two"))}}
			var statuses [2]int
			var operators sync.WaitGroup
			for n, o := range orders {
				operators.Go(func() { statuses[n] = core.sendUntilAnswered(ctx, seed+2*n, o, seed%3) })
			}
			operators.Wait()
			core.c.Assert(statuses == [2]int{200, 412} || statuses == [2]int{412, 200}, qt.IsTrue, qt.Commentf("%v", statuses))
			applied, refused := orders[0], orders[1]
			if statuses[1] == http.StatusOK {
				applied, refused = refused, applied
			}
			check := func() {
				core.checkAtAll(ctx, http.StatusOK, applied)
				core.checkAtAll(ctx, http.StatusPreconditionFailed, refused)
			}
			check()
			core.mu.Lock()
			core.lossRate = 0
			core.mu.Unlock()
			core.c.Assert(core.server(0).AddVoter(ctx, node(3)), qt.IsNil)
			core.c.Assert(core.server(3).RetireVoter(ctx, node(seed%3)), qt.IsNil)
			check()
			for i := range 4 {
				core.stop(i)
			}
			for i := range 4 {
				core.start(i, false)
			}
			check()
			core.c.Assert(core.sendUntilAnswered(ctx, 1, order{7, string(config(9, ""))}, 2), qt.Equals, http.StatusOK)
			check()
			core.c.Assert(core.newest(ctx, 2), qt.Equals, configuration.Version(9))
		})
	}
}

// After more changes than the history holds, a repeat of an order that was applied long ago, or may have been, is unknown. Orders that
// certainly never were applied, and those on the newest version, have definite answers.
func TestOrdersOfAnyAge(t *testing.T) {
	const changes = 300
	runCore(t, 4, func(ctx context.Context, core *testCore) {
		var orders []order
		for v := range configuration.Version(changes) {
			orders = append(orders, order{v, string(config(v+1, ""))})
			core.c.Assert(core.send(ctx, int(v)%4, orders[v]), qt.Equals, http.StatusOK)
		}
		unknown := 0
		for v, o := range orders {
			status := core.send(ctx, v%4, o)
			if status == http.StatusServiceUnavailable && v == unknown {
				unknown++
				continue
			}
			core.c.Assert(status, qt.Equals, http.StatusOK, qt.Commentf("%v", o))
		}
		core.c.Assert(unknown > 0 && unknown < 50, qt.IsTrue, qt.Commentf("%d", unknown))
		core.checkAtAll(ctx, http.StatusPreconditionFailed,
			order{3, string(config(changes+1, ""))},
			order{changes - 1, string(config(changes, "other"))},
			order{2, string(config(1, ""))},
			order{5, string(config(5, ""))})
		core.c.Assert(core.send(ctx, 0, order{1, string(config(2, "other"))}), qt.Equals, http.StatusServiceUnavailable)
		core.checkAtAll(ctx, http.StatusOK, order{changes, string(config(changes+1, ""))})
	})
}

// A process never uses a ballot of an earlier start.
func TestBallotsOfAStartAreItsOwn(t *testing.T) {
	runCore(t, 4, func(_ context.Context, core *testCore) {
		before := core.server(3).proposer.nextBallot()
		core.stop(3)
		time.Sleep(time.Millisecond) // of the bubble's time
		core.start(3, false)
		core.c.Assert(core.server(3).proposer.nextBallot().Proposer, qt.Not(qt.Equals), before.Proposer)
	})
}

// A server with another server's folder does not vote, and does not change the folder.
func TestSwappedFolders(t *testing.T) {
	runCore(t, 3, func(ctx context.Context, core *testCore) {
		core.c.Assert(core.replace(ctx, 2, 0, 1), qt.Equals, Committed)
		time.Sleep(time.Second) // of the bubble's time: all have it
		for i := range 2 {
			core.stop(i)
		}
		first, second := core.disks[node(0)], core.disks[node(1)]
		before := string(first.records[voteKey])
		core.disks[node(0)], core.disks[node(1)] = second, first
		for i := range 2 {
			core.start(i, false)
		}
		short, cancel := context.WithTimeout(ctx, 10*time.Second)
		defer cancel()
		core.c.Assert(core.replace(short, 2, 1, 2), qt.Equals, Unknown)
		core.c.Assert(string(first.records[voteKey]), qt.Equals, before)
		for i := range 2 {
			core.stop(i)
		}
		core.disks[node(0)], core.disks[node(1)] = first, second
		for i := range 2 {
			core.start(i, false)
		}
		core.c.Assert(core.replace(ctx, 2, 1, 2), qt.Equals, Committed)
	})
}

// The error for a folder that cannot be used names the folder and the record, and nothing is written.
func TestUnusableRecordsAreNamed(t *testing.T) {
	c := qt.New(t)
	for key, test := range map[string]struct {
		owner string
		fault error
		match string
	}{
		ownerKey: {"b", nil, `folder f, record "owner": the folder belongs to b, this process is a`},
		voteKey:  {"a", trace.NotImplemented(`folder f, record "vote": format 0x72`), `folder f, record "vote": format 0x72`},
		stateKey: {"a", trace.NotImplemented(`folder f, record "standing": format 0x72`), `folder f, record "standing": format 0x72`},
	} {
		store := &memoryStore{records: map[string][]byte{ownerKey: []byte(test.owner)}}
		openStore := func(string) (recordStore, error) { return unreadableStore{store, key, test.fault}, nil }
		disk := recordDisk{self: "a", folder: "f", openStore: openStore}
		c.Assert((&acceptor{disk: disk}).load(), qt.ErrorMatches, "(?s).*"+test.match+".*")
		c.Assert(store.records, qt.HasLen, 1)
	}
	store := &memoryStore{records: map[string][]byte{voteKey: {0xff}}}
	disk := &recordDisk{self: "a", folder: "f", store: store}
	c.Assert(disk.get(voteKey, nil), qt.ErrorMatches, `(?s).*folder f, record "vote": byte 0.*`)
}

// unreadableStore is a disk that returns an error for one of its records.
type unreadableStore struct {
	*memoryStore
	key   string
	fault error
}

func (u unreadableStore) Get(key string) ([]byte, error) {
	if key == u.key && u.fault != nil {
		return nil, u.fault
	}
	return u.memoryStore.Get(key)
}

// A folder that is emptied while a voter runs is a lost disk, also at the system's first start.
func TestEmptiedFolderIsNoFirstStart(t *testing.T) {
	runCore(t, 3, func(ctx context.Context, core *testCore) {
		core.c.Assert(core.replace(ctx, 1, 0, 5), qt.Equals, Committed)
		time.Sleep(time.Second) // of the bubble's time: all have it
		disk := core.disks[node(2)]
		disk.configure(func() {
			clear(disk.records)
			disk.fault = io.ErrShortWrite
		})
		short, cancel := context.WithTimeout(ctx, 5*time.Second)
		defer cancel()
		core.c.Assert(core.replace(short, 1, 5, 6), qt.Equals, Committed)
		synctest.Wait() // voter 2 has met the fault, also where the other two were enough before it was asked
		core.isolate(0, true)
		disk.configure(func() { disk.fault = nil })
		short, cancel = context.WithTimeout(ctx, 10*time.Second)
		defer cancel()
		core.c.Assert(core.replace(short, 1, 6, 7), qt.Equals, Unknown)
		core.isolate(0, false)
		core.c.Assert(core.replace(ctx, 1, 6, 7), qt.Equals, Committed)
	})
}
