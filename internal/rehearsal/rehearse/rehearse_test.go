package rehearse

import (
	"context"
	"io"
	"os"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"quincegap/internal/config/finding"
	"quincegap/internal/rehearsal/audit"
	"quincegap/internal/rehearsal/scenario"
)

// small is a scenario for tests: two cells of two servers, which are never busy. The slack is large, so that a slow machine is not
// taken for a slow sidecar; the faulty proxies here break a rule by more.
const small = `length 2s
seed 3
tier slot-keeper boxes 4 cells 2 cores 8 slots 40 queue 40 work 10ms shape fixed handshake 0ms conns 0
sidecars count 1
callers rate 40/s retries 0 patience 1
discovery notice 100ms silent_notice 1s add 100ms
rules slack 60ms attempts 3 tip_by 3 tip_window 1s
`

const (
	safe   = "class ask effect safe aim 1s deadline 2s\n"
	keyed  = "class ask effect keyed scope cell window 10s aim 1s deadline 2s\n"
	unsafe = "class ask effect unsafe aim 1s deadline 2s\n"
)

// rehearse plays a script with this test binary as the sidecar that is named, and returns the events too. No process may be left.
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
			t.Errorf("process %d is left", pid)
		}
	}
	return result, events
}

// proxyCase is a proxy that breaks a rule in some way.
type proxyCase struct {
	fault, script string
	rule          audit.Rule
	want          string // in a breach; empty if there is to be none
}

// maxPlays bounds how often a scenario is played until the emulator was on time.
const maxPlays = 5

// play plays the scenario, and plays it again while the emulator was too late to tell. The verdict of the last play stands.
func (c *proxyCase) play(t *testing.T, script string) *audit.Verdict {
	t.Helper()
	for play := 1; ; play++ {
		r, _ := rehearse(t, c.fault, script)
		if play == maxPlays || !c.undecided(r.Verdict) {
			return r.Verdict
		}
		t.Logf("played again: %d breaches do not count, %s", r.Verdict.Excused, r.Verdict.VoidReason)
	}
}

// undecided reports whether nothing can be said, because the emulator was late. One late second does not void a scenario of two
// seconds, but excuses what is broken in that second and the next: all of it, as a rule.
func (c *proxyCase) undecided(verdict *audit.Verdict) bool {
	if verdict.VoidReason != "" {
		return true
	}
	return c.want != "" && verdict.Excused > 0 && len(verdict.Breaches) == 0
}

// check fails the test unless the rule is found to be broken, and no other.
func (c *proxyCase) check(t *testing.T, verdict *audit.Verdict) {
	t.Helper()
	if c.want == "" {
		if len(verdict.Breaches) > 0 || len(verdict.Crashes) > 0 || verdict.Service < 0.99 {
			t.Errorf("service %v, %v, %v", verdict.Service, verdict.Breaches, verdict.Crashes)
		}
		return
	}
	ok := slices.ContainsFunc(verdict.Breaches, func(b audit.Breach) bool {
		return b.Rule == c.rule && strings.Contains(b.Message, c.want)
	})
	if !ok || verdict.BreachesByRule[c.rule] == 0 {
		t.Errorf("not caught: %v", verdict.Breaches[:min(5, len(verdict.Breaches))])
	}
	for rule, n := range verdict.BreachesByRule {
		// The second answer and what comes after an answer are seen by the next rule too, or not.
		if audit.Rule(rule) != c.rule && n > 0 && c.fault != "after" {
			t.Errorf("%s: %d times as well: %v", audit.Rule(rule), n, verdict.Breaches[:min(5, len(verdict.Breaches))])
		}
	}
}

