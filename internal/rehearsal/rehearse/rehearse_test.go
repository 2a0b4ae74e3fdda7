package rehearse

import (
	"context"
	"os"
	"slices"
	"strings"
	"syscall"
	"testing"

	"go.uber.org/goleak"

	"quincegap/internal/config/finding"
	"quincegap/internal/rehearsal/audit"
	"quincegap/internal/rehearsal/scenario"
)

// small is a scenario with two cells of two servers, which are never busy. Its slack is large, so that a slow test machine does not look
// like a slow sidecar; the faulty proxies exceed the limits by more than the slack.
const small = `length 2s
seed 3
tier slot-keeper boxes 4 cells 2 cores 8 slots 40 queue 40 work 10ms shape fixed handshake 0ms conns 0
sidecars count 1
callers rate 40/s retries 0 patience 1
discovery notice 100ms silent_notice 1s add 100ms
rules slack 60ms attempts 3 tip_by 3 tip_window 1s
`

// Request classes that are safe to repeat, safe with a key in one cell, and unsafe to repeat.
const (
	safe   = "class ask effect safe aim 1s deadline 2s\n"
	keyed  = "class ask effect keyed scope cell window 10s aim 1s deadline 2s\n"
	unsafe = "class ask effect unsafe aim 1s deadline 2s\n"
)

// rehearse plays a script with this test binary as the named sidecar, and returns the result and the events. It fails the test if a
// process still runs afterwards.
func rehearse(t *testing.T, sidecar, script string) (*Result, []audit.Event) {
	t.Helper()
	var found finding.List
	parsed := scenario.Read(t.Name(), []byte(script), &found)
	if parsed == nil {
		t.Fatal(found.Err())
	}
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	var events []audit.Event
	result, err := Run(context.Background(), parsed.Plan(0), Options{
		Program: self,
		Env:     []string{sidecarVariable + "=" + sidecar},
		Dir:     t.TempDir(),
		Events:  func(e []audit.Event) { events = e },
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, pid := range result.Processes {
		if syscall.Kill(pid, 0) == nil {
			t.Errorf("sidecar process %d still exists after Run, want all ended", pid)
		}
	}
	return result, events
}

// A sidecar that crashes, hangs or ignores SIGTERM is reported, and its process is ended.
func TestCrashesAreFound(t *testing.T) {
	for fault, want := range map[string]string{
		"crash": "n1 ended by itself (exit status 7); its last line: cannot go on",
		"hang":  "n1 hangs: GET /ready is not answered",
		"deaf":  "n1 did not end after SIGTERM",
	} {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			result, _ := rehearse(t, fault, small+safe+"rules kill 500ms\n")
			crashes := result.Verdict.Crashes
			if !slices.ContainsFunc(crashes, func(crash string) bool { return strings.Contains(crash, want) }) {
				t.Errorf("crashes %q, want one that contains %q", crashes, want)
			}
		})
	}
	t.Run("cannot start", func(t *testing.T) {
		var found finding.List
		parsed := scenario.Read("m", []byte(small+safe), &found)
		_, err := Run(context.Background(), parsed.Plan(0), Options{Program: "/bin/false", Dir: t.TempDir()})
		if err == nil || !strings.Contains(err.Error(), "ended before it served") {
			t.Errorf("Run with a program that exits at once: error %v, want one that contains %q", err, "ended before it served")
		}
		if _, err = Run(context.Background(), parsed.Plan(0), Options{Program: "no-such-program", Dir: t.TempDir()}); err == nil {
			t.Error("Run with a missing program: no error, want one")
		}
	})
}

// productCases are scripts by name, with the minimum service that the product must reach.
var productCases = map[string]struct {
	script     string
	minService float64
}{
	"calm":    {safe, 0.98},
	"silence": {keyed + "at 500ms: 1 boxes go silent for 1500ms\n", 0.6},
	"restarts": {keyed + `at 500ms: 1 boxes restart taking 300ms
at 1200ms: 1 boxes restart taking 300ms
`, 0.8},
	"drains": {unsafe + `at 300ms: 1 boxes drain for 900ms
at 500ms: 1 boxes drain for 900ms
`, 0.95},
	"takes over": {keyed + "at 300ms: 2 boxes are replaced at their addresses\n", 0.6},
	"killed":     {keyed + "at 700ms: all sidecars get SIGKILL and are back after 300ms\n", 0.3},
	"reloads":    {keyed + "at 500ms: all sidecars get SIGHUP\nat 1s: all sidecars get SIGHUP\n", 0.98},
	"lost, reset, failed": {unsafe + `at 300ms: 1 boxes lose 30% of calls for 1s
at 300ms: 1 boxes reset 30% of calls for 1s
at 300ms: 1 boxes fail 30% of calls for 1s
`, 0.6},
	"garbled": {keyed + "at 300ms: all boxes garble 20% of answers for 1s\n", 0.5},
	"by Consul": {keyed + `discovery by consul
at 300ms: 1 boxes drain for 900ms
at 700ms: 1 new boxes
at 900ms: 1 boxes die
at 1s: discovery is silent for 500ms
`, 0.9},
	"over HTTP/3": {keyed + `tier slot-keeper protocol http3
at 300ms: 1 boxes drain for 900ms
at 700ms: 1 boxes restart taking 300ms
at 900ms: 1 boxes reset 30% of calls for 1s
`, 0.7},
	"silent over HTTP/3": {unsafe + `tier slot-keeper protocol http3
at 500ms: 1 boxes go silent for 1500ms
`, 0.5},
	"rude":   {keyed + "at 300ms: 20 rude callers for 1s\n", 0.9},
	"pauses": {keyed + "at 300ms: all boxes pause for 1500ms\n", 0.2},
}

