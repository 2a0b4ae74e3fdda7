package report

import (
	"bytes"
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"quincegap/internal/config/finding"
	"quincegap/internal/rehearsal/audit"
	"quincegap/internal/rehearsal/dryrun"
	"quincegap/internal/rehearsal/experiment"
	"quincegap/internal/rehearsal/scenario"
)

func play(t *testing.T, more string) *Run {
	t.Helper()
	var found finding.List
	m := scenario.Read("short.morning", []byte(`title "Boxes <b>go</b> & come"
length 6s
tier front boxes 4 cells 2 cores 2 slots 20 queue 5 work 20ms calls keeper
tier keeper boxes 5 cells 2 cores 2 slots 4 queue 5 work 15ms
class ask effect unsafe aim 500ms deadline 2s
callers rate 30/s
at 2s: 1 boxes go silent for 2s
at 3s: 60% of boxes of keeper pause for 300ms
`+more), &found)
	if m == nil {
		t.Fatal(found.Err())
	}
	r, err := dryrun.Run(m.Plan(0))
	if err != nil {
		t.Fatal(err)
	}
	return &Run{Program: "quincegap", Plan: m.Plan(0), Verdict: r.Verdict}
}

// The word on a play is the worst that there is to say of it, and a void run says nothing else.
func TestOutcome(t *testing.T) {
	p := play(t, "expect service above 0.2\n")
	if o, why := p.Outcome(); o != OutcomeKept || len(why) > 0 {
		t.Fatal(o, why)
	}
	p = play(t, "expect service above 0.2\nexpect attempts below 0.5\n")
	if o, why := p.Outcome(); o != OutcomeMissed || len(why) != 1 || !strings.Contains(why[0], "line 10: attempts is 1.") || !strings.Contains(why[0], "expected below 0.5") {
		t.Fatal(o, why)
	}
	p.Verdict.Crashes = []string{"1.000 s: n1 ended by itself"}
	p.Verdict.BreachesByRule[audit.DrainRespected] = 2
	if o, why := p.Outcome(); o != OutcomeBroken || len(why) != 3 {
		t.Fatal(o, why)
	}
	p.Verdict.VoidReason = "too slow"
	if o, why := p.Outcome(); o != OutcomeVoid || len(why) != 1 {
		t.Fatal(o, why)
	}
}

// The screen names the second, the request and the box of a breach, and shows two builds side by side.
func TestScreen(t *testing.T) {
	p, q := play(t, ""), play(t, "")
	q.Program, q.Notes = "other", []string{"a note"}
	q.Verdict.BreachesByRule[audit.AtMostOnce] = 7
	for i := range 7 {
		q.Verdict.Breaches = append(q.Verdict.Breaches, audit.Breach{Rule: audit.AtMostOnce, At: 1234 * time.Millisecond, Request: fmt.Sprintf("r%dt1", i), Server: 4, Message: "sent again"})
	}
	q.Verdict.Excused = 3
	var b bytes.Buffer
	if err := WriteScreen(&b, p, q); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		"quincegap", "other", "KEPT quincegap", "BROKEN other", "no effect twice: broken 7 times",
		"1.234 s: no effect twice: r0t1: box 1 of keeper: sent again", "and 2 more", "3 breaches do not count", "a note",
	} {
		if !strings.Contains(b.String(), want) {
			t.Errorf("no %q in\n%s", want, b.String())
		}
	}
	if n := strings.Count(b.String(), "\n"); n > 45 {
		t.Errorf("%d lines are more than a screen", n)
	}
}

// wellFormed reads a page as XML does, which is stricter than browsers are.
func wellFormed(t *testing.T, page string) {
	t.Helper()
	d := xml.NewDecoder(strings.NewReader(strings.Replace(page, "<!doctype html>", "", 1)))
	d.Strict, d.AutoClose, d.Entity = true, xml.HTMLAutoClose, xml.HTMLEntity
	for {
		if _, err := d.Token(); errors.Is(err, io.EOF) {
			return
		} else if err != nil {
			t.Fatal(err)
		}
	}
}

// The page is one file that needs nothing beside it, with charts, events and stories; what a script says is text in it.
func TestPage(t *testing.T) {
	var b bytes.Buffer
	if err := WritePage(&b, time.Unix(0, 0), play(t, ""), play(t, "")); err != nil {
		t.Fatal(err)
	}
	page := b.String()
	wellFormed(t, page)
	if n := strings.Count(page, "<svg"); n != 8 {
		t.Errorf("%d charts, want 8: callers, attempts and two tiers of two plays", n)
	}
	for _, want := range []string{"Boxes &lt;b&gt;go&lt;/b&gt; &amp; come", "front ", ": silent", "keeper ", "stand still", "attempt 1 comes to", "1970-01-01 00:00 UTC"} {
		if !strings.Contains(page, want) {
			t.Errorf("no %q", want)
		}
	}
	for _, bad := range []string{"<script", "http://", "https://", "src="} {
		if strings.Contains(strings.NewReplacer("http://www.w3.org/", "", "https://www.w3.org/", "").Replace(page), bad) {
			t.Errorf("%q in the page", bad)
		}
	}
}

// A morning of one second, or of one box, has a page too.
func TestPageOfLittle(t *testing.T) {
	var found finding.List
	m := scenario.Read("m", []byte("length 1s\ntier a boxes 1\nclass ask\ncallers rate 2/s\n"), &found)
	r, err := dryrun.Run(m.Plan(0))
	if err != nil {
		t.Fatal(err)
	}
	var b bytes.Buffer
	if err := WritePage(&b, time.Now(), &Run{Plan: m.Plan(0), Verdict: r.Verdict, Virtual: true}); err != nil {
		t.Fatal(err)
	}
	wellFormed(t, b.String())
}

func TestExperimentPage(t *testing.T) {
	p := play(t, "")
	mornings := []*scenario.Scenario{p.Plan.Scenario}
	points := []experiment.Point{{Load: 0.5, Runs: 3, Service: experiment.Figure{Mean: 0.99, HalfInterval: 0.01, Min: 0.98}}, {Load: 2, Runs: 3, Service: experiment.Figure{Mean: 0.5, HalfInterval: 0.1, Min: 0.4}, Breaches: 1}}
	var page, table bytes.Buffer
	if err := WriteExperimentPage(&page, time.Now(), mornings, points); err != nil {
		t.Fatal(err)
	}
	wellFormed(t, page.String())
	if strings.Count(page.String(), "<svg") != 1 || !strings.Contains(page.String(), `class="bad">1`) || !strings.Contains(page.String(), "0.9900 ± 0.0100") {
		t.Error(page.String())
	}
	if err := WriteTable(&table, mornings, points); err != nil || strings.Count(table.String(), "\n") != 3 || !strings.Contains(table.String(), "short") {
		t.Error(err, table.String())
	}
	page.Reset()
	if err := WriteExperimentPage(&page, time.Now(), mornings, points[:1]); err != nil || strings.Contains(page.String(), "<svg") {
		t.Error("a curve of one point", err)
	}
}
