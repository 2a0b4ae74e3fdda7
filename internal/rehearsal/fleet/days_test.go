package fleet

import (
	"fmt"
	"testing"

	"quincegap/internal/rehearsal/scenario"
)

// On every hard day the rules are kept, what its script expects is reached, and the boxes that were alike were loaded
// little less evenly than chance alone does it. The same day and seed come to the same.
func TestHardDays(t *testing.T) {
	for _, name := range Days() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			scenario, err := Day(name)
			if err != nil {
				t.Fatal(err)
			}
			outcome, err := Play(scenario, 0)
			if err != nil {
				t.Fatal(err)
			}
			checkRules(t, outcome)
			checkExpectations(t, outcome)
			s := outcome.Spread
			t.Logf("service %.4f, in vain %.4f, spread %+v", outcome.Verdict.Service, outcome.UnansweredShare, s)
			if s.Servers > 0 && s.P99 > 2*s.ChanceP99 {
				t.Errorf("the load of 99 in 100 boxes is up to %.2f times the mean, by chance %.2f", s.P99, s.ChanceP99)
			}
		})
	}
}

// checkRules fails the test if a rule was broken; of many breaches the first ones are shown.
func checkRules(t *testing.T, outcome *Outcome) {
	t.Helper()
	for i, b := range outcome.Verdict.Breaches {
		if t.Errorf("%v: %v: %s", b.At, b.Rule, b.Message); i > 5 {
			break
		}
	}
	if outcome.Verdict.VoidReason != "" || len(outcome.Verdict.Crashes) > 0 {
		t.Errorf("void %q, crashes %v", outcome.Verdict.VoidReason, outcome.Verdict.Crashes)
	}
}

// checkExpectations fails the test if what the script expects was not reached.
func checkExpectations(t *testing.T, outcome *Outcome) {
	t.Helper()
	for _, e := range outcome.Plan.Expectations {
		if got, met := e.Evaluate(outcome.Verdict); !met {
			t.Errorf("%s is %.4f, expected %v", e.Figure, got, e.Bound)
		}
	}
}

// What is measured of a day is the same each time, and another with another seed.
func TestDaysAreReproducible(t *testing.T) {
	day, err := Day("weights")
	if err != nil {
		t.Fatal(err)
	}
	digest := func(seed uint64) string {
		outcome, err := Play(day, seed)
		if err != nil {
			t.Fatal(err)
		}
		verdict := outcome.Verdict
		return fmt.Sprint(verdict.Service, verdict.ServerAttempts, outcome.UnansweredShare, outcome.Spread, outcome.Decisions,
			verdict.AttemptsByServer)
	}
	if a, b := digest(0), digest(0); a != b {
		t.Error("the same seed came to something else")
	}
	if digest(0) == digest(99) {
		t.Error("another seed came to the same")
	}
}

// A server that has a fault is comparable before it, and again once it is warm.
func TestComparableIntervals(t *testing.T) {
	day, err := Day("trials")
	if err != nil {
		t.Fatal(err)
	}
	plan := day.Plan(0)
	hit := map[int]bool{}
	for _, step := range plan.Steps {
		if step.Kind == scenario.ServerFault {
			hit[step.Server] = true
		}
	}
	if len(hit) != 500 {
		t.Fatalf("%d boxes are hit", len(hit))
	}
	for server, intervals := range comparableIntervals(plan) {
		want := []interval{{0, plan.Length}}
		if hit[server] { // from 5 s to 13 s, and then as long as it takes to be warm
			want = []interval{{0, 5e9}, {18e9, plan.Length}}
		}
		if fmt.Sprint(intervals) != fmt.Sprint(want) {
			t.Fatalf("box %d, hit %v: %v", server, hit[server], intervals)
		}
	}
}