// Each way to break a rule is caught on sockets, by its rule and in its words; an honest proxy is not blamed.
func TestFaultyProxies(t *testing.T) {
	const fewSlots = "at 10ms: all boxes refuse 100% of calls for 5s\n"
	for _, c := range []proxyCase{
		{"honest", keyed, 0, ""},
		{"silent", safe, audit.FinalAnswer, "no answer in"},
		{"late", safe, audit.FinalAnswer, "after the request's time"},
		{"closes", safe, audit.FinalAnswer, "closed without an answer"},
		{"invents", safe, audit.FinalAnswer, "no box made"},
		{"stale", safe, audit.FinalAnswer, "no box made"},
		{"doubles", safe, audit.FinalAnswer, "nobody had asked for"},
		{"after", safe, audit.FinalAnswer, "after its final answer"},
		{"twice", keyed, audit.AtMostOnce, "while another attempt was out"},
		{"again", unsafe, audit.AtMostOnce, "after an attempt that may have run"},
		{"withdraws", unsafe, audit.AtMostOnce, "after an attempt that may have run"},
		{"far", keyed, audit.AtMostOnce, "outside the group"},
		{"refuses", unsafe, audit.AtMostOnce, "trying again is harmless"},
		{"many", safe + fewSlots, audit.AtMostOnce, "3 are allowed"},
		{"drains", safe + "at 400ms: 2 boxes drain for 1500ms\n", audit.DrainRespected, "that it is Terminating"},
		{"cold", safe + "at 300ms: 1 new boxes\n", audit.SlowStartRespected, "fell over"},
	} {
		t.Run(c.fault, func(t *testing.T) {
			t.Parallel()
			script := small
			if c.fault == "cold" {
				script = strings.Replace(small, "cores 8 slots 40 queue 40 work 10ms",
					"cores 1 slots 40 queue 40 work 40ms cold 0.1 warm 30s", 1)
			}
			if c.fault == "twice" || c.fault == "withdraws" {
				script = strings.Replace(small, "work 10ms", "work 150ms", 1)
			}
			v := c.play(t, script+c.script)
			if v.VoidReason != "" {
				t.Skip(v.VoidReason) // this machine is too busy to tell
			}
			c.check(t, v)
		})
	}
}

// A sidecar that crashes, hangs, or does not end when it is asked to is found and cleaned up.
func TestCrashesAreFound(t *testing.T) {
	for fault, want := range map[string]string{
		"crash": "n1 ended by itself (exit status 7); its last line: cannot go on",
		"hang":  "n1 hangs: GET /ready is not answered",
		"deaf":  "n1 did not end after SIGTERM",
	} {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			r, _ := rehearse(t, fault, small+safe+"rules kill 500ms\n")
			crashes := r.Verdict.Crashes
			if !slices.ContainsFunc(crashes, func(crash string) bool { return strings.Contains(crash, want) }) {
				t.Errorf("%q, want %q", crashes, want)
			}
		})
	}
	t.Run("cannot start", func(t *testing.T) {
		var found finding.List
		parsed := scenario.Read("m", []byte(small+safe), &found)
		_, err := Run(context.Background(), parsed.Plan(0), Options{Program: "/bin/false", Dir: t.TempDir()})
		if err == nil || !strings.Contains(err.Error(), "ended before it served") {
			t.Error(err)
		}
		if _, err = Run(context.Background(), parsed.Plan(0), Options{Program: "no-such-program", Dir: t.TempDir()}); err == nil {
			t.Error("a program that is not there")
		}
	})
}

// productCases are scripts by name, with the least service that the product gives.
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

// The product keeps the rules through short scenarios, and serves. The rules' limits are longer here than in service by what a noisy
// machine needs, and the least service is low.
func TestTrueSidecar(t *testing.T) {
	for name, c := range productCases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			result, _ := rehearse(t, "true", strings.Replace(small, "slack 60ms", "slack 250ms", 1)+c.script)
			verdict := result.Verdict
			if verdict.VoidReason != "" {
				t.Skip(verdict.VoidReason)
			}
			if len(verdict.Breaches) > 0 || len(verdict.Crashes) > 0 || verdict.Service < c.minService {
				t.Errorf("service %v, breaches %v, crashes %v", verdict.Service, verdict.Breaches, verdict.Crashes)
			}
			if over := strings.Contains(name, "HTTP/3"); over != (result.HTTP3 > int64(verdict.ServerAttempts)/2) {
				t.Errorf("%d of %d attempts came over HTTP/3", result.HTTP3, verdict.ServerAttempts)
			}
			if result.UnansweredFaultyCallers > 0 {
				t.Errorf("rude callers hang: %v", result.UnansweredInputs)
			}
		})
	}
}

