package controlplane

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"quincegap/internal/mesh/control/configuration"
	"quincegap/internal/mesh/control/consensus"
)

// A change is applied once, however often it is sent, and every server gives the same answer to a repeat.
func TestChangesAreTakenOnce(t *testing.T) {
	runCore(t, 4, func(ctx context.Context, core *testCore) {
		core.c.Assert(core.newest(ctx, 3), qt.Equals, configuration.Version(0))
		for i, change := range []struct {
			base, version configuration.Version
			outcome       Outcome
		}{
			{0, 3, Committed},
			{0, 3, Committed},
			{0, 4, Conflict},
			{3, 3, Committed},
			{3, 2, Conflict},
			{3, 4, Committed},
			{3, 5, Conflict},
			{0, 3, Committed},
			{9, 10, Conflict},
			{4, 10, Conflict},
			{4, 11, Committed},
		} {
			core.c.Assert(core.replace(ctx, i%4, change.base, change.version), qt.Equals, change.outcome,
				qt.Commentf("step %d: base, version and wanted outcome %v", i, change))
		}
		core.c.Assert(core.server(1).Replace(ctx, 11, config(11, "other")).Outcome, qt.Equals, Conflict)
		core.c.Assert(core.server(1).Replace(ctx, 11, []byte("{")).Outcome, qt.Equals, Invalid)
		core.c.Assert(core.newest(ctx, 3), qt.Equals, configuration.Version(11))
		synctest.Wait()
		for i := range 3 { // the voters know the newest version
			value, ok := core.server(i).Committed()
			core.c.Assert(ok && value.Version == 11, qt.IsTrue)
		}
		core.server(2).LearnCommitted(consensus.Value{Version: 7})
		synctest.Wait()
		notified := core.notified[node(2)]
		core.c.Assert(notified[len(notified)-1], qt.Equals, configuration.Version(11))
		value, _ := core.server(2).Committed()
		core.c.Assert(value.Version, qt.Equals, configuration.Version(11))
	})
}

// Changes on the same base are sent to all servers at the same time. Exactly one of them is applied, and at most one if requests and
// replies are delayed or lost.
func TestOneOfManyWins(t *testing.T) {
	for _, loss := range []float64{0, 0.2} {
		t.Run(fmt.Sprintf("loss %v", loss), func(t *testing.T) {
			runCore(t, 4, func(ctx context.Context, core *testCore) {
				core.mu.Lock()
				core.maxDelay, core.lossRate = float64(30*time.Millisecond), loss
				core.mu.Unlock()
				counts := map[Outcome]int{}
				for range 100 {
					outcomes := core.race(ctx, 4)
					applied := core.checkRace(ctx, outcomes)
					core.c.Assert(applied == 1 || loss > 0 && applied == 0, qt.IsTrue)
					for _, outcome := range outcomes {
						counts[outcome]++
					}
				}
				t.Logf("loss %v: %v", loss, counts)
			})
		})
	}
}

// race sends a change on the same base to each of n servers at the same time, and returns the outcomes. Each body contains the server's
// number.
func (t *testCore) race(ctx context.Context, n int) []Outcome {
	base := t.newest(ctx, 3)
	outcomes := make([]Outcome, n)
	shortCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for i := range outcomes {
		calls.Go(func() {
			body := config(base+1+configuration.Version(i%2), strconv.Itoa(i))
			outcomes[i] = t.server(i).Replace(shortCtx, base, body).Outcome
		})
	}
	calls.Wait()
	return outcomes
}

// checkRace compares the outcomes of a race with the current value, and returns the number of changes whose outcome is Committed.
func (t *testCore) checkRace(ctx context.Context, outcomes []Outcome) (applied int) {
	value, err := t.server(3).ReadLatest(ctx)
	t.c.Assert(err, qt.IsNil)
	for i, outcome := range outcomes {
		active := strings.Contains(string(value.Body), fmt.Sprintf(`"x":"%d"`, i))
		if outcome == Committed {
			applied++
		}
		t.c.Assert(outcome == Committed && active || outcome == Conflict && !active || outcome == Unknown, qt.IsTrue,
			qt.Commentf("server %d answered %v, and the current configuration is %s", i, outcome, value.Body))
	}
	return applied
}

