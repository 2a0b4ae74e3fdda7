package rehearse

import (
	"slices"
	"strings"
	"testing"

	"quincegap/internal/rehearsal/audit"
)

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
