package standalone

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/files/store"
	"quincegap/internal/golden"
	"quincegap/internal/modules/endpointsource"
	"quincegap/internal/modules/idempotency"
	"quincegap/internal/network/exchange"
)

// plainCaller is a caller whose connection adds nothing to answers.
type plainCaller struct{}

func (plainCaller) BeginRequest() (time.Time, bool) { return time.Now(), false }
func (plainCaller) BodyReceived() int               { return 0 }
func (plainCaller) CloseAfter(http.Header)          {}
func (plainCaller) AddHeaders(http.Header)          {}
func (plainCaller) Confirm(context.Context) bool    { return true }
func (plainCaller) Early() bool                     { return false }

// The format of answers stays the same: callers distinguish responses of endpoints, rejections and failures by status and headers.
func TestAnswersKeepTheirForm(t *testing.T) {
	s := &server{}
	var text strings.Builder
	for _, test := range []struct {
		name   string
		answer answer
	}{
		{"served", answer{response: &exchange.Response{Header: http.Header{"X-Pressure": {"inflight=3"}}, Body: []byte("seat 7")}}},
		{"refused", answer{rejected: true}},
		{"refused for a while", answer{rejected: true, retryAfter: 1500 * time.Millisecond}},
		{"failed", answer{}},
	} {
		w := httptest.NewRecorder()
		s.writeAnswer(w, plainCaller{}, test.answer)
		fmt.Fprintf(&text, "%s: %d\n", test.name, w.Code)
		for _, name := range slices.Sorted(maps.Keys(w.Header())) {
			fmt.Fprintf(&text, "  %s: %s\n", name, strings.Join(w.Header()[name], " | "))
		}
		fmt.Fprintf(&text, "  %q\n", w.Body)
	}
	golden.Text(t, "answers.txt", []byte(text.String()))
}

// An invalid request is answered with a status and a text for its first fault. Faults are checked in a fixed order.
func TestFaultsOfRequestsKeepTheirForm(t *testing.T) {
	l := loopWithEndpoints(t, 1)
	l.config.Settings.Classes = []balancer.Class{
		{Name: "read", Idempotency: balancer.Idempotent},
		{Name: "book", Idempotency: balancer.IdempotentWithKey},
	}
	l.config.Settings.Tenants = []balancer.Tenant{{Name: "org"}}
	server := &server{loop: l, config: l.config, classes: map[string]int{"read": 0, "book": 1}, tenants: map[string]int{"org": 0}}
	headers := map[string]string{"X-Txn": "a", "X-Lane": "book", "X-Org": "org", "X-Remaining": "900m", "Idempotency-Key": "k"}
	tuning := *l.config.tuning
	tuning.callers.RejectEarlyData = true
	server.tuning.Store(&tuning)
	var text strings.Builder
	for _, test := range []struct {
		name   string
		change func(r *http.Request)
	}{
		{"chunked", func(r *http.Request) { r.TransferEncoding = []string{"chunked"} }},
		{"no length", func(r *http.Request) { r.ContentLength = -1 }},
		{"large", func(r *http.Request) { r.ContentLength = exchange.MaxBody + 1 }},
		{"other host", func(r *http.Request) { r.RequestURI = "http://other/" }},
		{"repeated", func(r *http.Request) { r.Header.Add("X-Txn", "other") }},
		{"no id", func(r *http.Request) { r.Header.Del("X-Txn") }},
		{"class", func(r *http.Request) { r.Header.Set("X-Lane", "freight") }},
		{"time", func(r *http.Request) { r.Header.Set("X-Remaining", "7") }},
		{"tenant", func(r *http.Request) { r.Header.Set("X-Org", "other") }},
		{"key", func(r *http.Request) { r.Header.Del("Idempotency-Key") }},
		{"method", func(r *http.Request) { r.Method = http.MethodPut }},
		{"early", func(r *http.Request) { r.Header.Set("Early-Data", "1") }},
		{"none", func(*http.Request) {}},
	} {
		r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/api", strings.NewReader("trip"))
		for name, value := range headers {
			r.Header.Set(name, value)
		}
		test.change(r)
		_, status, fault := server.parse(r)
		fmt.Fprintf(&text, "%s: %d %s\n", test.name, status, fault)
	}
	golden.Text(t, "faults.txt", []byte(text.String()))
}

