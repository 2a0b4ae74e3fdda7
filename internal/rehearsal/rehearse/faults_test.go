package rehearse

import (
	"slices"
	"strings"
	"testing"

	"quincegap/internal/rehearsal/audit"
)

// proxyCase is a test case with a proxy that breaks a rule in one way.
type proxyCase struct {
	fault, script string
	rule          audit.Rule
	want          string // text expected in a breach's message; empty if no breach is expected
}

// maxPlays bounds how often a scenario is played while the emulator is too late for a verdict.
const maxPlays = 5

// play plays the scenario, and repeats it while the emulator was too late for a verdict. It returns the verdict of the last play.
func (c *proxyCase) play(t *testing.T, script string) *audit.Verdict {
	t.Helper()
	for play := 1; ; play++ {
		result, _ := rehearse(t, c.fault, script)
		if play == maxPlays || !c.undecided(result.Verdict) {
			return result.Verdict
		}
		t.Logf("repeating the scenario because the emulator was late: %d breaches excused, void reason %q",
			result.Verdict.Excused, result.Verdict.VoidReason)
	}
}

// undecided reports whether the verdict is inconclusive because the emulator was late. One late second does not void a scenario of two
// seconds, but excuses the breaches in that second and the next, which are usually all of them.
func (c *proxyCase) undecided(verdict *audit.Verdict) bool {
	if verdict.VoidReason != "" {
		return true
	}
	return c.want != "" && verdict.Excused > 0 && len(verdict.Breaches) == 0
}

// check fails the test unless the audit found breaches of the expected rule and of no other, or none if none are expected.
func (c *proxyCase) check(t *testing.T, verdict *audit.Verdict) {
	t.Helper()
	if c.want == "" {
		if len(verdict.Breaches) > 0 || len(verdict.Crashes) > 0 || verdict.Service < 0.99 {
			t.Errorf("honest proxy: service %v, breaches %v, crashes %v, want service of at least 0.99 and no others",
				verdict.Service, verdict.Breaches, verdict.Crashes)
		}
		return
	}
	ok := slices.ContainsFunc(verdict.Breaches, func(b audit.Breach) bool {
		return b.Rule == c.rule && strings.Contains(b.Message, c.want)
	})
	if !ok || verdict.BreachesByRule[c.rule] == 0 {
		t.Errorf("breaches %v, want one of %q that contains %q", verdict.Breaches[:min(5, len(verdict.Breaches))], c.rule, c.want)
	}
	for rule, n := range verdict.BreachesByRule {
		// With the fault "after", the attempt sent after the answer may also break another rule.
		if audit.Rule(rule) != c.rule && n > 0 && c.fault != "after" {
			t.Errorf("%d breaches of %q, want only breaches of %q: %v",
				n, audit.Rule(rule), c.rule, verdict.Breaches[:min(5, len(verdict.Breaches))])
		}
	}
}

// On sockets, the audit finds each fault as a breach of the expected rule with the expected message, and none with an honest proxy.
func TestFaultyProxies(t *testing.T) {
	const fewSlots = "at 10ms: all boxes refuse 100% of calls for 5s\n"
	for _, test := range []proxyCase{
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
		t.Run(test.fault, func(t *testing.T) {
			t.Parallel()
			script := small
			if test.fault == "cold" {
				script = strings.Replace(small, "cores 8 slots 40 queue 40 work 10ms",
					"cores 1 slots 40 queue 40 work 40ms cold 0.1 warm 30s", 1)
			}
			if test.fault == "twice" || test.fault == "withdraws" {
				script = strings.Replace(small, "work 10ms", "work 150ms", 1)
			}
			verdict := test.play(t, script+test.script)
			if verdict.VoidReason != "" {
				t.Skip(verdict.VoidReason) // this machine is too busy for a verdict
			}
			test.check(t, verdict)
		})
	}
}
