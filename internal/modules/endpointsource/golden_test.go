package endpointsource

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/golden"
)

// Endpoints are on disk as JSON, as the last known list: other versions have to read them.
func TestGoldenEndpoint(t *testing.T) {
	endpoint := Endpoint{
		UID: "box-1", Address: "10.0.0.7:443", Zone: "north", Model: "large", Cell: 3, State: balancer.EndpointDraining, Weight: 2.5,
		StartedMS: 1750000000123, Maintenance: true, WeightShare: 0.25, RegistrationIndex: 77, StartUnknown: true, Reason: "check is critical",
	}
	text, err := json.Marshal(endpoint)
	if err != nil {
		t.Fatal(err)
	}
	golden.Text(t, "endpoint.json", append(text, '\n'))
	var got Endpoint
	if err := json.Unmarshal(text, &got); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, endpoint) {
		t.Errorf("got %+v, want %+v", got, endpoint)
	}
}

// The admin pages have rows as JSON.
func TestGoldenRow(t *testing.T) {
	row := Row{
		UID: "box-1", Address: "10.0.0.7:443", State: "ready", Weight: 2.5, Platform: "ready", Consul: "draining", Why: "it says so",
		AgoMS: 1234,
	}
	text, err := json.Marshal(row)
	if err != nil {
		t.Fatal(err)
	}
	golden.Text(t, "row.json", append(text, '\n'))
}

// goldenEndpoints is the number of endpoints in a seeded run.
const goldenEndpoints = 7

// seededRun sends random events of all sources to a Merger, and records what it returns.
type seededRun struct {
	rng    *rand.Rand
	m      *Merger
	now    time.Duration
	known  map[string]bool // the uids that Consul has
	output bytes.Buffer
	lists  int
}

// record records the log lines, and a list that the Merger has returned.
func (r *seededRun) record(l List, changed bool) {
	for _, line := range r.m.TakeLogs() {
		fmt.Fprintln(&r.output, "log", line)
	}
	if !changed {
		return
	}
	r.lists++
	fmt.Fprintln(&r.output, "list", int64(r.now), int(l.Kind), l.Version)
	for _, e := range l.Endpoints {
		fmt.Fprintln(&r.output, e.UID, e.Address, e.Zone, e.Model, e.Cell, int(e.State), e.Weight, e.StartedMS, e.Reason)
	}
}

// endpoint draws an entry of a source.
func (r *seededRun) endpoint() Endpoint {
	uid := fmt.Sprint("box-", r.rng.IntN(goldenEndpoints))
	endpoint := Endpoint{
		UID:               uid,
		Address:           uid + ":1",
		Zone:              fmt.Sprint("zone", r.rng.IntN(3)),
		Model:             "m",
		Cell:              r.rng.IntN(4),
		Weight:            float64(r.rng.IntN(3)),
		WeightShare:       []float64{1, 1, 0.5}[r.rng.IntN(3)],
		StartUnknown:      r.rng.IntN(2) == 0,
		StartedMS:         int64(r.rng.IntN(3)),
		RegistrationIndex: uint64(r.rng.IntN(4)),
	}
	switch r.rng.IntN(7) {
	case 0, 1:
		endpoint.State, endpoint.Reason = balancer.EndpointDraining, "critical"
	case 2:
		endpoint.State, endpoint.Reason, endpoint.Maintenance = balancer.EndpointDraining, "maintenance", true
	case 3:
		if r.rng.IntN(4) == 0 {
			endpoint.Address, endpoint.Reason = "nowhere", "no port"
		}
	case 4:
		if r.rng.IntN(4) == 0 {
			endpoint.State = StateUnknown
		}
	}
	if r.rng.IntN(6) == 0 {
		endpoint.Address = fmt.Sprint("box-", r.rng.IntN(goldenEndpoints), ":1")
	}
	return endpoint
}

// platform sends a list of the platform.
func (r *seededRun) platform() {
	kinds := []balancer.ListKind{balancer.ListDelta, balancer.ListFull, balancer.ListCached}
	list := List{Kind: kinds[r.rng.IntN(3)], Version: uint64(r.rng.IntN(50))}
	for range r.rng.IntN(8) {
		e := r.endpoint()
		if r.rng.IntN(4) == 0 && list.Kind == balancer.ListDelta {
			e.State = balancer.EndpointRemoved
		}
		list.Endpoints = append(list.Endpoints, e)
	}
	// The chunks of what a full list lacks are in the order of a map, so only deltas are divided.
	if list.Kind == balancer.ListDelta && r.rng.IntN(2) == 0 {
		for _, part := range r.m.Chunks(PrepareList(list, 2), 2) {
			r.record(r.m.HandlePlatformList(r.now, part()))
		}
		return
	}
	r.record(r.m.HandlePlatformList(r.now, list))
}

