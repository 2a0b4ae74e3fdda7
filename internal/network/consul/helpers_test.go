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

// samePath resolves a path of the settings to itself.
func samePath(path string) string { return path }

// testWatcher is a watcher on stand-ins, with the endpoints that result from its answers.
type testWatcher struct {
	t         *testing.T
	events    chan func() // changes of the fields below, from the watcher's goroutine
	known     map[string]endpointsource.Endpoint
	answers   []endpointsource.ConsulAnswer
	unchanged int    // calls of OnUnchanged
	stop      func() // ends the watcher and waits for it
}

// watch starts a watcher that fails back to its first agent after a short time. The test's end stops it and the agents.
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

// confirmed returns the UIDs that the catalogue lacks too, sorted.
func (w *testWatcher) confirmed() (uids []string) {
	for _, a := range w.answers {
		uids = append(uids, a.ConfirmedMissing...)
	}
	slices.Sort(uids)
	return uids
}

// until handles events until a condition holds; it fails after testTimeout.
func (w *testWatcher) waitFor(description string, condition func() bool) {
	w.t.Helper()
	timeout := time.NewTimer(testTimeout)
	defer timeout.Stop()
	poll := time.NewTicker(2 * time.Millisecond) // the condition may depend on other things than the watcher's events
	defer poll.Stop()
	for !condition() {
		select {
		case event := <-w.events:
			event()
		case <-poll.C:
		case <-timeout.C:
			w.t.Fatalf("never: %s; known are %v", description, slices.Sorted(maps.Keys(w.known)))
		}
	}
}

// knows waits until exactly these instances are ready.
func (w *testWatcher) awaitReady(ids ...string) {
	w.t.Helper()
	w.waitFor(fmt.Sprint(ids), func() bool {
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

// instances returns instances with these IDs on one node, n.
func instances(ids ...string) (all []standin.Instance) {
	for i, id := range ids {
		all = append(all, standin.Instance{Node: "n", ID: id, Address: "127.0.0.1", Port: 1000 + i, WarningWeight: 1})
	}
	return all
}

// serve starts an agent with instances of these IDs.
func startAgent(t *testing.T, ids ...string) *standin.Server {
	t.Helper()
	agent, err := standin.Start("", instances(ids...)...)
	if err != nil {
		t.Fatal(err)
	}
	return agent
}

// lockedText is a log that is read while it grows.
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
