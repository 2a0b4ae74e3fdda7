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

// Endpoints are kept on disk as JSON, as the last known list: the next version has to read them.
func TestGoldenEndpoint(t *testing.T) {
	e := Endpoint{
		UID: "box-1", Address: "10.0.0.7:443", Zone: "north", Model: "large", Cell: 3, State: balancer.EndpointDraining, Weight: 2.5,
		StartedMS: 1750000000123, Maintenance: true, WeightShare: 0.25, RegistrationIndex: 77, StartUnknown: true, Reason: "check is critical",
	}
	text, err := json.Marshal(e)
	if err != nil {
		t.Fatal(err)
	}
	golden.Text(t, "endpoint.json", append(text, '\n'))
	var got Endpoint
	if err := json.Unmarshal(text, &got); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, e) {
		t.Errorf("got %+v, want %+v", got, e)
	}
}

// Rows are what the admin endpoint answers with.
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

// goldenEndpoints is how many endpoints there are in a seeded run.
const goldenEndpoints = 7

// seededRun brings random reports of all sources to a Members, and writes down what it says.
type seededRun struct {
	rng    *rand.Rand
	m      *Merger
	now    time.Duration
	known  map[string]bool // that Consul has answered with
	output bytes.Buffer
	lists  int
}

func (r *seededRun) said(l List, news bool) {
	for _, line := range r.m.TakeLogs() {
		fmt.Fprintln(&r.output, "log", line)
	}
	if !news {
		return
	}
	r.lists++
	fmt.Fprintln(&r.output, "list", int64(r.now), int(l.Kind), l.Version)
	for _, e := range l.Endpoints {
		fmt.Fprintln(&r.output, e.UID, e.Address, e.Zone, e.Model, e.Cell, int(e.State), e.Weight, e.StartedMS, e.Reason)
	}
}

func (r *seededRun) endpoint() Endpoint {
	uid := fmt.Sprint("box-", r.rng.IntN(goldenEndpoints))
	e := Endpoint{
		UID: uid, Address: uid + ":1", Zone: fmt.Sprint("zone", r.rng.IntN(3)), Model: "m", Cell: r.rng.IntN(4), Weight: float64(r.rng.IntN(3)),
		WeightShare: []float64{1, 1, 0.5}[r.rng.IntN(3)], StartUnknown: r.rng.IntN(2) == 0, StartedMS: int64(r.rng.IntN(3)), RegistrationIndex: uint64(r.rng.IntN(4)),
	}
	switch r.rng.IntN(7) {
	case 0, 1:
		e.State, e.Reason = balancer.EndpointDraining, "critical"
	case 2:
		e.State, e.Reason, e.Maintenance = balancer.EndpointDraining, "maintenance", true
	case 3:
		if r.rng.IntN(4) == 0 {
			e.Address, e.Reason = "nowhere", "no port"
		}
	case 4:
		if r.rng.IntN(4) == 0 {
			e.State = StateUnknown
		}
	}
	if r.rng.IntN(6) == 0 {
		e.Address = fmt.Sprint("box-", r.rng.IntN(goldenEndpoints), ":1")
	}
	return e
}

func (r *seededRun) platform() {
	l := List{Kind: []balancer.ListKind{balancer.ListDelta, balancer.ListFull, balancer.ListCached}[r.rng.IntN(3)], Version: uint64(r.rng.IntN(50))}
	for range r.rng.IntN(8) {
		e := r.endpoint()
		if r.rng.IntN(4) == 0 && l.Kind == balancer.ListDelta {
			e.State = balancer.EndpointRemoved
		}
		l.Endpoints = append(l.Endpoints, e)
	}
	// What a full list lacks comes in parts in the order of a map.
	if l.Kind == balancer.ListDelta && r.rng.IntN(2) == 0 {
		for _, part := range r.m.Chunks(PrepareList(l, 2), 2) {
			r.said(r.m.HandlePlatformList(r.now, part()))
		}
		return
	}
	r.said(r.m.HandlePlatformList(r.now, l))
}

func (r *seededRun) consul() {
	a := ConsulAnswer{KnownBefore: len(r.known), Untrusted: r.rng.IntN(6) == 0, UnixMS: 1000 + r.now.Milliseconds()}
	changed := map[string]bool{}
	for range r.rng.IntN(5) {
		e := r.endpoint()
		if !changed[e.UID] {
			changed[e.UID] = true
			a.Changed = append(a.Changed, e)
		}
	}
	for i := range goldenEndpoints {
		uid := fmt.Sprint("box-", i)
		if r.known[uid] && !changed[uid] && r.rng.IntN(5) == 0 {
			a.Missing = append(a.Missing, uid)
			delete(r.known, uid)
		}
	}
	for uid := range changed {
		r.known[uid] = true
	}
	r.said(r.m.HandleConsulAnswer(r.now, a))
}

// step is one event.
func (r *seededRun) step() {
	r.now += time.Duration(r.rng.IntN(800)) * time.Millisecond
	if r.rng.IntN(100) == 0 {
		r.now += 70 * time.Second // nobody says anything
	}
	switch r.rng.IntN(14) {
	case 0, 1:
		r.platform()
	case 2, 3, 4, 5, 6, 12, 13:
		r.consul()
	case 7:
		r.said(r.m.HandleConsulUnchanged(r.now))
	case 8:
		r.said(r.m.HandleConnectFailure(r.now, fmt.Sprint("box-", r.rng.IntN(goldenEndpoints))))
	case 9:
		r.said(r.m.HandleConsulAnswer(r.now, ConsulAnswer{ConfirmedMissing: []string{fmt.Sprint("box-", r.rng.IntN(goldenEndpoints)), fmt.Sprint("box-", r.rng.IntN(goldenEndpoints))}}))
	case 10:
		if r.rng.IntN(40) == 0 {
			set := *SettingsTable.Default()
			set.Mode = []Mode{ModePlatform, ModeConsul, ModeOverlay, ModeRehearsal}[r.rng.IntN(4)]
			r.said(r.m.UpdateSettings(r.now, set))
		}
	case 11:
		if r.rng.IntN(20) == 0 {
			r.m.RestartConsul()
		}
	}
	if at, due := r.m.NextTick(); due && at <= r.now {
		r.said(r.m.Tick(r.now))
	}
	at, due := r.m.NextTick()
	fmt.Fprintln(&r.output, int64(at), due, r.m.HasUnconfirmed(), r.m.PassesThrough())
}

// The same reports have to give the same lists, logs and views, in the same order.
func TestGoldenRuns(t *testing.T) {
	var text strings.Builder
	for _, mode := range []Mode{ModePlatform, ModeConsul, ModeOverlay, ModeRehearsal} {
		for seed := range uint64(3) {
			set := *SettingsTable.Default()
			set.Mode = mode
			r := &seededRun{rng: rand.New(rand.NewPCG(seed, 3)), m: New(set, []string{"zone0"}, nil), known: map[string]bool{}}
			for range 2000 {
				r.step()
			}
			rows, err := json.Marshal(r.m.Rows(r.now))
			if err != nil {
				t.Fatal(err)
			}
			r.output.Write(rows)
			fmt.Fprintf(&text, "%s, seed %d: %d lists, %d bytes\n%x\n", mode, seed, r.lists, r.output.Len(), sha256.Sum256(r.output.Bytes()))
		}
	}
	golden.Text(t, "runs.txt", []byte(text.String()))
}

// Values that settings files, records on disk and answers to people hold.
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
