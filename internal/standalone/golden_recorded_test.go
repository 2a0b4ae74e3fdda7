package standalone

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"reflect"
	"sort"
	"strconv"
	"strings"
	"testing"
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/config/settings"
	"quincegap/internal/files/store"
	"quincegap/internal/golden"
	"quincegap/internal/modules/endpointsource"
	"quincegap/internal/network/exchange"
)

// readGolden returns the content of a golden file.
func readGolden(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", "golden", name))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// The saved list of endpoints has the recorded keys and values, because a sidecar of another version may start with it.
func TestGoldenRecordedKeptList(t *testing.T) {
	endpoints := []endpointsource.Endpoint{
		{
			UID: "slot-keeper-1", Address: "10.0.0.1:8080", Zone: "zone-a", Model: "m5", Cell: 3,
			State: balancer.EndpointReady, Weight: 1.5, StartedMS: 1_800_000_000_123,
			Maintenance: true, WeightShare: 0.5, RegistrationIndex: 77, StartUnknown: true, Reason: "warning",
		},
		{UID: "slot-keeper-2", Address: "10.0.0.2:8080", State: balancer.EndpointDraining, Weight: 1},
		{UID: "slot-keeper-3", Address: "10.0.0.3:8080", State: endpointsource.StateUnknown, Reason: "Odd"},
	}
	open := func() *memory {
		s, err := store.Open(store.Dir(t.TempDir()), store.Options{})
		if err != nil {
			t.Fatal(err)
		}
		mem := &memory{settings: Memory{ListRetention: time.Hour}, store: s, zones: nameIndex{}, savedUIDs: map[string]bool{}}
		t.Cleanup(mem.close)
		return mem
	}

	mem := open()
	list := endpointsource.List{Kind: balancer.ListFull, Version: 4, Endpoints: endpoints}
	mem.saveList(0, list, map[balancer.EndpointID]*exchange.Endpoint{})
	// Put waits, and writes become durable in order, so the list is on disk after it.
	if err := mem.store.Put([]byte{'?'}, nil, time.Second); err != nil {
		t.Fatal(err)
	}
	var lines []string
	if err := mem.store.Range(func(key, value []byte, left time.Duration) bool {
		if key[0] != '?' {
			lines = append(lines, fmt.Sprintf("%s %v %s\n", key, left > 0, value))
		}
		return true
	}); err != nil {
		t.Fatal(err)
	}
	sort.Strings(lines)
	golden.Text(t, "recorded/kept-list.txt", []byte(strings.Join(lines, "")))

	mem = open()
	for line := range strings.Lines(string(readGolden(t, "recorded/kept-list.txt"))) {
		parts := strings.SplitN(strings.TrimSuffix(line, "\n"), " ", 3)
		keep := time.Duration(0)
		if parts[1] == "true" {
			keep = time.Hour
		}
		if err := mem.store.Put([]byte(parts[0]), []byte(parts[2]), keep); err != nil {
			t.Fatal(err)
		}
	}
	if got, _, ok := mem.savedList(); !ok || !reflect.DeepEqual(got, endpointsource.List{Kind: balancer.ListCached, Endpoints: endpoints}) {
		t.Errorf("saved list: got %+v, found %v; want endpoints %+v", got, ok, endpoints)
	}
	if requestKeyPrefix != 'r' || endpointKeyPrefix != 'e' || listKey != 'l' {
		t.Errorf("keys of records begin with %c, %c, %c; want r, e, l", requestKeyPrefix, endpointKeyPrefix, listKey)
	}
}

// The list that discovery sends, which a platform's configuration also has under the key known, is decoded to the recorded values.
func TestGoldenRecordedDiscoveryList(t *testing.T) {
	want := endpointList{Rev: 41, All: true, Targets: []listedEndpoint{
		{UID: "s-1", Address: "10.0.0.1:8080", Zone: "zone-a", Model: "m5", Cell: 3, State: "Ready", Weight: 1.5, BootMS: 1_800_000_000_123},
		{UID: "s-2", Address: "10.0.0.2:8080", State: "Terminating", Weight: 1},
		{UID: "s-3", Address: "10.0.0.3:8080", State: "Gone"},
		{UID: "s-4", Address: "10.0.0.4:8080", State: "Odd"},
	}}
	text, err := json.MarshalIndent(want, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	golden.Text(t, "recorded/discovery-list.json", text)
	var got endpointList
	if err := json.Unmarshal(readGolden(t, "recorded/discovery-list.json"), &got); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("decoded list: got %+v, error %v; want %+v", got, err, want)
	}
	endpoints := []endpointsource.Endpoint{
		{
			UID: "s-1", Address: "10.0.0.1:8080", Zone: "zone-a", Model: "m5", Cell: 3,
			State: balancer.EndpointReady, Weight: 1.5, StartedMS: 1_800_000_000_123,
		},
		{UID: "s-2", Address: "10.0.0.2:8080", State: balancer.EndpointDraining, Weight: 1},
		{UID: "s-3", Address: "10.0.0.3:8080", State: balancer.EndpointRemoved},
		{UID: "s-4", Address: "10.0.0.4:8080", State: endpointsource.StateUnknown, Reason: "Odd"},
	}
	wantList := endpointsource.List{Kind: balancer.ListFull, Version: 41, Endpoints: endpoints}
	if list := got.sourceList(endpointsource.FromWatch); !reflect.DeepEqual(list, wantList) {
		t.Errorf("converted list: got %+v, want %+v", list, wantList)
	}
}

// A platform's configuration with all keys is parsed to the recorded values. Environment variables override some of them.
func TestGoldenRecordedPlatformConfiguration(t *testing.T) {
	env := map[string]string{"BALANCER_NAME": "n7", "BALANCER_LISTEN": "127.0.0.1:81", "BALANCER_DISCOVERY": "127.0.0.1:82"}
	got, err := parsePlatform(readGolden(t, "recorded/platform.json"), func(name string) string { return env[name] }, true)
	if err != nil {
		t.Fatal(err)
	}
	ms, sec := time.Millisecond, time.Second
	want := &Config{
		Name: "n7", Listen: "127.0.0.1:81", Discovery: "127.0.0.1:82", Seed: 0x8c1f30d27a5be964,
		Limits: Limits{Cores: 1.5, MemoryMB: 192, Sockets: 1024},
		Known: endpointList{Rev: 41, All: true, Targets: []listedEndpoint{
			{UID: "s-1", Address: "10.0.0.1:8080", Zone: "z1", Model: "m1", Cell: 3, State: "Ready", Weight: 1.5, BootMS: 123},
		}},
		Settings: settings.Settings{
			Zones: []string{"z1", "z2"}, Models: []string{"m1"}, ConnIdle: 30 * sec, GraceToAnswer: 20 * ms, OpenCap: 1000,
			Settings: balancer.Settings{
				Instances: 3, Ordinal: 1, Tier: 1, Tiers: 2, Quantum: 5 * ms, OverQuotaValueShare: 0.1, ValuePerWorkUnit: true,
				TotalValueWeight: 0.9, WorstClassWeight: 0.1,
				MayCancel: true, MayHealthCheck: true, MayMessagePeers: true, HedgedRequests: true, MaxAttempts: 5,
				MaxRetryAfter: 2 * sec, ConnectTimeout: 100 * ms, MustSubscribe: true, ResubscribeInterval: 10 * sec, ClientsMarkRetries: true,
				SlowStartMinShare: 0.3, SlowStartWindow: sec, OverloadMultiple: 3, OverloadDuration: 250 * ms,
				Classes: []balancer.Class{
					{
						Name: "read", LatencyTarget: sec, Deadline: 2 * sec, Value: 1, LateValueShare: 0.5,
						Idempotency: balancer.Idempotent, KeyScope: balancer.KeyScopeAll, Streaming: true,
					},
					{
						Name: "book", LatencyTarget: sec, Deadline: 2 * sec, Value: 3,
						Idempotency: balancer.IdempotentWithKey, KeyScope: balancer.KeyScopeCell, KeyWindow: 10 * sec,
					},
					{Name: "pay", LatencyTarget: sec, Deadline: 2 * sec, Value: 2, Idempotency: balancer.NonIdempotent, KeyScope: balancer.KeyScopeZone},
				},
				Tenants: []balancer.Tenant{{Name: "t0", QuotaPerSecond: 100}},
			},
		},
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got\n%+v\nwant\n%+v", got, want)
	}
	if err := CheckPlatform(readGolden(t, "recorded/platform.json")); err != nil {
		t.Errorf("CheckPlatform: %v", err)
	}
}

// recordAnswer sends a request on a new connection and writes the answer, without the date, under a name. After an incomplete request it
// closes its side of the connection; after a complete one that would mean that the caller has disconnected.
func (s *testSidecar) recordAnswer(all *bytes.Buffer, what, request string, cutShort bool) {
	s.t.Helper()
	conn := s.dial()
	if _, err := io.WriteString(conn, request); err != nil {
		s.t.Fatal(err)
	}
	if cutShort {
		if err := conn.CloseWrite(); err != nil {
			s.t.Fatal(err)
		}
	}
	fmt.Fprintf(all, "--- %s\n", what)
	body := make([]byte, s.recordHeaders(all, what, conn.reader))
	if _, err := io.ReadFull(conn.reader, body); err != nil {
		s.t.Fatalf("%s: read body: %v", what, err)
	}
	all.Write(body)
	if !bytes.HasSuffix(all.Bytes(), []byte("\n")) {
		all.WriteByte('\n')
	}
}

// recordHeaders writes the status and the headers of an answer, without the date, and returns the length of its body.
func (s *testSidecar) recordHeaders(all *bytes.Buffer, what string, reader *bufio.Reader) (length int) {
	s.t.Helper()
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			s.t.Fatalf("%s: read headers: %v", what, err)
		}
		line = strings.TrimRight(line, "\r\n")
		if text, ok := strings.CutPrefix(line, "Content-Length: "); ok {
			if length, err = strconv.Atoi(text); err != nil {
				s.t.Fatalf("%s: parse Content-Length: %v", what, err)
			}
		}
		if !strings.HasPrefix(line, "Date: ") {
			all.WriteString(line + "\n")
		}
		if line == "" {
			return length
		}
	}
}

