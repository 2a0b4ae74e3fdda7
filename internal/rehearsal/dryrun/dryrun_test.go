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

// read returns the scenario of a script without findings.
func read(tb testing.TB, name, text string) *scenario.Scenario {
	tb.Helper()
	var found finding.List
	parsed := scenario.Read(name, []byte(text), &found)
	if parsed == nil {
		tb.Fatal(found.Err())
	}
	return parsed
}

// run plays a plan.
func run(tb testing.TB, plan *scenario.Plan) *Result {
	tb.Helper()
	r, err := Run(plan)
	if err != nil {
		tb.Fatal(err)
	}
	return r
}

// library returns the scenarios of the rehearsals folder, by name.
func library(tb testing.TB) map[string]*scenario.Scenario {
	tb.Helper()
	names, err := filepath.Glob("../../../rehearsals/*.morning")
	if err != nil || len(names) == 0 {
		tb.Fatal("no rehearsals", err)
	}
	all := map[string]*scenario.Scenario{}
	for _, name := range names {
		text, err := os.ReadFile(name)
		if err != nil {
			tb.Fatal(err)
		}
		all[strings.TrimSuffix(filepath.Base(name), ".morning")] = read(tb, name, string(text))
	}
	return all
}

// The same seed gives the same events, byte for byte; another one does not.
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
		t.Error("the same seed gives two traces")
	}
	if first == trace(6) {
		t.Error("two seeds give the same trace")
	}
}

// The decision module keeps the rules through every morning of the library, and what each expects of it.
func TestLibrary(t *testing.T) {
	for name, played := range library(t) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			v := run(t, played.Plan(0)).Verdict
			if len(v.Breaches) > 0 || v.VoidReason != "" {
				t.Errorf("%s %v", v.VoidReason, v.Breaches[:min(5, len(v.Breaches))])
			}
			for _, e := range played.Expectations {
				got := map[string]float64{"service": v.Service, "worst": v.WorstService, "attempts": v.AttemptsPerCall}[e.Figure]
				if e.Above == (got < e.Bound) {
					t.Errorf("line %d: %s is %v, bound %v", e.Position.Line, e.Figure, got, e.Bound)
				}
			}
		})
	}
}

const base = `length 6s
seed 5
tier slot-keeper boxes 6 cells 2 cores 2 slots 8 queue 20 work 20ms cold 0.2 warm 3s
sidecars count 2
callers rate 60/s retries 1 patience 0.5 backoff 100ms
discovery notice 500ms silent_notice 2s add 200ms
`

// A pause that ends just as the sidecar gives up: whether the answer or the cancel wins, each request has one answer
// and no class is sent where it may not be. The pauses end from 60 ms before to 60 ms after, in steps of 4 ms.
func TestPauseThatEndsAsTheSidecarGivesUp(t *testing.T) {
	for _, effect := range []string{"unsafe", "keyed scope cell window 10s", "safe"} {
		crossed := 0
		for ms := 940; ms <= 1060; ms += 4 {
			played := read(t, "pause", base+"class ask aim 500ms deadline 2s effect "+effect+fmt.Sprintf("\nat 2s: all boxes pause for %dms\n", ms))
			r := run(t, played.Plan(0))
			if len(r.Verdict.Breaches) > 0 {
				t.Errorf("%s, %d ms: %v", effect, ms, r.Verdict.Breaches)
			}
			crossed += servedBetween(r, 2900*time.Millisecond, 3100*time.Millisecond)
		}
		if crossed == 0 {
			t.Errorf("%s: no answer came near the time at which sidecars give up", effect)
		}
	}
}

// servedBetween counts the attempts that were served between two times.
func servedBetween(r *Result, from, to time.Duration) (count int) {
	for _, e := range r.Events {
		if e.Kind == audit.AttemptEnded && e.Result == audit.Served && e.At > from && e.At < to {
			count++
		}
	}
	return count
}

// A freshly started server that is slow for its first minute is spared: it does not collapse, and while it is cold it
// gets well below its share.
func TestSlowFirstMinute(t *testing.T) {
	slow := strings.NewReplacer("length 6s", "length 90s", "cold 0.2 warm 3s", "cold 0.1 warm 60s", "rate 60/s", "rate 150/s")
	played := read(t, "cold", slow.Replace(base)+
		"class ask aim 500ms deadline 2s\nat 5s: 1 new boxes\n")
	r := run(t, played.Plan(0))
	if len(r.Verdict.Breaches) > 0 || r.Verdict.Service < 0.99 {
		t.Fatalf("service %v, %v", r.Verdict.Service, r.Verdict.Breaches)
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
		t.Errorf("cold it got %.3f of all, warm %.3f", cold, warm)
	}
}

// In scenarios drawn at random no rule is broken, and every request ends.
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
		if err := flag.Set("rapid.checks", "25"); err != nil { // make soak plays 100
			t.Fatal(err)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		text := base + "class ask aim 500ms deadline 2s effect " + rapid.SampledFrom(effects).Draw(t, "effect") + "\n"
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
			return // it asks for the impossible
		}
		r, err := Run(played.Plan(rapid.Uint64Range(1, 1000).Draw(t, "seed")))
		if err != nil {
			t.Fatal(err)
		}
		v := r.Verdict
		if len(v.Breaches) > 0 {
			t.Fatalf("%s%v", text, v.Breaches)
		}
		if n := v.InTime + v.Late + v.Rejected + v.Failed; n != v.Requests || v.Requests != len(r.Plan().Arrivals) {
			t.Fatalf("%d of %d requests are counted", n, v.Requests)
		}
	})
}

// Against a formula: one server with a core that serves in order, behind one sidecar, has the mean time of M/M/1 plus the
// network. The module holds calls back when a server is busy, so the load is light.
func TestAgainstMM1(t *testing.T) {
	played := read(t, "mm1", `length 500s
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
	// Work 20 ms at 10 a second: 1/(50-10) s.
	if got, want := sum.Seconds()/float64(n), 1.0/40; math.Abs(got/want-1) > 0.06 {
		t.Errorf("%d calls took %.5f s at the box, want %.5f", n, got, want)
	}
}

// An auditor that is shown a wrong module would say so: the same run with a rule made stricter has breaches.
func TestAuditorSeesTheModule(t *testing.T) {
	played := library(t)["errors"]
	p := played.Plan(0)
	r := run(t, p)
	rules := p.AuditRules()
	rules.MaxAttempts = 1
	v := audit.Judge(rules, r.Events, 0)
	found := slices.ContainsFunc(v.Breaches, func(b audit.Breach) bool { return strings.Contains(b.Message, "attempt 2; 1 are allowed") })
	if v.BreachesByRule[audit.AtMostOnce] == 0 || !found {
		t.Error("no second attempt was seen in a morning of errors")
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