// consul sends an answer of Consul.
func (r *seededRun) consul() {
	answer := ConsulAnswer{KnownBefore: len(r.known), Untrusted: r.rng.IntN(6) == 0, UnixMS: 1000 + r.now.Milliseconds()}
	changed := map[string]bool{}
	for range r.rng.IntN(5) {
		e := r.endpoint()
		if !changed[e.UID] {
			changed[e.UID] = true
			answer.Changed = append(answer.Changed, e)
		}
	}
	for i := range goldenEndpoints {
		uid := fmt.Sprint("box-", i)
		if r.known[uid] && !changed[uid] && r.rng.IntN(5) == 0 {
			answer.Missing = append(answer.Missing, uid)
			delete(r.known, uid)
		}
	}
	for uid := range changed {
		r.known[uid] = true
	}
	r.record(r.m.HandleConsulAnswer(r.now, answer))
}

// step sends one event.
func (r *seededRun) step() {
	r.now += time.Duration(r.rng.IntN(800)) * time.Millisecond
	if r.rng.IntN(100) == 0 {
		r.now += 70 * time.Second // without any event
	}
	switch r.rng.IntN(14) {
	case 0, 1:
		r.platform()
	case 2, 3, 4, 5, 6, 12, 13:
		r.consul()
	case 7:
		r.record(r.m.HandleConsulUnchanged(r.now))
	case 8:
		r.record(r.m.HandleConnectFailure(r.now, fmt.Sprint("box-", r.rng.IntN(goldenEndpoints))))
	case 9:
		gone := []string{fmt.Sprint("box-", r.rng.IntN(goldenEndpoints)), fmt.Sprint("box-", r.rng.IntN(goldenEndpoints))}
		r.record(r.m.HandleConsulAnswer(r.now, ConsulAnswer{ConfirmedMissing: gone}))
	case 10:
		if r.rng.IntN(40) == 0 {
			settings := *SettingsTable.Default()
			settings.Mode = []Mode{ModePlatform, ModeConsul, ModeOverlay, ModeRehearsal}[r.rng.IntN(4)]
			r.record(r.m.UpdateSettings(r.now, settings))
		}
	case 11:
		if r.rng.IntN(20) == 0 {
			r.m.RestartConsul()
		}
	}
	if at, due := r.m.NextTick(); due && at <= r.now {
		r.record(r.m.Tick(r.now))
	}
	at, due := r.m.NextTick()
	fmt.Fprintln(&r.output, int64(at), due, r.m.HasUnconfirmed(), r.m.PassesThrough())
}

// The same events must give the same lists, log lines and rows, in the same order.
func TestGoldenRuns(t *testing.T) {
	var text strings.Builder
	for _, mode := range []Mode{ModePlatform, ModeConsul, ModeOverlay, ModeRehearsal} {
		for seed := range uint64(3) {
			settings := *SettingsTable.Default()
			settings.Mode = mode
			run := &seededRun{rng: rand.New(rand.NewPCG(seed, 3)), m: New(settings, []string{"zone0"}, nil), known: map[string]bool{}}
			for range 2000 {
				run.step()
			}
			rows, err := json.Marshal(run.m.Rows(run.now))
			if err != nil {
				t.Fatal(err)
			}
			run.output.Write(rows)
			fmt.Fprintf(&text, "%s, seed %d: %d lists, %d bytes\n%x\n", mode, seed, run.lists, run.output.Len(),
				sha256.Sum256(run.output.Bytes()))
		}
	}
	golden.Text(t, "runs.txt", []byte(text.String()))
}

// The values in settings files, in records on disk and on the admin pages.
func TestValuesAreData(t *testing.T) {
	for got, want := range map[any]any{
		ModePlatform: Mode("platform"), ModeConsul: Mode("consul"), ModeOverlay: Mode("overlay"), ModeRehearsal: Mode("rehearsal"),
		StateUnknown:                         balancer.EndpointState(-1),
		StateName(balancer.EndpointReady):    "ready",
		StateName(balancer.EndpointDraining): "draining",
		StateName(balancer.EndpointRemoved):  "gone",
		StateName(StateUnknown):              "unknown",
	} {
		if got != want {
			t.Errorf("%v, want %v", got, want)
		}
	}
}
