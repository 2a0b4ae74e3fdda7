package standalone

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/modules/endpointsource"
	"quincegap/internal/network/exchange"
)

// readyEndpoint returns an endpoint that is listed as ready.
func readyEndpoint(uid string) listedEndpoint {
	return listedEndpoint{UID: uid, Address: "127.0.0.1:9", Zone: "z", Model: "m", State: "Ready", Weight: 1}
}

// The number of an endpoint is the same at every sidecar, regardless of the order in which lists name the endpoints, and unique.
func TestEndpointIDs(t *testing.T) {
	table, other := newEndpointTable(nil, nil, time.Now()), newEndpointTable(nil, nil, time.Now())
	put := func(t *endpointTable, uid string) balancer.EndpointID {
		id := t.endpointID(uid)
		t.insert(&exchange.Endpoint{ID: id, UID: uid})
		return id
	}
	if table.endpointID("s-00000001") != 1 || table.endpointID("s-5be2a07c") != 0x5be2a07c {
		t.Error("endpointID does not use the hexadecimal number in the uid")
	}
	other.endpointID("s-5be2a07c")
	if other.endpointID("s-00000001") != table.endpointID("s-00000001") || table.endpointID("host.west") != other.endpointID("host.west") {
		t.Error("the numbers of endpoints depend on the order in which they are listed")
	}
	if x, y := put(table, "s-1"), put(table, "t-1"); x == y || x != table.endpointID("s-1") || y != table.endpointID("t-1") {
		t.Errorf("s-1 and t-1 got the numbers %d and %d, want different ones that do not change", x, y)
	}
}

// Start times are converted to the event clock, with the same result each time, because a later one means a restart.
func TestStartTimesOnEventClock(t *testing.T) {
	now := time.Now()
	table := newEndpointTable(nil, nil, now.Add(-clockStart))
	boot := now.Add(-3 * time.Second).UnixMilli()
	if got := table.startTime(boot); got < clockStart-4*time.Second || got > clockStart-2*time.Second || got != table.startTime(boot) {
		t.Errorf("start 3 s ago: got %v on a clock at %v, want 2 to 4 s earlier and the same on each call", got, clockStart)
	}
	if table.startTime(0) != 0 || table.startTime(1) != 0 {
		t.Errorf("unknown start and start in 1970: got %v and %v, want 0", table.startTime(0), table.startTime(1))
	}
}

// An endpoint that is listed with another address or start time replaces the previous one.
func TestChangedAddressOrBootTakesEffect(t *testing.T) {
	table := newEndpointTable([]string{"y", "z"}, []string{"m"}, time.Now().Add(-clockStart))
	listed := readyEndpoint("s-1")
	entries, _ := table.apply(endpointList{
		All: true, Targets: []listedEndpoint{listed, readyEndpoint("s-2")},
	}.sourceList(endpointsource.FromWatch))
	if len(entries) != 2 || entries[0].Zone != 1 || entries[0].MachineKind != 0 {
		t.Fatalf("got entries %+v, want 2, of which the first has zone 1 and machine kind 0", entries)
	}
	first := table.byID[1]
	for _, change := range []func(){
		func() { listed.Address = "127.0.0.1:10" },
		func() { listed.BootMS = time.Now().UnixMilli() },
	} {
		change()
		old := table.byID[1]
		entries, retired := table.apply(endpointList{Targets: []listedEndpoint{listed}}.sourceList(endpointsource.FromWatch))
		if len(retired) != 1 || retired[0] != old || old.Open.Load() || !table.byID[1].Open.Load() || table.byID[1].Address != listed.Address {
			t.Errorf("after a change: endpoint %+v, retired %+v; want the new address open, and the old endpoint closed and retired",
				table.byID[1], retired)
		}
		if listed.BootMS > 0 && entries[0].StartedAt == 0 {
			t.Error("the entry has no start time after the endpoint restarted")
		}
	}
	if first.Open.Load() || !table.byID[2].Open.Load() {
		t.Error("a delta closed an endpoint that it does not name, or left the old address open")
	}
	table.apply(endpointList{All: true, Targets: []listedEndpoint{listed}}.sourceList(endpointsource.FromWatch))
	if table.byID[2] != nil || len(table.ids) != 1 {
		t.Error("an endpoint that is missing in a complete list is still in the table")
	}
}

