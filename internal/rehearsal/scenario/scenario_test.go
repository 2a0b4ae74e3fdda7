package scenario

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"quincegap/internal/config/finding"
)

// playableScript is a valid script, to which tests add lines.
const playableScript = `title "A test"
length 20s
seed 7
tier booking-front boxes 9 cells 4 cores 2 speed 0.6..1.5 slots 50 queue 5
tier booking-front work 30ms shape lognormal cv 1.2 noise 0.3 calls slot-keeper times 2
tier slot-keeper boxes 20 slots 2 work 25ms
class book-trip effect keyed scope cell window 10s aim 2500ms deadline 6s
callers rate 100/s retries 2 patience 0.42..0.8
`

// readScript reads a script, and returns the scenario and the findings as text.
func readScript(t *testing.T, text string) (*Scenario, string) {
	t.Helper()
	var found finding.List
	scenario := Read("m", []byte(text), &found)
	var b strings.Builder
	if err := found.Print(&b); err != nil {
		t.Fatal(err)
	}
	if (scenario == nil) != (found.Len() > 0) {
		t.Fatalf("got a scenario: %v, with findings %q; want either a scenario or findings", scenario != nil, b.String())
	}
	return scenario, strings.TrimSpace(b.String())
}

// brokenLines are lines to add to playableScript, with a part of the expected finding, or "" if the line is valid.
var brokenLines = []struct{ line, want string }{
	{"at 5s: 11% of boxes go silant for 9s", `9:24: "silant" does not fit here`},
	{"at 5s: 11% of boxes go silent", "the line ends too early; one that can be read: at 12s: 11% of boxes go silent for 9s"},
	{"at 5s 11% of boxes go silent for 9s", `9:7: "11%" does not fit here`},
	{"at noon: box 1 dies", `9:4: "noon" does not fit here`},
	{"at 5s: box 1 pauses", "one that can be read: at 12s: box 3 pauses for 800ms"},
	{"at 5s: 10 boxes go silent for 3s", "9:8: 10 boxes of booking-front are to be hit, and 9 are up"},
	{"at 5s: 0 boxes go silent for 3s", "0 boxes of booking-front are to be hit"},
	{"at 5s: 120% of boxes go silent for 3s", "120% of the boxes is more than there are"},
	{"at 5s: box 12 goes silent for 3s", "9:8: there is no box 12 of booking-front: it has 9"},
	{"at 5s: box 1 of slot-keper dies", `unknown tier "slot-keper"; did you mean "slot-keeper"?`},
	{"at 25s: box 1 dies", "9:1: at 25s the morning is over: it is 20s long"},
	{"at 3s: box 1 dies\nat 5s: box 1 goes silent for 2s", "10:8: box 1 of booking-front is gone since 3s (line 9)"},
	{
		"at 3s: box 1 goes silent for 4s\nat 5s: box 1 pauses for 100ms",
		"10:8: box 1 of booking-front is busy with line 9 until 7s",
	},
	{
		"at 3s: all boxes go silent for 4s\nat 5s: 1 boxes drain for 1s",
		"1 boxes of booking-front are to be hit, and 0 are up and not hit by another line at 5s",
	},
	{"at 9s: 1 new boxes\nat 5s: box 10 dies", "10:8: there is no box 10 of booking-front: it has 9"},
	{"at 5s: 0 new boxes", "0 new boxes: 1 or more"},
	{"at 5s: 25000 new boxes of slot-keeper", "25000 new boxes: 1 or more, and 25000 in all at most"},
	{"at 5s: 250 new boxes", "250 more sidecars, one for each of these boxes: 256 at most"},
	{"at 5s: sidecar 3 gets SIGKILL", "there is no sidecar 3: there are 2"},
	{"at 5s: sidecar 1 gets SIGHUP and is back after 2s", "SIGHUP ends no sidecar"},
	{
		"at 5s: sidecar 1 gets SIGKILL and is back after 4s\nat 6s: sidecar 1 gets SIGTERM",
		"10:8: sidecar 1 is down until 9s, by another line",
	},
	{"at 5s: sidecar 1 gets SIGSTOP", "stands still for good"},
	{"at 5s: sidecar 1 gets SIGUSR1", `"SIGUSR1" does not fit here`},
	{"at 5s: 101% of the sidecars get SIGKILL", "is more than there are"},
	{"at 5s: box 1 is 0.5 times slower for 2s", "0.5 times slower: 1 to 1000"},
	{"at 5s: box 1 loses 150% of calls for 2s", "150% is more than all"},
	{"at 5s: load is 1000 times for 2s", "load is 100 times at most"},
	{"at 5s: 5000 rude callers for 2s", "5000 rude callers: 1 to 1000"},
	{"tier booking-front boxxes 3", `9:20: unknown key "boxxes"; did you mean "boxes"?`},
	{"tier booking-front boxes 3", "9:26: tier booking-front boxes is set twice, first in line 4"},
	{"tier slot-keeper queue", "9:18: queue takes a whole number from 0"},
	{"tier slot-keeper queue many", "9:24: queue takes a whole number from 0"},
	{"tier slot-keeper queue 2.5", "queue takes a whole number"},
	{"tier slot-keeper cores 0", "cores takes a whole number from 1"},
	{"tier slot-keeper speed 2..1", "speed takes a number or a range"},
	{"tier slot-keeper warm 9", "warm takes a time"},
	{"tier slot-keeper shape round", "shape takes one of fixed, exponential, lognormal, pareto"},
	{"tier slot-keeper thrash 0.1", "6:1: thrash_at: below 1"},
	{"tier slot-keeper 5", "9:18: the name of a key is expected here"},
	{"tier boxes 5", `9:6: "boxes" is a key: the name of the tier comes first`},
	{"tier", "9:1: tier needs a name behind it"},
	{"tier third boxes 2", "9:1: no tier calls third: put 'calls third' to slot-keeper"},
	{"tier slot-keeper calls booking-front", "9:24: a tier calls only tiers that come after it"},
	{"tier slot-keeper calls third", `9:24: unknown tier "third"`},
	{"class other window 1s effect keyed", "9:1: boxes remember keys for 1s, and callers repeat them for up to 3s"},
	{"class other aim 4s", "9:17: the aim, 4s, lies beyond the deadline, 3s"},
	{"class other effect harmless", "effect takes one of safe, keyed, unsafe"},
	{"callers rate 100/s", "callers rate is set twice"},
	{"callers shape 3", "shape takes one of steady, bursty, wave"},
	{"sidecars memory 192", "memory takes a size like 192MiB"},
	{"sidecars count 250", "9:1: 259 sidecars, 256 at most: 250 for callers, and one for each box"},
	{"rules copies perhaps", "copies takes one of yes, no"},
	{"discovery notice fast", "notice takes a time"},
	{"expect service above", "9:1: an expectation is like"},
	{"expect happiness above 3", `unknown figure "happiness"`},
	{"expect service over 0.9", `"over": above or below`},
	{"expect service above good", "a number is expected here"},
	{"length 40s", "length is set twice, first in line 2"},
	{"lenght 40s", `9:1: unknown section "lenght"; did you mean "length"?`}, //nolint:misspell // the script has it so
	{"seed 1 2", "seed takes a whole number"},
	{"title A test", "9:1: title takes a text in quotation marks"},
	{"\x00", "9:1:"},
	{`expect service above "0.9`, "9:"},
	{"at 5s: box 1 dies and more", `"and" does not fit here`},
	{
		"at 19s: all boxes of slot-keeper are replaced at new addres", //nolint:misspell // the script has it so
		`"addres" does not fit here`,                                  //nolint:misspell // likewise
	},
	{"at 5s: discovery is 9 behind for 3s", `"9" does not fit here`},
	{"at 5s: load is 1.5 for 10s", "one that can be read: at 12s: load is 1.5 times for 10s"},
	{"rules attempts 1..5", "attempts takes a whole number from 1 to 100"},
	{"sidecars sockets 10", "sockets takes a whole number from 64"},
	{"class other aim 0s", "aim takes a time from 1ms"},
	{"class book-trip", ""},
	{"at 5s: 11% of the boxes go silent for 9s # of the first tier", ""},
	{"   at 5s: box 2 of slot-keeper restarts taking 1s", ""},
	{"at 5s: all sidecars get SIGHUP\r", ""},
	{"at 19s: 50% of boxes of slot-keeper are replaced at new addresses over 3s", ""},
}