// Changes are applied while one voter is cut off, or while its disk blocks or fails. With a second voter cut off the outcome is Unknown,
// until the first voter works again.
func TestFaultyVoters(t *testing.T) {
	const faulty = 2
	configure := func(core *testCore, f func(disk *memoryStore)) {
		disk := core.disks[node(faulty)]
		disk.configure(func() { f(disk) })
	}
	endFault := func(core *testCore) { configure(core, func(disk *memoryStore) { disk.fault = nil }) }
	var unblock chan struct{}
	for name, fault := range map[string]struct{ begin, end func(core *testCore) }{
		"cut": {
			func(core *testCore) { core.isolate(faulty, true) },
			func(core *testCore) { core.isolate(faulty, false) },
		},
		"stalled": {
			func(core *testCore) {
				unblock = make(chan struct{})
				configure(core, func(disk *memoryStore) { disk.unblock = unblock })
			},
			func(core *testCore) {
				configure(core, func(disk *memoryStore) { disk.unblock = nil })
				close(unblock)
			},
		},
		"full": {
			func(core *testCore) { configure(core, func(disk *memoryStore) { disk.fault = io.ErrShortWrite }) },
			endFault,
		},
		"failing late": {
			func(core *testCore) {
				configure(core, func(disk *memoryStore) { disk.fault, disk.torn = io.ErrShortWrite, true })
			},
			endFault,
		},
	} {
		t.Run(name, func(t *testing.T) {
			runCore(t, 4, func(ctx context.Context, core *testCore) {
				core.newest(ctx, 0)
				time.Sleep(time.Second) // until the first records are written, including that of server 3
				for _, disk := range core.disks {
					disk.configure(func() { disk.latency = 50 * time.Millisecond })
				}
				began := time.Now()
				core.c.Assert(core.replace(ctx, 0, 0, 1), qt.Equals, Committed)
				core.c.Assert(time.Since(began), qt.Equals, 100*time.Millisecond) // a write of the promise and a write of the vote
				fault.begin(core)
				core.c.Assert(core.replace(ctx, 3, 1, 2), qt.Equals, Committed)
				core.c.Assert(core.newest(ctx, 3), qt.Equals, configuration.Version(2))

				core.isolate(1, true)
				shortCtx, cancel := context.WithTimeout(ctx, callTimeout)
				core.c.Assert(core.replace(shortCtx, 3, 2, 3), qt.Equals, Unknown)
				cancel()
				fault.end(core)
				core.c.Assert(core.replace(ctx, 3, 2, 3), qt.Equals, Committed)
				core.isolate(1, false)
				core.isolate(0, true)
				core.c.Assert(core.newest(ctx, 1), qt.Equals, configuration.Version(3))
			})
		})
	}
}

// After an acknowledgement all servers are stopped, and one of them loses its disk or a record on it. Later another server is cut off.
// All servers still return the acknowledged version.
func TestLostDisk(t *testing.T) {
	for mode := range 6 {
		cutOffLast := mode % 2                                // voter that is cut off at the end; the other one of 0 and 1 is during the change
		corruptKey := []string{"", stateKey, voteKey}[mode/2] // key of the record that is corrupt; "" if the disk is lost
		runCore(t, 4, func(ctx context.Context, core *testCore) {
			core.isolate(1-cutOffLast, true)
			core.c.Assert(core.replace(ctx, 3, 0, 5), qt.Equals, Committed) // by two voters, one of which loses its disk
			core.isolate(1-cutOffLast, false)
			for i := range 4 {
				core.stop(i)
			}
			core.disks[node(3)] = nil
			if core.disks[node(2)].records[corruptKey] = []byte("corrupt"); corruptKey == "" {
				core.disks[node(2)] = nil
			}
			core.notified = map[string][]configuration.Version{}
			for i := range 4 {
				core.start(i, false)
			}
			time.Sleep(5 * time.Second) // longer than any backoff
			synctest.Wait()
			for i := range 4 {
				core.c.Assert(core.notified[node(i)], qt.DeepEquals, []configuration.Version{5},
					qt.Commentf("versions that server %d was notified of", i))
			}
			core.isolate(cutOffLast, true)
			core.c.Assert(core.newest(ctx, 2), qt.Equals, configuration.Version(5))
			core.c.Assert(core.replace(ctx, 2, 5, 6), qt.Equals, Committed)
		})
	}
}

