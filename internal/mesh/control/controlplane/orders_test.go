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

// operatorChange is a change that an operator sends over HTTP, any number of times, to any server.
type operatorChange struct {
	base configuration.Version
	body string
}

// send sends a change once to a server, and returns the HTTP status of the answer.
func (t *testCore) send(ctx context.Context, i int, change operatorChange) int {
	request := httptest.NewRequestWithContext(ctx, http.MethodPost, "/configuration/replace", strings.NewReader(change.body))
	request.Header.Set("Base-Version", change.base.String())
	response := httptest.NewRecorder()
	t.server(i).Handler().ServeHTTP(response, request)
	if response.Code == http.StatusServiceUnavailable {
		t.c.Assert(response.Header().Get("Retry-After"), qt.Equals, retryAfterSeconds)
	}
	return response.Code
}

// sendUntilAnswered sends a change to one server after another, beginning with server from, until it gets a definite answer, and returns
// the HTTP status of that answer. It ignores the given number of answers, as if they were lost.
func (t *testCore) sendUntilAnswered(ctx context.Context, from int, change operatorChange, lost int) int {
	for n := 0; ; n++ {
		status := t.send(ctx, (from+n)%4, change)
		if n >= lost && status != http.StatusServiceUnavailable {
			return status
		}
	}
}

// checkAtAll checks that all servers answer each of the changes with the given HTTP status.
func (t *testCore) checkAtAll(ctx context.Context, status int, changes ...operatorChange) {
	for _, change := range changes {
		for i := range 4 {
			t.c.Assert(t.sendUntilAnswered(ctx, i, change, 0), qt.Equals, status,
				qt.Commentf("HTTP status from server %d for the change %.40s", i, change.body))
		}
	}
}