// Each invalid line has a finding with its line, its column and the error; valid lines have none.
func TestBroken(t *testing.T) {
	for _, test := range brokenLines {
		_, got := readScript(t, playableScript+test.line+"\n")
		if test.want == "" && got != "" || !strings.Contains(got, test.want) || test.want != "" && got == "" {
			t.Errorf("%q\n got: %s\nwant: %s", test.line, got, test.want)
		}
	}
	if _, got := readScript(t, "length 10s\n"); !strings.Contains(got, "no tier") {
		t.Errorf("script without a tier: got findings %q, want one with \"no tier\"", got)
	}
	if _, got := readScript(t, "tier a\n"); !strings.Contains(got, "no class") {
		t.Errorf("script without a class: got findings %q, want one with \"no class\"", got)
	}
	if _, got := readScript(t, strings.Repeat("#", MaxBytes+1)); !strings.Contains(got, "larger than") {
		t.Errorf("script of more than MaxBytes: got findings %q, want one with \"larger than\"", got)
	}
	if _, got := readScript(t, strings.Repeat("x y\n", maxLines+5)); !strings.Contains(got, "more than") {
		t.Errorf("script of more than maxLines: got findings %q, want one with \"more than\"", got)
	}
	if _, got := readScript(t, strings.Replace(playableScript, "100/s", "20000/s", 1)); !strings.Contains(got, "8:14: about 400000 requests") {
		t.Errorf("script with too many requests: got findings %q, want one about 400000 requests", got)
	}
}