// Nothing that a rehearsal has started goes on after it, faulty callers included.
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

// Two tiers: each server of the first calls the second through a sidecar of its own, and the trace of a request has both.
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
		t.Errorf("%+v", verdict)
	}
	tiers := map[int]int{}
	for _, e := range events {
		if e.Kind == audit.AttemptReceived {
			tiers[result.Plan.Servers[e.Server].Tier]++
		}
	}
	if tiers[0] < verdict.InTime || tiers[1] < 2*verdict.InTime {
		t.Errorf("attempts by tier: %v, %d requests", tiers, verdict.InTime)
	}
	if len(verdict.Traces) == 0 || !slices.ContainsFunc(verdict.Traces[0].Lines, func(l audit.TraceLine) bool {
		return strings.Contains(l.Text, "box") && strings.Contains(l.Text, "slot-keeper")
	}) {
		t.Errorf("%+v", verdict.Traces)
	}
}

// startOneServer starts the first server of a script, with the clock at 0, and nothing else of the rehearsal.
func startOneServer(t *testing.T, script string) (*rehearsal, *server) {
	t.Helper()
	var found finding.List
	parsed := scenario.Read("m", []byte(script), &found)
	if parsed == nil {
		t.Fatal(found.Err())
	}
	rehearsal := newRehearsal(context.Background(), parsed.Plan(0))
	if err := rehearsal.claimNetwork(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := rehearsal.guard.Close(); err != nil {
			t.Error(err)
		}
	})
	rehearsal.clockOffset.Store(0)
	rehearsal.clockOffset.Store(int64(rehearsal.now()))
	s := newServer(rehearsal, 0)
	if err := s.start(false); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.stop)
	return rehearsal, s
}

// A machine that is silent resets nothing: open connections stay open, and new ones do not come up, until it is back. Its address then
// belongs to another incarnation of the server.
func TestSilence(t *testing.T) {
	rehearsal, server := startOneServer(t, small+safe)
	address := rehearsal.serverAddress(0)
	open := dialServer(t, address)
	open.ask(t, "r1t1")
	if got := open.read(t, time.Second); !strings.Contains(got, "served r1t1 ") {
		t.Fatalf("%q", got)
	}
	server.silence()
	open.ask(t, "r2t1")
	if got := open.read(t, 200*time.Millisecond); got != "nothing" {
		t.Errorf("a silent machine says %q", got)
	}
	if c, err := dialFor(address, 200*time.Millisecond); err == nil {
		closeConn(c)
		t.Error("a connection to a silent machine comes up")
	} else if !strings.Contains(err.Error(), "timeout") {
		t.Errorf("a connection to a silent machine is refused: %v", err)
	}
	server.stop()
	if err := server.start(true); err != nil {
		t.Fatal(err)
	}
	if got := open.read(t, time.Second); !strings.Contains(got, "reset") {
		t.Errorf("an old connection: %q", got)
	}
	again := dialServer(t, address)
	again.ask(t, "r3t1")
	if got := again.read(t, time.Second); !strings.Contains(got, "served r3t1 ") {
		t.Errorf("%q", got)
	}
	events, _ := rehearsal.log.Events()
	received := slices.ContainsFunc(events, func(e audit.Event) bool {
		return e.Kind == audit.AttemptReceived && e.Request == "r2t1"
	})
	answered := slices.ContainsFunc(events, func(e audit.Event) bool {
		return e.Kind == audit.AttemptEnded && e.Request == "r2t1" && e.Result != audit.Dropped
	})
	if !received || answered {
		t.Errorf("what a silent machine was sent: seen %v, answered %v", received, answered)
	}
}