// recordedHead has the headers of a valid request.
const recordedHead = "Host: h\r\nX-Txn: txn1\r\nX-Lane: book\r\nX-Remaining: 900m\r\nIdempotency-Key: k\r\n"

// headWithout returns recordedHead without one of its headers.
func headWithout(name string) string {
	var kept strings.Builder
	for line := range strings.Lines(recordedHead) {
		if !strings.HasPrefix(line, name+":") {
			kept.WriteString(line)
		}
	}
	return kept.String()
}

// The answers to readiness requests, invalid requests and failed requests are byte for byte as recorded, except for the date.
func TestGoldenRecordedAnswers(t *testing.T) {
	sidecar := startSidecar(t, 1024, startEndpoint(t, "s-1", func(w http.ResponseWriter, r *http.Request) {
		drainBody(r.Body)
		w.WriteHeader(http.StatusInternalServerError)
	}))
	post := func(headers string) string { return "POST /api HTTP/1.1\r\n" + headers + "Content-Length: 0\r\n\r\n" }
	var all bytes.Buffer
	ask := func(what, request string) {
		t.Helper()
		sidecar.recordAnswer(&all, what, request, what == "cut short")
	}
	const head = recordedHead
	ask("ready", "GET /ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	ask("chunked", "POST /api HTTP/1.1\r\n"+head+"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
	ask("too large", "POST /api HTTP/1.1\r\n"+head+"Content-Length: 65537\r\n\r\n")
	ask("cut short", "POST /api HTTP/1.1\r\n"+head+"Content-Length: 10\r\n\r\n123")
	ask("of another host", strings.Replace(post(head), "/api", "http://other/api", 1))
	ask("repeated", post(head+"X-Lane: read\r\n"))
	ask("no id", post(headWithout("X-Txn")))
	ask("no class", post(headWithout("X-Lane")))
	ask("no time", post(headWithout("X-Remaining")))
	ask("no key", post(headWithout("Idempotency-Key")))
	ask("another method", strings.Replace(post(head), "POST", "PUT", 1))
	ask("GET of a class that is not safe", strings.Replace(post(head), "POST", "GET", 1))
	ask("no HTTP", "hello\r\n\r\n")
	ask("no time left", post(headWithout("X-Remaining")+"X-Remaining: 0m\r\n"+"Connection: close\r\n"))
	ask("the endpoint failed", post(head))
	sidecar.server.loop.ready.Store(false)
	ask("not ready", "GET /ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	sidecar.server.loop.ready.Store(true)
	golden.Text(t, "recorded/answers.txt", all.Bytes())
}