// A list that is not newer than the Balancer's current one is discarded.
func TestOlderListsAreDropped(t *testing.T) {
	sidecar := startSidecar(t, 1024, readyEndpoint("s-1"), readyEndpoint("s-2"))
	l := sidecar.server.loop
	draining := readyEndpoint("s-1")
	draining.State = "Terminating"
	sidecar.onLoop(func() {
		l.handleList(endpointList{Rev: 5, Targets: []listedEndpoint{draining}}, endpointsource.FromWatch)
		l.handleList(endpointList{Rev: 4, All: true, Targets: []listedEndpoint{readyEndpoint("s-1")}}, endpointsource.FromFetch)
		l.handleList(endpointList{Rev: 5, Targets: []listedEndpoint{readyEndpoint("s-1")}}, endpointsource.FromWatch)
		if l.endpoints.byID[1].Open.Load() || !l.endpoints.byID[2].Open.Load() || l.versionFilter.Version != 5 {
			t.Error("a list that is not newer reopened a draining endpoint or removed another")
		}
		l.handleList(endpointList{Rev: 6, All: true, Targets: []listedEndpoint{readyEndpoint("s-1")}}, endpointsource.FromFetch)
		if !l.endpoints.byID[1].Open.Load() || l.endpoints.byID[2] != nil {
			t.Error("a newer complete list was not applied")
		}
	})
}

// A watch that ends is resumed at the version that it reached; after a line that cannot be parsed, the complete list is requested.
func TestWatchReconnects(t *testing.T) {
	queries := make(chan string, 8)
	replies := make(chan string, 8)
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		queries <- r.URL.RawQuery
		select {
		case reply := <-replies:
			write(w, reply)
		case <-r.Context().Done():
		}
	}))
	defer discovery.Close()
	config := &Config{
		Discovery: discovery.Listener.Addr().String(), Limits: Limits{Sockets: 1024}, Seed: 1, tuning: tuningOf(nil),
		Known: endpointList{Rev: 41, All: true, Targets: []listedEndpoint{readyEndpoint("s-1")}},
	}
	config.Settings.ConnectTimeout = eventTimeout
	config.Settings.Instances = 1
	config.Settings.Classes = []balancer.Class{{Name: "a", Idempotency: balancer.Idempotent}}
	l, err := newLoop(config)
	if err != nil {
		t.Fatal(err)
	}
	go l.run()
	defer l.post(func() { l.watcher.stop() })
	line := func(rev uint64) string {
		text, _ := json.Marshal(endpointList{Rev: rev, Targets: []listedEndpoint{readyEndpoint("s-1")}})
		return "\n" + string(text) + "\n\n"
	}
	for _, step := range []struct{ since, reply string }{
		{"41", line(43)}, {"43", line(44) + line(45)}, {"45", "{broken\n"}, {"", ""},
	} {
		select {
		case query := <-queries:
			want := "follow=1"
			if step.since != "" {
				want += "&since=" + step.since
			}
			if query != want {
				t.Errorf("request to discovery: got query %q, want %q", query, want)
			}
		case <-time.After(eventTimeout):
			t.Fatalf("the watch was not resumed within %v", eventTimeout)
		}
		replies <- step.reply
	}
}

// A watch that stays open without a line is replaced before the time after which discovery assumes that the sidecar knows a change.
func TestUnresponsiveWatchIsReplaced(t *testing.T) {
	const countsAsKnown = 6 * time.Second
	requested := make(chan time.Time, 8)
	unresponsive := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requested <- time.Now()
		flush(w)
		<-r.Context().Done()
	}))
	defer unresponsive.Close()
	defer unresponsive.CloseClientConnections()
	sidecar := startSidecar(t, 1024, readyEndpoint("s-1"))
	sidecar.onLoop(func() { sidecar.server.loop.switchDiscovery(unresponsive.Listener.Addr().String(), "") })
	for range 2 { // the watch, and the fetch of the complete list
		<-requested
	}
	began := time.Now()
	select {
	case <-requested: // the second fetch or the second watch
	case <-time.After(eventTimeout):
	}
	if took := time.Since(began); took > countsAsKnown-500*time.Millisecond {
		t.Errorf("the unresponsive watch was replaced after %v, want at most 5.5 s", took)
	}
}