// The product keeps all rules in short scenarios and reaches the minimum service. The slack of the rules is larger than in production and
// the minimum service is low, to tolerate a noisy test machine.
func TestTrueSidecar(t *testing.T) {
	for name, test := range productCases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			result, _ := rehearse(t, "true", strings.Replace(small, "slack 60ms", "slack 250ms", 1)+test.script)
			verdict := result.Verdict
			if verdict.VoidReason != "" {
				t.Skip(verdict.VoidReason)
			}
			if len(verdict.Breaches) > 0 || len(verdict.Crashes) > 0 || verdict.Service < test.minService {
				t.Errorf("service %v, breaches %v, crashes %v, want service of at least %v and no others",
					verdict.Service, verdict.Breaches, verdict.Crashes, test.minService)
			}
			if wantHTTP3 := strings.Contains(name, "HTTP/3"); wantHTTP3 != (result.HTTP3 > int64(verdict.ServerAttempts)/2) {
				t.Errorf("%d of %d attempts came over HTTP/3, want more than half: %v", result.HTTP3, verdict.ServerAttempts, wantHTTP3)
			}
			if result.UnansweredFaultyCallers > 0 {
				t.Errorf("faulty requests neither answered nor closed in time: %v, want none", result.UnansweredInputs)
			}
		})
	}
}

// No goroutine that a rehearsal started continues after it, including those of faulty callers.
func TestNothingGoesOn(t *testing.T) {
	before := goleak.IgnoreCurrent()
	rehearse(t, "true", small+keyed+`tier slot-keeper protocol http3
discovery by consul
at 300ms: 20 rude callers for 5s
at 500ms: 1 boxes go silent for 9s
`)
	readinessClient.CloseIdleConnections()
	goleak.VerifyNone(t, before)
}

// With two tiers, each server of the first calls the second through a dedicated sidecar, and the trace of a request shows both tiers.
func TestTwoTiers(t *testing.T) {
	result, events := rehearse(t, "true", `length 2s
tier booking-front boxes 2 cells 2 cores 4 slots 40 queue 9 work 10ms calls slot-keeper times 2 conns 0
tier slot-keeper boxes 3 cells 2 cores 4 slots 40 queue 9 work 5ms conns 0
class book-trip effect keyed scope cell window 10s aim 1s deadline 2s
sidecars count 1
callers rate 20/s patience 1
rules slack 250ms
at 800ms: box 1 of slot-keeper dies
`)
	verdict := result.Verdict
	if verdict.VoidReason != "" {
		t.Skip(verdict.VoidReason)
	}
	if len(verdict.Breaches) > 0 || verdict.Service < 0.9 || verdict.AttemptsPerCall < 0.9 || verdict.AttemptsPerCall > 1.3 ||
		verdict.ServerAttempts < 2*verdict.Requests {
		t.Errorf("verdict %+v, want no breaches, service of at least 0.9, 0.9 to 1.3 attempts per call, and 2 or more per request",
			verdict)
	}
	tiers := map[int]int{}
	for _, e := range events {
		if e.Kind == audit.AttemptReceived {
			tiers[result.Plan.Servers[e.Server].Tier]++
		}
	}
	if tiers[0] < verdict.InTime || tiers[1] < 2*verdict.InTime {
		t.Errorf("attempts by tier are %v for %d requests served in time, want 1 or more per request in tier 0 and 2 or more in tier 1",
			tiers, verdict.InTime)
	}
	if len(verdict.Traces) == 0 || !slices.ContainsFunc(verdict.Traces[0].Lines, func(l audit.TraceLine) bool {
		return strings.Contains(l.Text, "box") && strings.Contains(l.Text, "slot-keeper")
	}) {
		t.Errorf("traces %+v, want a first one with a line on a box of slot-keeper", verdict.Traces)
	}
}

// Twelve sidecars and the 24 servers that they call end at the same time and restart together, the servers cold. No server may collapse
// under the combined load, and no other rule may be broken. Without a bound on attempts that never run, all 24 collapse on sockets. The
// scenario runs at half the pace of a real fleet, so that two busy cores can keep up.
func TestFleetRestartsTogether(t *testing.T) {
	result, events := rehearse(t, "true", `length 16s
seed 2
tier slot-keeper boxes 24 cells 4 cores 2 slots 2 queue 4 conns 400 handshake 0ms
tier slot-keeper work 240ms shape lognormal cv 0.5 cold 0.35..0.5 warm 8s
class find-slot effect safe aim 4s deadline 8s share 2
class take-slot effect keyed scope cell window 40s aim 4s deadline 8s
sidecars count 12
callers rate 140/s retries 1 patience 0.8 backoff 600ms
discovery notice 2s silent_notice 20s add 2s
rules slack 250ms tip_window 2s
at 3s: all boxes restart taking 2s
at 3s: all sidecars get SIGKILL and are back after 2s
`)
	verdict := result.Verdict
	totals := audit.Totals(result.Plan.AuditRules(), events)
	t.Logf("service %.3f, totals %+v, %d sidecar processes", verdict.Service, *totals, len(result.Processes))
	if verdict.VoidReason != "" {
		t.Skip(verdict.VoidReason)
	}
	if len(verdict.Breaches) > 0 || len(verdict.Crashes) > 0 {
		t.Errorf("breaches %v, crashes %v, want none", verdict.Breaches[:min(5, len(verdict.Breaches))], verdict.Crashes)
	}
	if totals.Collapses > 0 || totals.ColdLoad == 0 {
		t.Errorf("%d servers collapsed at cold load %.2f, want none and a load above 0", totals.Collapses, totals.ColdLoad)
	}
	if verdict.Service < 0.3 {
		t.Errorf("service %v, want at least 0.3", verdict.Service)
	}
}