// Read reports all errors of a script, not only the first.
func TestAllFindings(t *testing.T) {
	_, got := readScript(t, playableScript+"at 5s: box 1 dyes\nlenght 3s\nat 6s: box 2 dyes\n") //nolint:misspell // the script has it so
	if n := strings.Count(got, "\n") + 1; n != 3 {
		t.Errorf("script with 3 errors: got %d findings, want 3:\n%s", n, got)
	}
}

// The same script and seed give exactly the same plan; another seed gives another plan.
func TestSameSeedSamePlan(t *testing.T) {
	scenario, _ := readScript(t, playableScript+`at 3s: 30% of boxes of slot-keeper go silent for 4s
at 9s: 2 boxes drain for 3s
at 10s: 50% of the sidecars get SIGTERM and are back after 4s
`)
	text := func(seed uint64) string {
		p := scenario.Plan(seed)
		var b bytes.Buffer
		if err := p.WriteText(&b); err != nil {
			t.Fatal(err)
		}
		fmt.Fprint(&b, p.Servers, p.Arrivals, p.Windows)
		before, after := p.WorkOf("r1t1", 0, 1)
		fmt.Fprint(&b, before, after)
		return b.String()
	}
	if first := text(0); first != text(0) || first != text(7) {
		t.Error("seed 7, twice as the default and once given: got different plans, want equal ones")
	}
	if text(0) == text(8) {
		t.Error("seeds 7 and 8: got the same plan, want different ones")
	}
}