// A voter that lost its disk does not vote until it has received replies from both other voters.
func TestVoterWithoutRecordIsNotReady(t *testing.T) {
	runCore(t, 3, func(ctx context.Context, core *testCore) {
		core.c.Assert(core.replace(ctx, 0, 0, 5), qt.Equals, Committed)
		core.stop(2)
		core.disks[node(2)] = nil
		core.isolate(0, true)
		core.start(2, false)
		shortCtx, cancel := context.WithTimeout(ctx, 20*time.Second)
		defer cancel()
		core.c.Assert(core.replace(shortCtx, 1, 5, 6), qt.Equals, Unknown)
		core.isolate(0, false)
		core.c.Assert(core.replace(ctx, 1, 5, 6), qt.Equals, Committed)
	})
}

// A vote that was written although the write returned an error counts immediately, and not only after the next start.
func TestFailedWriteIsReadAgain(t *testing.T) {
	runCore(t, 1, func(ctx context.Context, core *testCore) {
		core.stop(0)
		core.seeds = core.seeds[:1]
		core.disks[node(0)] = nil
		core.start(0, true)
		core.c.Assert(core.replace(ctx, 0, 0, 1), qt.Equals, Committed)
		disk := core.disks[node(0)]
		disk.configure(func() { disk.fault, disk.faulty, disk.torn = io.ErrShortWrite, voteKey, true })
		shortCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		core.c.Assert(core.replace(shortCtx, 0, 1, 2), qt.Equals, Unknown)
		disk.configure(func() { disk.fault = nil })
		core.c.Assert(core.newest(ctx, 0), qt.Equals, configuration.Version(2))
		core.stop(0)
		core.start(0, false)
		core.c.Assert(core.newest(ctx, 0), qt.Equals, configuration.Version(2))
	})
}

// After each start, a single voter with a real disk reads the version that was acknowledged before.
func TestRealDisk(t *testing.T) {
	c := qt.New(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	folder := t.TempDir()
	for v := range configuration.Version(5) {
		server, err := Open(Options{Self: "a", Seeds: []string{"a"}, InitialStart: v == 0, Folder: folder, Transport: link{}, Log: log})
		c.Assert(err, qt.IsNil)
		value, err := server.ReadLatest(t.Context())
		c.Assert(err, qt.IsNil)
		c.Assert(value.Version, qt.Equals, v)
		c.Assert(server.Replace(t.Context(), v, config(v+1, "")).Outcome, qt.Equals, Committed)
		server.Close()
	}
}

// The operators' calls are answered with the right statuses, headers and bodies.
func TestOperatorsCalls(t *testing.T) {
	runCore(t, 3, func(ctx context.Context, core *testCore) {
		handler := core.server(0).Handler()
		call := func(method, path, base string, body io.Reader) *httptest.ResponseRecorder {
			request := httptest.NewRequestWithContext(ctx, method, path, body)
			if base != "" {
				request.Header.Set("Base-Version", base)
			}
			response := httptest.NewRecorder()
			handler.ServeHTTP(response, request)
			return response
		}
		replace := func(base, body string) int {
			return call("POST", "/configuration/replace", base, strings.NewReader(body)).Code
		}
		core.c.Assert(call("GET", "/configuration/retrieve", "", nil).Code, qt.Equals, http.StatusNotFound)
		one := string(config(1, ""))
		core.c.Assert(replace("", one), qt.Equals, http.StatusBadRequest)
		core.c.Assert(replace("5", one), qt.Equals, http.StatusBadRequest)
		core.c.Assert(replace("0", one[1:]), qt.Equals, http.StatusBadRequest)
		core.c.Assert(replace("0", strings.Repeat(" ", maxBodyBytes+1)), qt.Equals, http.StatusRequestEntityTooLarge)
		core.c.Assert(replace("0", one), qt.Equals, http.StatusOK)
		core.c.Assert(replace("0", string(config(2, ""))), qt.Equals, http.StatusPreconditionFailed)
		response := call("GET", "/configuration/retrieve", "", nil)
		core.c.Assert(response.Code, qt.Equals, http.StatusOK)
		core.c.Assert(response.Body.String(), qt.Equals, one)
		core.isolate(0, true)
		began := time.Now()
		response = call("POST", "/configuration/replace", "r1", strings.NewReader(string(config(2, ""))))
		core.c.Assert(response.Code, qt.Equals, http.StatusServiceUnavailable)
		core.c.Assert(response.Header().Get("Retry-After"), qt.Equals, "0.2")
		core.c.Assert(time.Since(began) < time.Second, qt.IsTrue)
		core.c.Assert(call("GET", "/configuration/retrieve", "", nil).Code, qt.Equals, http.StatusServiceUnavailable)
	})
}
