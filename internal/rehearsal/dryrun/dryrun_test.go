package dryrun

import (
	"flag"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"quincegap/internal/config/finding"
	"quincegap/internal/rehearsal/audit"
	"quincegap/internal/rehearsal/scenario"
)

// readScript returns the scenario of a script, and fails the test if there are findings.
func readScript(tb testing.TB, name, text string) *scenario.Scenario {
	tb.Helper()
	var found finding.List
	parsed := scenario.Read(name, []byte(text), &found)
	if parsed == nil {
		tb.Fatal(found.Err())
	}
	return parsed
}

// run simulates a plan, and fails the test on an error.
func run(tb testing.TB, plan *scenario.Plan) *Result {
	tb.Helper()
	r, err := Run(plan)
	if err != nil {
		tb.Fatal(err)
	}
	return r
}

// library returns the scenarios of the rehearsals folder, by file name without extension.
func library(tb testing.TB) map[string]*scenario.Scenario {
	tb.Helper()
	names, err := filepath.Glob("../../../rehearsals/*.morning")
	if err != nil || len(names) == 0 {
		tb.Fatalf("scripts of the library: got %v and error %v, want at least one script", names, err)
	}
	all := map[string]*scenario.Scenario{}
	for _, name := range names {
		text, err := os.ReadFile(name)
		if err != nil {
			tb.Fatal(err)
		}
		all[strings.TrimSuffix(filepath.Base(name), ".morning")] = readScript(tb, name, string(text))
	}
	return all
}

// The same seed gives exactly the same events; another seed gives others.
func TestSameSeedSameTrace(t *testing.T) {
	played := library(t)["friday"]
	trace := func(seed uint64) string {
		var b strings.Builder
		for _, e := range run(t, played.Plan(seed)).Events {
			fmt.Fprintln(&b, e)
		}
		return b.String()
	}
	first := trace(5)
	if len(first) < 1<<20 || first != trace(5) {
		t.Errorf("seed 5 twice: got different traces or one of only %d bytes, want equal ones of at least 1 MiB", len(first))
	}
	if first == trace(6) {
		t.Error("seeds 5 and 6: got the same trace, want different ones")
	}
}

// The decision module must keep the rules in every script of the library, and meet the expectations of the script.
func TestLibrary(t *testing.T) {
	for name, played := range library(t) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			v := run(t, played.Plan(0)).Verdict
			if len(v.Breaches) > 0 || v.VoidReason != "" {
				t.Errorf("got void reason %q and breaches %v, want none", v.VoidReason, v.Breaches[:min(5, len(v.Breaches))])
			}
			for _, e := range played.Expectations {
				got := map[string]float64{"service": v.Service, "worst": v.WorstService, "attempts": v.AttemptsPerCall}[e.Figure]
				if e.Above == (got < e.Bound) {
					t.Errorf("line %d: got %s %v, want the bound %v met (minimum: %v)", e.Position.Line, e.Figure, got, e.Bound, e.Above)
				}
			}
		})
	}
}

const baseScript = `length 6s
seed 5
tier slot-keeper boxes 6 cells 2 cores 2 slots 8 queue 20 work 20ms cold 0.2 warm 3s
sidecars count 2
callers rate 60/s retries 1 patience 0.5 backoff 100ms
discovery notice 500ms silent_notice 2s add 200ms
`

// A pause of the servers ends at about the time at which the sidecar gives up, so that answers and cancellations cross. Whichever comes
// first, each request has one answer and no class is sent to a server that it must not use. The pauses end from 60 ms before that time
// to 60 ms after it, in steps of 4 ms.
func TestPauseThatEndsAsTheSidecarGivesUp(t *testing.T) {
	for _, effect := range []string{"unsafe", "keyed scope cell window 10s", "safe"} {
		crossed := 0
		for ms := 940; ms <= 1060; ms += 4 {
			played := readScript(t, "pause", baseScript+"class ask aim 500ms deadline 2s effect "+effect+
				fmt.Sprintf("\nat 2s: all boxes pause for %dms\n", ms))
			r := run(t, played.Plan(0))
			if len(r.Verdict.Breaches) > 0 {
				t.Errorf("effect %s, pause of %d ms: got breaches %v, want none", effect, ms, r.Verdict.Breaches)
			}
			crossed += servedBetween(r, 2900*time.Millisecond, 3100*time.Millisecond)
		}
		if crossed == 0 {
			t.Errorf("effect %s: got no attempt served around the time at which sidecars give up, want some", effect)
		}
	}
}

// servedBetween returns the number of attempts that were served between two times.
func servedBetween(r *Result, from, to time.Duration) (count int) {
	for _, e := range r.Events {
		if e.Kind == audit.AttemptEnded && e.Result == audit.Served && e.At > from && e.At < to {
			count++
		}
	}
	return count
}

// A new server that is slow for its first minute must not collapse, and while it is cold it must get clearly less than its share of the
// attempts.
func TestSlowFirstMinute(t *testing.T) {
	slow := strings.NewReplacer("length 6s", "length 90s", "cold 0.2 warm 3s", "cold 0.1 warm 60s", "rate 60/s", "rate 150/s")
	played := readScript(t, "cold", slow.Replace(baseScript)+
		"class ask aim 500ms deadline 2s\nat 5s: 1 new boxes\n")
	r := run(t, played.Plan(0))
	if len(r.Verdict.Breaches) > 0 || r.Verdict.Service < 0.99 {
		t.Fatalf("got service %v and breaches %v, want at least 0.99 and none", r.Verdict.Service, r.Verdict.Breaches)
	}
	share := func(from, to int) float64 {
		var fresh, all float64
		for s := from; s < to; s++ {
			for server := range r.Plan().Servers {
				n := float64(r.Verdict.AttemptsByServer[server][s])
				all += n
				if server == 6 {
					fresh += n
				}
			}
		}
		return fresh / all
	}
	if cold, warm := share(7, 15), share(70, 90); cold > 0.6*warm || warm < 0.10 || warm > 0.18 {
		t.Errorf("share of attempts at the new server: got %.3f cold and %.3f warm, want 0.10 to 0.18 warm and at most 0.6 of that cold",
			cold, warm)
	}
}