// The plan has the steps of each event, including the updates of discovery with their delays.
func TestSteps(t *testing.T) {
	scenario, _ := readScript(t, playableScript+`discovery notice 1s silent_notice 3s add 500ms
at 2s: box 4 of slot-keeper goes silent for 5s
at 4s: discovery is 2s behind for 2s
at 4500ms: box 2 of slot-keeper dies
at 10s: discovery is silent for 5s
at 11s: box 5 of slot-keeper drains for 3s
at 16s: box 6 of slot-keeper is replaced at its address
`)
	plan := scenario.Plan(0)
	var got []string
	for _, s := range plan.Steps {
		got = append(got, fmt.Sprintf("%v %s", s.At, plan.Describe(s)))
	}
	want := []string{
		"2s box 4 of slot-keeper goes silent",
		"4.5s box 2 of slot-keeper ends",
		"7s discovery hears that box 4 of slot-keeper is Gone", // noticed at 5 s, 2 s late
		"7s box 4 of slot-keeper starts",
		"7.5s discovery hears that box 4 of slot-keeper is Ready",
		"7.5s discovery hears that box 2 of slot-keeper is Gone",
		"10s discovery: silent",
		"14s box 5 of slot-keeper ends",
		"15s discovery: back",
		"15s discovery hears that box 5 of slot-keeper is Terminating",
		"15s discovery hears that box 5 of slot-keeper is Gone",
		"16s box 6 of slot-keeper ends",
		"17s box 21 of slot-keeper starts",
		"17s discovery hears that box 6 of slot-keeper is Gone",
		"17.5s discovery hears that box 21 of slot-keeper is Ready",
	}
	slices.Sort(got)
	slices.Sort(want)
	if strings.Join(got, "\n") != strings.Join(want, "\n") {
		t.Errorf("steps: got\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
	replaced := slices.IndexFunc(plan.Servers, func(s Server) bool { return s.Tier == 1 && s.Number == 6 })
	old, fresh := plan.Servers[replaced], plan.Servers[len(plan.Servers)-1]
	if fresh.Slot != old.Slot || fresh.Cell != old.Cell || fresh.UID == old.UID || fresh.StartsAt != 17*time.Second {
		t.Errorf("got server %+v as the replacement of %+v, want the same slot and cell, another UID and a start at 17s", fresh, old)
	}
}

// Callers arrive at the rate in the script, multiplied while a load event is active.
func TestArrivals(t *testing.T) {
	long := strings.NewReplacer("length 20s", "length 200s", "retries", "shape wave retries").Replace(playableScript)
	scenario, _ := readScript(t, long+"at 100s: load is 3 times for 100s\n")
	p := scenario.Plan(0)
	before := 0
	for i, a := range p.Arrivals {
		if a.At < 100*time.Second {
			before++
		}
		if i > 0 && a.At < p.Arrivals[i-1].At || a.Patience < 0.42 || a.Patience > 0.8 {
			t.Fatalf("arrival %d: got %+v, want the order of time and a patience from 0.42 to 0.8", i, a)
		}
	}
	after := len(p.Arrivals) - before
	if before < 9500 || before > 10500 || after < 29000 || after > 31000 {
		t.Errorf("got %d requests before and %d during a triple load, want about 10000 and 30000", before, after)
	}
}

// No two servers have the same ID, and no two that are up at the same time have the same address.
func TestServersAreDistinct(t *testing.T) {
	scenario, _ := readScript(t, playableScript+`at 3s: all boxes of slot-keeper are replaced at their addresses over 5s
at 12s: all boxes of slot-keeper are replaced at new addresses
`)
	plan := scenario.Plan(0)
	ids, startedAt := map[string]bool{}, map[int]time.Duration{}
	for _, s := range plan.Servers {
		if ids[s.UID] {
			t.Errorf("UID %s: got two servers with it, want one", s.UID)
		}
		ids[s.UID] = true
		if from, ok := startedAt[s.Slot]; ok && s.StartsAt <= from {
			t.Errorf("slot %d: got a server that starts at %v, want a start after %v, when the one before it started", s.Slot, s.StartsAt, from)
		}
		startedAt[s.Slot] = s.StartsAt
	}
	if len(plan.Servers) != 9+20*3 {
		t.Errorf("got %d servers, want 9 and 3 times 20", len(plan.Servers))
	}
}

// Every script in the library is valid and has a plan for several seeds.
func TestLibrary(t *testing.T) {
	names, err := filepath.Glob("../../../rehearsals/*.morning")
	if err != nil || len(names) < 15 {
		t.Fatalf("scripts of the library: got %d and error %v, want at least 15", len(names), err)
	}
	for _, name := range names {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		scenario, got := readScript(t, string(text))
		if got != "" {
			t.Errorf("%s: got findings %q, want none", name, got)
			continue
		}
		if scenario.Title == "" || len(scenario.events) == 0 && !strings.Contains(name, "calm") {
			t.Errorf("%s: got title %q and %d events, want a title and at least one event", name, scenario.Title, len(scenario.events))
		}
		for seed := range uint64(5) {
			scenario.Plan(seed + 1)
		}
	}
}

// For any text, Read returns either a scenario or findings that each have a line.
func TestAnyText(t *testing.T) {
	pieces := strings.Fields(playableScript + "at 5s: box boxes of go silent for 9s 11% all 3 new sidecar gets SIGKILL " +
		"load is times discovery behind rude callers dies \" # .. : , \x01 é 99999999999999999999")
	rapid.Check(t, func(t *rapid.T) {
		var b strings.Builder
		b.WriteString(playableScript)
		for range rapid.IntRange(1, 5).Draw(t, "lines") {
			b.WriteString(strings.Join(rapid.SliceOfN(rapid.SampledFrom(pieces), 1, 9).Draw(t, "words"), " ") + "\n")
		}
		var found finding.List
		if scenario := Read("m", []byte(b.String()), &found); (scenario == nil) != (found.Len() > 0) {
			t.Fatalf("got a scenario: %v, with %d findings; want either a scenario or findings", scenario != nil, found.Len())
		}
		for _, f := range found.All() {
			if f.Line < 1 {
				t.Fatalf("finding %q: got no line, want one", f)
			}
		}
	})
}

// Drawing a plan from any script without findings must not panic.
func FuzzRead(f *testing.F) {
	f.Add(playableScript)
	f.Add(playableScript + "at 5s: 11% of boxes go silent for 9s\n")
	f.Fuzz(func(_ *testing.T, text string) {
		var found finding.List
		if scenario := Read("m", []byte(text), &found); scenario != nil {
			scenario.Plan(3)
		}
	})
}
