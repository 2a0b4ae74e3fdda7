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

// The last known list stores endpoints on disk as JSON, which other versions have to be able to read.
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

// The admin pages return rows as JSON.
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
	merger *Merger
	now    time.Duration
	known  map[string]bool // uids that Consul lists
	output bytes.Buffer
	lists  int
}

// record writes the Merger's log lines, and the list that it has returned, to the output.
func (r *seededRun) record(l List, changed bool) {
	for _, line := range r.merger.TakeLogs() {
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

// endpoint draws a random entry of a source.
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

// platform passes a random list of the platform to the Merger.
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
	// The chunks with the endpoints that a full list lacks are in the order of a map, so only deltas are divided.
	if list.Kind == balancer.ListDelta && r.rng.IntN(2) == 0 {
		for _, part := range r.merger.Chunks(PrepareList(list, 2), 2) {
			r.record(r.merger.HandlePlatformList(r.now, part()))
		}
		return
	}
	r.record(r.merger.HandlePlatformList(r.now, list))
}

// consul passes a random answer of Consul to the Merger.
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
	r.record(r.merger.HandleConsulAnswer(r.now, answer))
}

// step passes one random event to the Merger.
func (r *seededRun) step() {
	r.now += time.Duration(r.rng.IntN(800)) * time.Millisecond
	if r.rng.IntN(100) == 0 {
		r.now += 70 * time.Second // a period without any event
	}
	switch r.rng.IntN(14) {
	case 0, 1:
		r.platform()
	case 2, 3, 4, 5, 6, 12, 13:
		r.consul()
	case 7:
		r.record(r.merger.HandleConsulUnchanged(r.now))
	case 8:
		r.record(r.merger.HandleConnectFailure(r.now, fmt.Sprint("box-", r.rng.IntN(goldenEndpoints))))
	case 9:
		gone := []string{fmt.Sprint("box-", r.rng.IntN(goldenEndpoints)), fmt.Sprint("box-", r.rng.IntN(goldenEndpoints))}
		r.record(r.merger.HandleConsulAnswer(r.now, ConsulAnswer{ConfirmedMissing: gone}))
	case 10:
		if r.rng.IntN(40) == 0 {
			settings := *SettingsTable.Default()
			settings.Mode = []Mode{ModePlatform, ModeConsul, ModeOverlay, ModeRehearsal}[r.rng.IntN(4)]
			r.record(r.merger.UpdateSettings(r.now, settings))
		}
	case 11:
		if r.rng.IntN(20) == 0 {
			r.merger.RestartConsul()
		}
	}
	if at, due := r.merger.NextTick(); due && at <= r.now {
		r.record(r.merger.Tick(r.now))
	}
	at, due := r.merger.NextTick()
	fmt.Fprintln(&r.output, int64(at), due, r.merger.HasUnconfirmed(), r.merger.PassesThrough())
}

// Each seed gives the same lists, log lines and rows, in the same order, as in earlier versions.
func TestGoldenRuns(t *testing.T) {
	var text strings.Builder
	for _, mode := range []Mode{ModePlatform, ModeConsul, ModeOverlay, ModeRehearsal} {
		for seed := range uint64(3) {
			settings := *SettingsTable.Default()
			settings.Mode = mode
			run := &seededRun{rng: rand.New(rand.NewPCG(seed, 3)), merger: New(settings, []string{"zone0"}, nil), known: map[string]bool{}}
			for range 2000 {
				run.step()
			}
			rows, err := json.Marshal(run.merger.Rows(run.now))
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

// These values appear in settings files, in records on disk and on the admin pages, so they must not change.
func TestEncodedValues(t *testing.T) {
	for got, want := range map[any]any{
		ModePlatform: Mode("platform"), ModeConsul: Mode("consul"), ModeOverlay: Mode("overlay"), ModeRehearsal: Mode("rehearsal"),
		StateUnknown:                         balancer.EndpointState(-1),
		StateName(balancer.EndpointReady):    "ready",
		StateName(balancer.EndpointDraining): "draining",
		StateName(balancer.EndpointRemoved):  "gone",
		StateName(StateUnknown):              "unknown",
	} {
		if got != want {
			t.Errorf("encoded value: got %v, want %v", got, want)
		}
	}
}