// captureLog returns what the standard logger writes during a call of f, without times.
func captureLog(t *testing.T, f func()) string {
	t.Helper()
	var text strings.Builder
	flags, out := log.Flags(), log.Writer()
	defer func() {
		log.SetFlags(flags)
		log.SetOutput(out)
	}()
	log.SetFlags(0)
	log.SetOutput(&text)
	f()
	return text.String()
}

// The keys of records on disk and the log lines stay the same: later versions look the records up, and operators match the lines.
func TestMemoryKeepsItsForm(t *testing.T) {
	records, err := store.Open(store.Dir(t.TempDir()), store.Options{})
	if err != nil {
		t.Fatal(err)
	}
	mem := &memory{
		settings: Memory{ListRetention: time.Hour, WriteTimeout: time.Second},
		table:    idempotency.NewTable(10), store: records, servesUnrecorded: []bool{false},
		classes: []balancer.Class{{Name: "pay", Idempotency: balancer.NonIdempotent, Deadline: time.Minute}},
		zones:   nameIndex{}, savedUIDs: map[string]bool{}, diskTriedAt: time.Hour,
	}
	defer mem.close()
	mem.saveGroup([]string{"front-0", "front-1"}, []string{"10.0.4.7:7946"})
	all := map[balancer.EndpointID]*exchange.Endpoint{1: {ID: 1, UID: "s-1"}}
	listed := []endpointsource.Endpoint{{UID: "s-1", Address: "10.0.0.1:80", Zone: "z"}}
	mem.saveList(0, endpointsource.List{Kind: balancer.ListFull, Endpoints: listed}, all)
	r := &request{Request: balancer.Request{ID: "txn1"}, Inbound: exchange.Inbound{Header: http.Header{}}}
	if g := mem.beginAttempt(0, r, all[1]); g == nil || !g.pass(t.Context()) {
		t.Fatal("the attempt has no gate or was not let through: the request was not recorded")
	}
	var lines []string
	if err := records.Range(func(key, value []byte, _ time.Duration) bool {
		line := fmt.Sprintf("%q", key)
		if key[0] == groupKey {
			line += " " + string(value)
		}
		lines = append(lines, line)
		return true
	}); err != nil {
		t.Fatal(err)
	}
	slices.Sort(lines)
	lines = append(lines, captureLog(t, func() {
		mem.reportWrite(errors.New("no space left"))
		mem.reportWrite(errors.New("no space left"))
		mem.reportWrite(nil)
		mem.reportWrite(errDiskSlow)
		mem.reportWrite(store.ErrClosed)
	}))
	golden.Text(t, "memory.txt", []byte(strings.Join(lines, "\n")))
}

// The JSON keys of discovery's lists, the names of states, the URL of discovery and the Alt-Svc header stay the same.
func TestListKeepsItsForm(t *testing.T) {
	list := endpointList{Rev: 7, All: true, Targets: []listedEndpoint{{
		UID: "s-00000001", Address: "10.0.0.1:80", Zone: "z", Model: "m", Cell: 2, State: "Ready", Weight: 1.5, BootMS: 1700000000000,
	}}}
	text, err := json.Marshal(list)
	if err != nil {
		t.Fatal(err)
	}
	golden.Text(t, "list.json", text)
	var back endpointList
	if err := json.Unmarshal(text, &back); err != nil || !reflect.DeepEqual(back, list) {
		t.Errorf("decoded list: got %+v, error %v; want %+v", back, err, list)
	}
	var forms strings.Builder
	for _, state := range slices.Sorted(maps.Keys(endpointStates)) {
		fmt.Fprintf(&forms, "%s %d\n", state, endpointStates[state])
	}
	discoveryClient := newWatcher("127.0.0.1:9", "", loopWithEndpoints(t, 1))
	fmt.Fprintf(&forms, "%s\n", discoveryClient.url)
	fmt.Fprintf(&forms, "%s\n", altSvcHeader(&net.UDPAddr{Port: 8443}, time.Hour))
	golden.Text(t, "list-forms.txt", []byte(forms.String()))
}