// startDiscovery starts a discovery server whose complete list has one endpoint, at version 0, and never changes. The query of each
// request is sent on the channel.
func startDiscovery(t *testing.T, endpoint listedEndpoint) (address string, queries chan string) {
	t.Helper()
	queries = make(chan string, 8)
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		queries <- r.URL.RawQuery
		if r.URL.Query().Get("since") == "" {
			list := endpointList{Rev: 0, All: true, Targets: []listedEndpoint{endpoint}}
			if err := json.NewEncoder(w).Encode(list); err != nil {
				t.Error(err)
			}
		}
		if r.URL.Query().Get("follow") == "1" {
			flush(w)
			<-r.Context().Done()
		}
	}))
	t.Cleanup(func() {
		discovery.CloseClientConnections()
		discovery.Close()
	})
	return discovery.Listener.Addr().String(), queries
}

// reloadDiscovery reloads a broken file and checks that this has no effect. Then it reloads a file that names another discovery server,
// and returns the watcher of the previous one.
func (s *testSidecar) reloadDiscovery(address string) (old *watcher) {
	s.t.Helper()
	loop := s.server.loop
	good, err := os.ReadFile(s.file)
	if err != nil {
		s.t.Fatal(err)
	}
	s.onLoop(func() {
		loop.versionFilter.Version = 7
		old = loop.watcher
	})
	s.writeConfig(string(good[:len(good)/2]))
	s.reloads <- syscall.SIGHUP
	s.onLoop(func() {
		if loop.watcher != old || loop.versionFilter.Switched() {
			s.t.Error("the reload of a broken file replaced the watcher or switched discovery")
		}
	})
	was := s.server.config.getenv("BALANCER_DISCOVERY") // the file has the same address
	s.writeConfig(strings.Replace(string(good), was, address, 1))
	s.reloads <- syscall.SIGHUP
	s.waitUntil("the new list is applied", func() (done bool) {
		s.onLoop(func() {
			done = loop.versionFilter.Version == 0 && !loop.versionFilter.Switched() && loop.watcher != old
		})
		return done
	})
	return old
}

// On SIGHUP the sidecar switches to the discovery server that the file names and requests its complete list, regardless of versions. Late
// lists of the previous server are ignored, and requests in flight continue. A file with faults changes nothing.
func TestReloadFollowsAnotherDiscovery(t *testing.T) {
	arrived, release := make(chan bool, 1), make(chan bool)
	first := startEndpoint(t, "s-1", func(w http.ResponseWriter, _ *http.Request) {
		arrived <- true
		<-release
		write(w, "a")
	})
	second := startEndpoint(t, "s-2", func(w http.ResponseWriter, _ *http.Request) { write(w, "b") })
	sidecar := startSidecar(t, 1024, first)
	loop := sidecar.server.loop
	answered := make(chan string)
	go func() {
		_, body := sidecar.call(sidecar.request("once", 9*time.Second))
		answered <- body
	}()
	<-arrived

	other, queries := startDiscovery(t, second)
	old := sidecar.reloadDiscovery(other)
	for range 2 {
		if query := <-queries; strings.Contains(query, "since=7") {
			t.Errorf("the new discovery was asked for changes to the list of the previous one: %q", query)
		}
	}
	sidecar.onLoop(func() {
		old.fetch() // a late answer of the previous discovery server
		if loop.endpoints.byID[1] != nil && loop.endpoints.byID[1].Open.Load() {
			t.Error("an endpoint that is missing in the new list is open")
		}
	})
	sidecar.announce(endpointList{Rev: 9, All: true, Targets: []listedEndpoint{first}})
	if _, body := sidecar.call(sidecar.request("once", 9*time.Second)); body != "b" {
		t.Errorf("got body %q, want \"b\" from the endpoint in the new list", body)
	}
	close(release)
	if got := <-answered; got != "a" {
		t.Errorf("request in flight during the reload: got body %q, want \"a\"", got)
	}
	sidecar.onLoop(func() {
		if loop.versionFilter.Version != 0 {
			t.Errorf("a list of the previous discovery was applied: version %d, want 0", loop.versionFilter.Version)
		}
	})
}