// Two operators choose the same version for two different bodies and send them to two processes. Answers and messages are lost, and each
// change is repeated until it is answered. Every process gives the same answers: one change is applied and the other rejected. That is
// still so after a change of the voters, after a restart of all processes, and after later changes.
func TestOneNumberTwoBodies(t *testing.T) {
	for seed := range 6 {
		runCore(t, 4, func(ctx context.Context, core *testCore) {
			core.mu.Lock()
			core.maxDelay, core.lossRate = float64(20*time.Millisecond), 0.15
			core.mu.Unlock()
			changes := []operatorChange{{0, string(config(7, "one"))}, {0, string(config(7, "two"))}}
			var statuses [2]int
			var operators sync.WaitGroup
			for n, change := range changes {
				operators.Go(func() { statuses[n] = core.sendUntilAnswered(ctx, seed+2*n, change, seed%3) })
			}
			operators.Wait()
			core.c.Assert(statuses == [2]int{200, 412} || statuses == [2]int{412, 200}, qt.IsTrue,
				qt.Commentf("HTTP statuses of the two changes: %v", statuses))
			applied, rejected := changes[0], changes[1]
			if statuses[1] == http.StatusOK {
				applied, rejected = rejected, applied
			}
			check := func() {
				core.checkAtAll(ctx, http.StatusOK, applied)
				core.checkAtAll(ctx, http.StatusPreconditionFailed, rejected)
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
			core.c.Assert(core.sendUntilAnswered(ctx, 1, operatorChange{7, string(config(9, ""))}, 2), qt.Equals, http.StatusOK)
			check()
			core.c.Assert(core.newest(ctx, 2), qt.Equals, configuration.Version(9))
		})
	}
}

// After more changes than the history holds, a repeat of a change that was applied long ago, or may have been, has an unknown outcome.
// Changes that certainly were never applied, and changes based on the newest version, have definite answers.
func TestOrdersOfAnyAge(t *testing.T) {
	const versions = 300
	runCore(t, 4, func(ctx context.Context, core *testCore) {
		var changes []operatorChange
		for v := range configuration.Version(versions) {
			changes = append(changes, operatorChange{v, string(config(v+1, ""))})
			core.c.Assert(core.send(ctx, int(v)%4, changes[v]), qt.Equals, http.StatusOK)
		}
		unknown := 0
		for v, change := range changes {
			status := core.send(ctx, v%4, change)
			if status == http.StatusServiceUnavailable && v == unknown {
				unknown++
				continue
			}
			core.c.Assert(status, qt.Equals, http.StatusOK, qt.Commentf("HTTP status of a repeat of the change %v", change))
		}
		core.c.Assert(unknown > 0 && unknown < 50, qt.IsTrue, qt.Commentf("number of repeats with an unknown outcome: %d", unknown))
		core.checkAtAll(ctx, http.StatusPreconditionFailed,
			operatorChange{3, string(config(versions+1, ""))},
			operatorChange{versions - 1, string(config(versions, "other"))},
			operatorChange{2, string(config(1, ""))},
			operatorChange{5, string(config(5, ""))})
		core.c.Assert(core.send(ctx, 0, operatorChange{1, string(config(2, "other"))}), qt.Equals, http.StatusServiceUnavailable)
		core.checkAtAll(ctx, http.StatusOK, operatorChange{versions, string(config(versions+1, ""))})
	})
}

// A process never reuses a ballot from before its restart.
func TestBallotsOfAStartAreItsOwn(t *testing.T) {
	runCore(t, 4, func(_ context.Context, core *testCore) {
		before := core.server(3).proposer.nextBallot()
		core.stop(3)
		time.Sleep(time.Millisecond)
		core.start(3, false)
		core.c.Assert(core.server(3).proposer.nextBallot().Proposer, qt.Not(qt.Equals), before.Proposer)
	})
}

// A server with the folder of another server does not vote, and does not change the folder.
func TestSwappedFolders(t *testing.T) {
	runCore(t, 3, func(ctx context.Context, core *testCore) {
		core.c.Assert(core.replace(ctx, 2, 0, 1), qt.Equals, Committed)
		time.Sleep(time.Second) // until all servers have stored the change
		for i := range 2 {
			core.stop(i)
		}
		first, second := core.disks[node(0)], core.disks[node(1)]
		before := string(first.record(voteKey))
		core.disks[node(0)], core.disks[node(1)] = second, first
		for i := range 2 {
			core.start(i, false)
		}
		shortCtx, cancel := context.WithTimeout(ctx, 10*time.Second)
		defer cancel()
		core.c.Assert(core.replace(shortCtx, 2, 1, 2), qt.Equals, Unknown)
		core.c.Assert(string(first.record(voteKey)), qt.Equals, before)
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

// The error for a folder that cannot be used names the folder and the record, and no record is written.
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

// A folder whose records are deleted while a voter runs counts as a lost disk, even at the system's first start.
func TestEmptiedFolderIsNoFirstStart(t *testing.T) {
	runCore(t, 3, func(ctx context.Context, core *testCore) {
		core.c.Assert(core.replace(ctx, 1, 0, 5), qt.Equals, Committed)
		time.Sleep(time.Second) // until all servers have stored the change
		disk := core.disks[node(2)]
		disk.configure(func() {
			clear(disk.records)
			disk.fault = io.ErrShortWrite
		})
		shortCtx, cancel := context.WithTimeout(ctx, 5*time.Second)
		defer cancel()
		core.c.Assert(core.replace(shortCtx, 1, 5, 6), qt.Equals, Committed)
		synctest.Wait() // until a write of voter 2 has failed, even if the other two voters were the majority
		core.isolate(0, true)
		disk.configure(func() { disk.fault = nil })
		shortCtx, cancel = context.WithTimeout(ctx, 10*time.Second)
		defer cancel()
		core.c.Assert(core.replace(shortCtx, 1, 6, 7), qt.Equals, Unknown)
		core.isolate(0, false)
		core.c.Assert(core.replace(ctx, 1, 6, 7), qt.Equals, Committed)
	})
}
