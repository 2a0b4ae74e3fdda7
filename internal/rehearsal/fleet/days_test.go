package fleet

import (
	"fmt"
	"testing"

	"quincegap/internal/rehearsal/scenario"
)

// On every day the rules must be kept and the expectations of the script met, and the load of comparable servers must not be much less
// even than that of a random choice.
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
			t.Logf("service %.4f, unanswered share %.4f, spread %+v", outcome.Verdict.Service, outcome.UnansweredShare, s)
			if s.Servers > 0 && s.P99 > 2*s.ChanceP99 {
				t.Errorf("99%% quantile of the load over its mean: got %.2f, want at most twice that of a random choice, %.2f", s.P99, s.ChanceP99)
			}
		})
	}
}

// checkRules fails the test if a rule was broken, the run is void or a sidecar crashed. It prints only the first breaches.
func checkRules(t *testing.T, outcome *Outcome) {
	t.Helper()
	for i, b := range outcome.Verdict.Breaches {
		if t.Errorf("got a breach at %v of rule %q: %s; want none", b.At, b.Rule, b.Message); i > 5 {
			break
		}
	}
	if outcome.Verdict.VoidReason != "" || len(outcome.Verdict.Crashes) > 0 {
		t.Errorf("got void reason %q and crashes %v, want none", outcome.Verdict.VoidReason, outcome.Verdict.Crashes)
	}
}

// checkExpectations fails the test if an expectation of the script was not met.
func checkExpectations(t *testing.T, outcome *Outcome) {
	t.Helper()
	for _, e := range outcome.Plan.Expectations {
		if got, met := e.Evaluate(outcome.Verdict); !met {
			t.Errorf("got %s %.4f, want the bound %v met (minimum: %v)", e.Figure, got, e.Bound, e.Above)
		}
	}
}

// A day has the same figures in each run with the same seed, and others with another seed.
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
		t.Errorf("same seed twice: got different figures\n%.200s\n%.200s", a, b)
	}
	if digest(0) == digest(99) {
		t.Error("script's seed and seed 99: got the same figures, want different ones")
	}
}

// A server with a fault is comparable before the fault and, after it, once it has warmed up again.
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
		t.Fatalf("got %d servers with a fault, want 500", len(hit))
	}
	for server, intervals := range comparableIntervals(plan) {
		want := []interval{{0, plan.Length}}
		if hit[server] { // the fault lasts from 5 s to 13 s, and the warm-up another 5 s
			want = []interval{{0, 5e9}, {18e9, plan.Length}}
		}
		if fmt.Sprint(intervals) != fmt.Sprint(want) {
			t.Fatalf("server %d (with a fault: %v): got comparable intervals %v, want %v", server, hit[server], intervals, want)
		}
	}
}
