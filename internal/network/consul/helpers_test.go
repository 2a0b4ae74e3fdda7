package consul

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"quincegap/internal/balancer"
	"quincegap/internal/modules/endpointsource"
	standin "quincegap/internal/standin/consul"
)

const testTimeout = 30 * time.Second

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// samePath returns a path of the settings unchanged.
func samePath(path string) string { return path }

// testWatcher runs a watcher of simulated agents, and applies its answers to known.
type testWatcher struct {
	t         *testing.T
	events    chan func() // functions that change the fields below, sent by the watcher's goroutine
	known     map[string]endpointsource.Endpoint
	answers   []endpointsource.ConsulAnswer
	unchanged int    // number of calls of OnUnchanged
	stop      func() // stops the watcher and waits until it has ended
}

// startWatcher starts a watcher that returns to its first agent a short time after a failover. configure, unless it is nil, changes its
// settings. The watcher and the agents are stopped at the end of the test.
func startWatcher(t *testing.T, configure func(*Settings), agents ...*standin.Server) *testWatcher {
	t.Helper()
	s := *Table.Default()
	s.Service = "x"
	s.MinInterval = 10 * time.Millisecond
	s.Wait = time.Second
	var addresses []string
	for _, agent := range agents {
		addresses = append(addresses, agent.Address())
	}
	s.Agents = strings.Join(addresses, ", ")
	if configure != nil {
		configure(&s)
	}
	watcher, err := New(s, endpointsource.ModeConsul, samePath)
	if err != nil {
		t.Fatal(err)
	}
	watcher.failbackDelay = 50 * time.Millisecond
	w := &testWatcher{t: t, events: make(chan func(), 1000), known: map[string]endpointsource.Endpoint{}}
	watcher.OnAnswer = func(a endpointsource.ConsulAnswer) { w.events <- func() { w.apply(a) } }
	watcher.OnUnchanged = func() { w.events <- func() { w.unchanged++ } }
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		watcher.Run(ctx)
	}()
	w.stop = func() {
		cancel()
		<-done
	}
	t.Cleanup(func() {
		w.stop()
		for _, agent := range agents {
			agent.Close()
		}
	})
	return w
}

// apply applies the changes of an answer.
func (w *testWatcher) apply(a endpointsource.ConsulAnswer) {
	w.answers = append(w.answers, a)
	for _, e := range a.Changed {
		w.known[e.UID] = e
	}
	for _, uid := range a.Missing {
		delete(w.known, uid)
	}
}

// confirmed returns the sorted UIDs of the instances that are also missing from the catalogue.
func (w *testWatcher) confirmed() (uids []string) {
	for _, a := range w.answers {
		uids = append(uids, a.ConfirmedMissing...)
	}
	slices.Sort(uids)
	return uids
}

// waitFor handles events until a condition holds. It fails the test after testTimeout.
func (w *testWatcher) waitFor(description string, condition func() bool) {
	w.t.Helper()
	timeout := time.NewTimer(testTimeout)
	defer timeout.Stop()
	poll := time.NewTicker(2 * time.Millisecond) // the condition may depend on more than the watcher's events
	defer poll.Stop()
	for !condition() {
		select {
		case event := <-w.events:
			event()
		case <-poll.C:
		case <-timeout.C:
			w.t.Fatalf("waited for %s: not reached; known endpoints: %v", description, slices.Sorted(maps.Keys(w.known)))
		}
	}
}

// awaitReady waits until exactly these instances are ready.
func (w *testWatcher) awaitReady(ids ...string) {
	w.t.Helper()
	w.waitFor(fmt.Sprint("ready endpoints ", ids), func() bool {
		var ready []string
		for uid, e := range w.known {
			if e.State == balancer.EndpointReady {
				ready = append(ready, strings.TrimSuffix(uid, "@n"))
			}
		}
		slices.Sort(ready)
		return slices.Equal(ready, ids)
	})
}

// instances returns instances with these IDs on a single node, n.
func instances(ids ...string) (all []standin.Instance) {
	for i, id := range ids {
		all = append(all, standin.Instance{Node: "n", ID: id, Address: "127.0.0.1", Port: 1000 + i, WarningWeight: 1})
	}
	return all
}

// startAgent starts a simulated agent with instances that have these IDs.
func startAgent(t *testing.T, ids ...string) *standin.Server {
	t.Helper()
	agent, err := standin.Start("", instances(ids...)...)
	if err != nil {
		t.Fatal(err)
	}
	return agent
}

// lockedText is a log that may be read while it is written.
type lockedText struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *lockedText) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *lockedText) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}
