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

// overloadScenario returns a short scenario in which servers can be overloaded.
func overloadScenario(t *testing.T) *scenario.Scenario {
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

// The results do not depend on the number of workers, and come in the order of the design.
// Three servers can serve 60 requests per second, so five times the load (100 per second) must leave some unserved, whatever the
// decision module does.
func TestSameOnAnyNumberOfCores(t *testing.T) {
	design := Design{Scenarios: []*scenario.Scenario{overloadScenario(t), overloadScenario(t)}, Loads: []float64{0.5, 5}, Seeds: 4}
	var results [][]Run
	for _, design.Workers = range []int{1, 2, 7} {
		calls := 0
		runs, err := design.Play(t.Context(), func(done, of int) {
			if calls++; done != calls || of != 16 {
				t.Errorf("progress reported %d of %d runs at call %d, want %d of 16", done, of, calls, calls)
			}
		})
		if err != nil || calls != 16 {
			t.Fatalf("Play with %d workers: error %v, %d progress calls, want none and 16", design.Workers, err, calls)
		}
		results = append(results, runs)
	}
	if !reflect.DeepEqual(results[0], results[1]) || !reflect.DeepEqual(results[0], results[2]) {
		t.Errorf("results with 1, 2 and 7 workers differ, want them equal: %+v", results)
	}
	points := Summarize(results[0])
	if len(points) != 4 || points[0].Load != 0.5 || points[1].Load != 5 || points[3].Scenario != 1 || points[0].Runs != 4 {
		t.Fatalf("points %+v, want 4 in order of scenario and load (0.5, 5), with 4 runs each", points)
	}
	if points[0].Service.Mean <= points[1].Service.Mean || points[1].Rejected.Mean+points[1].Failed.Mean == 0 {
		t.Errorf("service %v at half the load and %v at five times, want less at five times and some requests unserved",
			points[0].Service, points[1].Service)
	}
	for _, r := range results[0][:4] {
		if r.Requests < 25 || r.Requests > 60 || r.Breaches > 0 {
			t.Errorf("run at half the load: %+v, want 25 to 60 requests and no breach", r)
		}
	}
}

// The confidence interval uses Student's t-distribution: for 1, 2, 3, 4 the mean is 2.5, and t(3, 0.975) is 3.1824.
func TestInterval(t *testing.T) {
	figure := summarizeValues([]float64{1, 2, 3, 4})
	if want := 3.182446 * math.Sqrt(5.0/3) / 2; figure.Mean != 2.5 || math.Abs(figure.HalfInterval-want) > 1e-4 ||
		figure.Min != 1 || figure.Max != 4 {
		t.Errorf("figure of 1, 2, 3, 4 is %+v, want mean 2.5, half interval %v, min 1 and max 4", figure, want)
	}
	if figure = summarizeValues([]float64{7}); figure.Mean != 7 || figure.HalfInterval != 0 || figure.SD != 0 {
		t.Errorf("figure of one value is %+v, want mean 7, no interval and no deviation", figure)
	}
}

// Play rejects designs without runs, with too many runs or with an invalid load, and fails if the context has ended.
func TestImpossibleDesigns(t *testing.T) {
	played := overloadScenario(t)
	for want, design := range map[string]Design{
		"nothing to play":        {Loads: []float64{1}, Seeds: 1},
		"100000 at most":         {Scenarios: []*scenario.Scenario{played}, Loads: []float64{1}, Seeds: MaxRuns + 1},
		"load 0":                 {Scenarios: []*scenario.Scenario{played}, Loads: []float64{0}, Seeds: 1},
		"requests, 300000 at mo": {Scenarios: []*scenario.Scenario{played}, Loads: []float64{1e6}, Seeds: 1},
	} {
		if _, err := design.Play(t.Context(), nil); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("Play returned error %v, want one that contains %q", err, want)
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	design := Design{Scenarios: []*scenario.Scenario{played}, Loads: []float64{1}, Seeds: 3, Workers: 2}
	if _, err := design.Play(ctx, nil); !errors.Is(err, context.Canceled) {
		t.Errorf("Play with a canceled context returned error %v, want %v", err, context.Canceled)
	}
}