// A server closes what is half sent, rejects connections beyond its limit, and reports its load.
func TestServerOnItsSocket(t *testing.T) {
	rehearsal, _ := startOneServer(t, strings.Replace(small, "conns 0", "conns 2 report 20ms", 1)+keyed)
	one, two := dialServer(t, rehearsal.serverAddress(0)), dialServer(t, rehearsal.serverAddress(0))
	two.ask(t, "r7t1")
	two.read(t, time.Second)
	one.ask(t, "r8t1")
	one.read(t, time.Second)
	three := dialServer(t, rehearsal.serverAddress(0))
	if got := three.read(t, time.Second); !strings.Contains(got, "reset") && !strings.Contains(got, "EOF") {
		t.Errorf("a connection too many: %q", got)
	}
	time.Sleep(50 * time.Millisecond)
	two.ask(t, "r9t1")
	if got := two.read(t, time.Second); !strings.Contains(got, "X-Pressure: inflight=") {
		t.Errorf("no load report: %q", got)
	}
	// Half a request, and the end: it never ran.
	half := "POST /trips HTTP/1.1\r\nHost: a\r\nX-Txn: r5t1\r\nX-Lane: ask\r\nContent-Length: 99\r\n\r\nhalf"
	if _, err := io.WriteString(one, half); err != nil {
		t.Fatal(err)
	}
	if err := one.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	one.read(t, time.Second)
	events, _ := rehearsal.log.Events()
	if !slices.ContainsFunc(events, func(e audit.Event) bool {
		return e.Kind == audit.AttemptEnded && e.Request == "r5t1" && e.Result == audit.Truncated
	}) {
		t.Error("half a request is not noted as cut off")
	}
	// A keyed repeat in its cell has no second effect.
	if rehearsal.repeatedEffects != 0 || len(rehearsal.effects) != 1 {
		t.Errorf("%d effects, %d beyond the first", len(rehearsal.effects), rehearsal.repeatedEffects)
	}
}

// An emulator that is late records it.
func TestLateEmulatorIsSeen(t *testing.T) {
	rehearsal, server := startOneServer(t, small+safe)
	conn := dialServer(t, rehearsal.serverAddress(0))
	conn.ask(t, "r1t1")
	conn.read(t, time.Second)
	conn.ask(t, "r2t1")
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		server.mu.Lock()
		if len(server.calls) > 0 {
			time.Sleep(150 * time.Millisecond) // the server cannot work meanwhile, as if the emulator had no processor
			server.mu.Unlock()
			break
		}
		server.mu.Unlock()
	}
	conn.read(t, time.Second)
	events, _ := rehearsal.log.Events()
	if !slices.ContainsFunc(events, func(e audit.Event) bool {
		return e.Kind == audit.EmulatorLate && e.Duration > 100*time.Millisecond
	}) {
		t.Error("not seen")
	}
}

// Twelve processes and the 24 servers that they call end at once and come back together, the servers cold. No server collapses under
// the sum of what they send, and no other rule is broken. Without a bound on attempts that never run, all 24 collapse on sockets. All
// goes at half the pace of a real fleet, so that two busy cores keep up.
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
	sums := audit.Totals(result.Plan.AuditRules(), events)
	t.Logf("service %.3f, %+v, %d sidecars", verdict.Service, *sums, len(result.Processes))
	if verdict.VoidReason != "" {
		t.Skip(verdict.VoidReason)
	}
	if len(verdict.Breaches) > 0 || len(verdict.Crashes) > 0 {
		t.Errorf("%v, %v", verdict.Breaches[:min(5, len(verdict.Breaches))], verdict.Crashes)
	}
	if sums.Collapses > 0 || sums.ColdLoad == 0 {
		t.Errorf("%d boxes fell; %.2f of what a cold box bears", sums.Collapses, sums.ColdLoad)
	}
	if verdict.Service < 0.3 {
		t.Errorf("service %v", verdict.Service)
	}
}