// In random scenarios no rule is broken and every request ends.
func TestAnyScenario(t *testing.T) {
	events := []string{
		"%d boxes go silent for 1s", "%d boxes restart taking 700ms", "%d boxes drain for 1s", "%d boxes pause for 600ms", "%d boxes die",
		"%d boxes are replaced at their addresses", "%d boxes are replaced at new addresses",
		"%d boxes lose 40%% of calls for 1s", "%d boxes reset 40%% of calls for 1s", "%d boxes fail 60%% of calls for 1s",
		"%d boxes garble 40%% of answers for 1s", "%d boxes refuse 70%% of calls for 1s", "%d boxes are 5 times slower for 1s",
	}
	others := []string{
		"load is 4 times for 1s", "discovery is silent for 2s", "discovery is 1s behind for 2s", "sidecar 1 gets SIGTERM and is back after 3s",
		"sidecar 2 gets SIGKILL and is back after 1s", "all sidecars get SIGKILL and are back after 500ms", "2 new boxes",
	}
	effects := []string{"unsafe", "keyed scope cell window 10s", "keyed scope all window 10s", "safe"}
	if os.Getenv("SOAK") == "" {
		if err := flag.Set("rapid.checks", "25"); err != nil { // make soak runs 100
			t.Fatal(err)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		text := baseScript + "class ask aim 500ms deadline 2s effect " + rapid.SampledFrom(effects).Draw(t, "effect") + "\n"
		for i := range rapid.IntRange(1, 5).Draw(t, "events") {
			e := rapid.SampledFrom(others).Draw(t, "other")
			if rapid.Bool().Draw(t, "boxes") {
				e = fmt.Sprintf(rapid.SampledFrom(events).Draw(t, "event"), rapid.IntRange(1, 2).Draw(t, "how many"))
			}
			text += fmt.Sprintf("at %dms: %s\n", 500+900*i+rapid.IntRange(0, 800).Draw(t, "when"), e)
		}
		var found finding.List
		played := scenario.Read("any", []byte(text), &found)
		if played == nil {
			return // an event is impossible after the earlier ones
		}
		r, err := Run(played.Plan(rapid.Uint64Range(1, 1000).Draw(t, "seed")))
		if err != nil {
			t.Fatal(err)
		}
		v := r.Verdict
		if len(v.Breaches) > 0 {
			t.Fatalf("script\n%sgot breaches %v, want none", text, v.Breaches)
		}
		if n := v.InTime + v.Late + v.Rejected + v.Failed; n != v.Requests || v.Requests != len(r.Plan().Arrivals) {
			t.Fatalf("got %d outcomes for %d requests and %d arrivals, want the same number", n, v.Requests, len(r.Plan().Arrivals))
		}
	})
}

// One server with one core and one slot, behind one sidecar, is an M/M/1 queue: the mean time of attempts at the server must match the
// formula. The load is light, because the decision module delays calls while a server is busy.
func TestAgainstMM1(t *testing.T) {
	played := readScript(t, "mm1", `length 500s
seed 9
tier one boxes 1 cores 1 slots 1 queue 1000 work 20ms shape exponential
class ask aim 5s deadline 10s
sidecars count 1
callers rate 10/s patience 1
`)
	r := run(t, played.Plan(0))
	var sum time.Duration
	sent, n := map[uint64]time.Duration{}, 0
	for _, e := range r.Events {
		switch e.Kind {
		case audit.AttemptReceived:
			sent[e.AttemptID] = e.At
		case audit.AttemptEnded:
			sum += e.At - sent[e.AttemptID]
			n++
		}
	}
	// With a mean work of 20 ms and 10 requests per second, the mean time is 1/(50-10) s.
	if got, want := sum.Seconds()/float64(n), 1.0/40; math.Abs(got/want-1) > 0.06 {
		t.Errorf("mean time of %d attempts at the server: got %.5f s, want %.5f s", n, got, want)
	}
}

// The auditor must be able to find breaches in such runs: with a stricter limit of attempts, a run of the decision module has some.
func TestAuditorSeesTheModule(t *testing.T) {
	played := library(t)["errors"]
	p := played.Plan(0)
	r := run(t, p)
	rules := p.AuditRules()
	rules.MaxAttempts = 1
	v := audit.Judge(rules, r.Events, 0)
	found := slices.ContainsFunc(v.Breaches, func(b audit.Breach) bool { return strings.Contains(b.Message, "attempt 2; 1 are allowed") })
	if v.BreachesByRule[audit.AtMostOnce] == 0 || !found {
		t.Errorf("run with errors and a limit of one attempt: got breaches %v, want one for a second attempt",
			v.Breaches[:min(5, len(v.Breaches))])
	}
}

func BenchmarkRun(b *testing.B) {
	for _, name := range []string{"calm", "friday", "large-fleet"} {
		b.Run(name, func(b *testing.B) {
			p := library(b)[name].Plan(0)
			for b.Loop() {
				run(b, p)
			}
			b.ReportMetric(float64(len(p.Arrivals))*float64(b.N)/b.Elapsed().Seconds(), "requests/s")
		})
	}
}
