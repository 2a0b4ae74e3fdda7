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

func TestChangesAreTakenOnce(t *testing.T) {
	runCore(t, 4, func(ctx context.Context, co *testCore) {
		co.c.Assert(co.newest(ctx, 3), qt.Equals, configuration.Version(0))
		for i, change := range []struct {
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
			co.c.Assert(co.replace(ctx, i%4, change.base, change.v), qt.Equals, change.outcome, qt.Commentf("%v", change))
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
		t.Run(fmt.Sprintf("loss %v", loss), func(t *testing.T) {
			runCore(t, 4, func(ctx context.Context, co *testCore) {
				co.mu.Lock()
				co.maxDelay, co.lossRate = float64(30*time.Millisecond), loss
				co.mu.Unlock()
				counts := map[Outcome]int{}
				for range 100 {
					outcomes := co.race(ctx, 4)
					applied := co.checkRace(ctx, outcomes)
					co.c.Assert(applied == 1 || loss > 0 && applied == 0, qt.IsTrue)
					for _, outcome := range outcomes {
						counts[outcome]++
					}
				}
				t.Logf("loss %v: %v", loss, counts)
			})
		})
	}
}

// race sends one change to each of n servers at the same time, on the same base. Their bodies hold the numbers of the servers.
func (t *testCore) race(ctx context.Context, n int) []Outcome {
	base := t.newest(ctx, 3)
	outcomes := make([]Outcome, n)
	short, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for i := range outcomes {
		calls.Go(func() {
			body := config(base+1+configuration.Version(i%2), strconv.Itoa(i))
			outcomes[i] = t.server(i).Replace(short, base, body).Outcome
		})
	}
	calls.Wait()
	return outcomes
}

// checkRace checks outcomes against the value that is there now, and returns how many changes were applied.
func (t *testCore) checkRace(ctx context.Context, outcomes []Outcome) (applied int) {
	value, err := t.server(3).ReadLatest(ctx)
	t.c.Assert(err, qt.IsNil)
	for i, outcome := range outcomes {
		inForce := strings.Contains(string(value.Body), fmt.Sprintf(`"x":"%d"`, i))
		if outcome == Applied {
			applied++
		}
		t.c.Assert(outcome == Applied && inForce || outcome == Conflict && !inForce || outcome == Unknown, qt.IsTrue,
			qt.Commentf("%v %s", outcome, value.Body))
	}
	return applied
}

// With a voter cut off, slow, or on a disk that hangs or fails, changes are taken; with two they are unclear, until one of
// them is back.
func TestFaultyVoters(t *testing.T) {
	const faulty = 2
	configure := func(co *testCore, f func(m *memoryStore)) {
		m := co.disks[node(faulty)]
		m.configure(func() { f(m) })
	}
	endFault := func(co *testCore) { configure(co, func(m *memoryStore) { m.fault = nil }) }
	var gate chan struct{}
	for name, fault := range map[string]struct{ begin, end func(co *testCore) }{
		"cut": {
			func(co *testCore) { co.isolate(faulty, true) },
			func(co *testCore) { co.isolate(faulty, false) },
		},
		"stalled": {
			func(co *testCore) {
				gate = make(chan struct{})
				configure(co, func(m *memoryStore) { m.gate = gate })
			},
			func(co *testCore) {
				configure(co, func(m *memoryStore) { m.gate = nil })
				close(gate)
			},
		},
		"full": {
			func(co *testCore) { configure(co, func(m *memoryStore) { m.fault = io.ErrShortWrite }) },
			endFault,
		},
		"failing late": {
			func(co *testCore) { configure(co, func(m *memoryStore) { m.fault, m.torn = io.ErrShortWrite, true }) },
			endFault,
		},
	} {
		t.Run(name, func(t *testing.T) {
			runCore(t, 4, func(ctx context.Context, co *testCore) {
				co.newest(ctx, 0)
				time.Sleep(time.Second) // of the bubble's time: the first records are written, that of server 3, too
				for _, m := range co.disks {
					m.configure(func() { m.slow = 50 * time.Millisecond })
				}
				began := time.Now()
				co.c.Assert(co.replace(ctx, 0, 0, 1), qt.Equals, Applied)
				co.c.Assert(time.Since(began), qt.Equals, 100*time.Millisecond) // a promise and a vote
				fault.begin(co)
				co.c.Assert(co.replace(ctx, 3, 1, 2), qt.Equals, Applied)
				co.c.Assert(co.newest(ctx, 3), qt.Equals, configuration.Version(2))

				co.isolate(1, true)
				short, cancel := context.WithTimeout(ctx, callTimeout)
				co.c.Assert(co.replace(short, 3, 2, 3), qt.Equals, Unknown)
				cancel()
				fault.end(co)
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
		runCore(t, 4, func(ctx context.Context, co *testCore) {
			co.isolate(1-away, true)
			co.c.Assert(co.replace(ctx, 3, 0, 5), qt.Equals, Applied) // by two voters, of whom one loses its disk
			co.isolate(1-away, false)
			for i := range 4 {
				co.stop(i)
			}
			co.disks[node(3)] = nil
			if co.disks[node(2)].records[part] = []byte("corrupt"); part == "" {
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
func TestVoterWithoutRecordIsNotReady(t *testing.T) {
	runCore(t, 3, func(ctx context.Context, co *testCore) {
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
	runCore(t, 1, func(ctx context.Context, co *testCore) {
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
	runCore(t, 3, func(ctx context.Context, co *testCore) {
		h := co.server(0).Handler()
		call := func(method, path, base string, body io.Reader) *httptest.ResponseRecorder {
			r := httptest.NewRequestWithContext(ctx, method, path, body)
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
