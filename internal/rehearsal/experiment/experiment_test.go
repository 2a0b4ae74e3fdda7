package experiment

import (
	"context"
	"errors"
	"math"
	"reflect"
	"strings"
	"testing"

	"quincegap/internal/config/finding"
	"quincegap/internal/rehearsal/scenario"
)

// small returns a short scenario in which servers can be overloaded.
func small(t *testing.T) *scenario.Scenario {
	t.Helper()
	var found finding.List
	parsed := scenario.Read("small", []byte(`length 4s
tier one boxes 3 cores 1 slots 1 queue 3 work 50ms
class ask aim 500ms deadline 2s
sidecars count 1
callers rate 20/s retries 0 patience 1
at 1s: 1 boxes restart taking 500ms
`), &found)
	if parsed == nil {
		t.Fatal(found.Err())
	}
	return parsed
}

// The result is the same however many run at once, and in the order of the design.
// Three servers answer 60 calls a second: five times the load, 100 a second, must leave some unserved whatever the module does.
func TestSameOnAnyNumberOfCores(t *testing.T) {
	d := Design{Scenarios: []*scenario.Scenario{small(t), small(t)}, Loads: []float64{0.5, 5}, Seeds: 4}
	var results [][]Run
	for _, d.Workers = range []int{1, 2, 7} {
		calls := 0
		runs, err := d.Play(t.Context(), func(done, of int) {
			if calls++; done != calls || of != 16 {
				t.Errorf("progress %d of %d at call %d", done, of, calls)
			}
		})
		if err != nil || calls != 16 {
			t.Fatal(err, calls)
		}
		results = append(results, runs)
	}
	if !reflect.DeepEqual(results[0], results[1]) || !reflect.DeepEqual(results[0], results[2]) {
		t.Error("results differ")
	}
	points := Summarize(results[0])
	if len(points) != 4 || points[0].Load != 0.5 || points[1].Load != 5 || points[3].Scenario != 1 || points[0].Runs != 4 {
		t.Fatalf("%+v", points)
	}
	if points[0].Service.Mean <= points[1].Service.Mean || points[1].Rejected.Mean+points[1].Failed.Mean == 0 {
		t.Errorf("half the load: service %v, five times: %v", points[0].Service, points[1].Service)
	}
	for _, r := range results[0][:4] {
		if r.Requests < 25 || r.Requests > 60 || r.Breaches > 0 {
			t.Errorf("%+v", r)
		}
	}
}

// The interval is that of Student's t: for 1, 2, 3, 4 the mean is 2.5, and t(3, 0.975) is 3.1824.
func TestInterval(t *testing.T) {
	f := summarizeValues([]float64{1, 2, 3, 4})
	if want := 3.182446 * math.Sqrt(5.0/3) / 2; f.Mean != 2.5 || math.Abs(f.HalfInterval-want) > 1e-4 || f.Min != 1 || f.Max != 4 {
		t.Errorf("%+v, want %v", f, want)
	}
	if f = summarizeValues([]float64{7}); f.Mean != 7 || f.HalfInterval != 0 || f.SD != 0 {
		t.Errorf("%+v", f)
	}
}

func TestImpossibleDesigns(t *testing.T) {
	played := small(t)
	for want, d := range map[string]Design{
		"nothing to play":        {Loads: []float64{1}, Seeds: 1},
		"100000 at most":         {Scenarios: []*scenario.Scenario{played}, Loads: []float64{1}, Seeds: MaxRuns + 1},
		"load 0":                 {Scenarios: []*scenario.Scenario{played}, Loads: []float64{0}, Seeds: 1},
		"requests, 300000 at mo": {Scenarios: []*scenario.Scenario{played}, Loads: []float64{1e6}, Seeds: 1},
	} {
		if _, err := d.Play(t.Context(), nil); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %s", err, want)
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	d := Design{Scenarios: []*scenario.Scenario{played}, Loads: []float64{1}, Seeds: 3, Workers: 2}
	if _, err := d.Play(ctx, nil); !errors.Is(err, context.Canceled) {
		t.Error(err)
	}
}
