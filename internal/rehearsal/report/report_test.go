package report

import (
	"bytes"
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"
	"time"

	"quincegap/internal/config/finding"
	"quincegap/internal/rehearsal/audit"
	"quincegap/internal/rehearsal/dryrun"
	"quincegap/internal/rehearsal/experiment"
	"quincegap/internal/rehearsal/scenario"
)

// play plays a short scenario, extended by the given lines, in virtual time.
func play(t *testing.T, extraLines string) *Run {
	t.Helper()
	var found finding.List
	short := scenario.Read("short.morning", []byte(`title "Boxes <b>go</b> & come"
length 6s
tier front boxes 4 cells 2 cores 2 slots 20 queue 5 work 20ms calls keeper
tier keeper boxes 5 cells 2 cores 2 slots 4 queue 5 work 15ms
class ask effect unsafe aim 500ms deadline 2s
callers rate 30/s
at 2s: 1 boxes go silent for 2s
at 3s: 60% of boxes of keeper pause for 300ms
`+extraLines), &found)
	if short == nil {
		t.Fatal(found.Err())
	}
	result, err := dryrun.Run(short.Plan(0))
	if err != nil {
		t.Fatal(err)
	}
	return &Run{Program: "quincegap", Plan: short.Plan(0), Verdict: result.Verdict}
}

// The outcome of a run is the worst that applies, and a void run has only the reason why it is void.
func TestOutcome(t *testing.T) {
	run := play(t, "expect service above 0.2\n")
	if outcome, reasons := run.Outcome(); outcome != OutcomeKept || len(reasons) > 0 {
		t.Fatalf("expectation met: outcome %v with reasons %q, want KEPT without reasons", outcome, reasons)
	}
	run = play(t, "expect service above 0.2\nexpect attempts below 0.5\n")
	outcome, reasons := run.Outcome()
	if outcome != OutcomeMissed || len(reasons) != 1 || !strings.Contains(reasons[0], "line 10: attempts is 1.") ||
		!strings.Contains(reasons[0], "expected below 0.5") {
		t.Fatalf("expectation not met: outcome %v with reasons %q, want MISSED with the reason of line 10", outcome, reasons)
	}
	run.Verdict.Crashes = []string{"1.000 s: n1 ended by itself"}
	run.Verdict.BreachesByRule[audit.DrainRespected] = 2
	if outcome, reasons := run.Outcome(); outcome != OutcomeBroken || len(reasons) != 3 {
		t.Fatalf("crash and breaches: outcome %v with reasons %q, want BROKEN with 3 reasons", outcome, reasons)
	}
	run.Verdict.VoidReason = "too slow"
	if outcome, reasons := run.Outcome(); outcome != OutcomeVoid || len(reasons) != 1 {
		t.Fatalf("void run: outcome %v with reasons %q, want VOID with 1 reason", outcome, reasons)
	}
}

// WriteScreen shows the time, the request and the server of a breach, and two programs side by side.
func TestScreen(t *testing.T) {
	first, second := play(t, ""), play(t, "")
	second.Program, second.Notes = "other", []string{"a note"}
	second.Verdict.BreachesByRule[audit.AtMostOnce] = 7
	for i := range 7 {
		second.Verdict.Breaches = append(second.Verdict.Breaches, audit.Breach{
			Rule: audit.AtMostOnce, At: 1234 * time.Millisecond, Request: fmt.Sprintf("r%dt1", i), Server: 4, Message: "sent again",
		})
	}
	second.Verdict.Excused = 3
	var b bytes.Buffer
	if err := WriteScreen(&b, first, second); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		"quincegap", "other", "KEPT quincegap", "BROKEN other", "no effect twice: broken 7 times",
		"1.234 s: no effect twice: r0t1: box 1 of keeper: sent again", "and 2 more", "3 breaches do not count", "a note",
	} {
		if !strings.Contains(b.String(), want) {
			t.Errorf("screen does not contain %q:\n%s", want, b.String())
		}
	}
	if n := strings.Count(b.String(), "\n"); n > 45 {
		t.Errorf("screen has %d lines, want at most 45", n)
	}
}

// Runs in virtual time and runs of processes are shown side by side, in either order.
func TestScreenOfVirtualAndRealRuns(t *testing.T) {
	virtual, measured := play(t, ""), play(t, "")
	virtual.Virtual, virtual.Program, measured.Program, measured.Memory = true, "simulated", "processes", 7<<20
	for name, runs := range map[string][]*Run{"measured first": {measured, virtual}, "virtual first": {virtual, measured}} {
		var screen bytes.Buffer
		if err := WriteScreen(&screen, runs...); err != nil {
			t.Fatal(err)
		}
		for line := range strings.Lines(screen.String()) {
			if fields := strings.Fields(line); strings.Contains(line, "largest memory") && (!slices.Contains(fields, notMeasured) || !strings.Contains(line, "7 MiB")) {
				t.Errorf("%s: got the line %q, want 7 MiB and %s", name, line, notMeasured)
			}
		}
		if strings.Count(screen.String(), "largest memory") != 1 || strings.Count(screen.String(), "emulator late by at most") != 1 {
			t.Errorf("%s: the figures of the measured run are not shown once:\n%s", name, screen.String())
		}
	}
}

// A tier without servers has no heat map.
func TestServerChartWithoutServers(t *testing.T) {
	run := play(t, "")
	if svg, err := run.serverChart(len(run.Plan.Tiers)); svg != "" || err != nil {
		t.Errorf("heat map of a tier without servers: got %q, error %v; want none", svg, err)
	}
}

// checkWellFormed fails the test unless the page parses as XML, which is stricter than browsers.
func checkWellFormed(t *testing.T, page string) {
	t.Helper()
	decoder := xml.NewDecoder(strings.NewReader(strings.Replace(page, "<!doctype html>", "", 1)))
	decoder.Strict, decoder.AutoClose, decoder.Entity = true, xml.HTMLAutoClose, xml.HTMLEntity
	for {
		if _, err := decoder.Token(); errors.Is(err, io.EOF) {
			return
		} else if err != nil {
			t.Fatalf("page is not well-formed XML: %v", err)
		}
	}
}

// The page is self-contained, shows charts, events and traces, and escapes the script's texts.
func TestPage(t *testing.T) {
	var output bytes.Buffer
	if err := WritePage(&output, time.Unix(0, 0), play(t, ""), play(t, "")); err != nil {
		t.Fatal(err)
	}
	page := output.String()
	checkWellFormed(t, page)
	if n := strings.Count(page, "<svg"); n != 8 {
		t.Errorf("page has %d charts, want 8: callers, attempts and two tiers, for each of two runs", n)
	}
	for _, want := range []string{
		"Boxes &lt;b&gt;go&lt;/b&gt; &amp; come", "front ", ": silent", "keeper ", "stand still", "attempt 1 comes to",
		"1970-01-01 00:00 UTC",
	} {
		if !strings.Contains(page, want) {
			t.Errorf("page does not contain %q", want)
		}
	}
	for _, bad := range []string{"<script", "http://", "https://", "src="} {
		if strings.Contains(strings.NewReplacer("http://www.w3.org/", "", "https://www.w3.org/", "").Replace(page), bad) {
			t.Errorf("page contains %q, want none: it must not load other files", bad)
		}
	}
}

// WritePage also handles a scenario of one second with one server, which is too small for a heat map.
func TestPageOfSmallScenario(t *testing.T) {
	var found finding.List
	small := scenario.Read("m", []byte("length 1s\ntier a boxes 1\nclass ask\ncallers rate 2/s\n"), &found)
	result, err := dryrun.Run(small.Plan(0))
	if err != nil {
		t.Fatal(err)
	}
	var b bytes.Buffer
	if err := WritePage(&b, time.Now(), &Run{Plan: small.Plan(0), Verdict: result.Verdict, Virtual: true}); err != nil {
		t.Fatal(err)
	}
	checkWellFormed(t, b.String())
}

// The page of an experiment has a curve only if there is more than one load, and marks breaches.
func TestExperimentPage(t *testing.T) {
	scenarios := []*scenario.Scenario{play(t, "").Plan.Scenario}
	points := []experiment.Point{
		{Load: 0.5, Runs: 3, Service: experiment.Figure{Mean: 0.99, HalfInterval: 0.01, Min: 0.98}},
		{Load: 2, Runs: 3, Service: experiment.Figure{Mean: 0.5, HalfInterval: 0.1, Min: 0.4}, Breaches: 1},
	}
	var page, table bytes.Buffer
	if err := WriteExperimentPage(&page, time.Now(), scenarios, points); err != nil {
		t.Fatal(err)
	}
	checkWellFormed(t, page.String())
	if strings.Count(page.String(), "<svg") != 1 || !strings.Contains(page.String(), `class="bad">1`) ||
		!strings.Contains(page.String(), "0.9900 ± 0.0100") {
		t.Errorf("page lacks the single curve, the marked breach or the service figure:\n%s", page.String())
	}
	if err := WriteTable(&table, scenarios, points); err != nil || strings.Count(table.String(), "\n") != 3 ||
		!strings.Contains(table.String(), "short") {
		t.Errorf("table: error %v, want none, 3 lines and the scenario name:\n%s", err, table.String())
	}
	page.Reset()
	if err := WriteExperimentPage(&page, time.Now(), scenarios, points[:1]); err != nil || strings.Contains(page.String(), "<svg") {
		t.Errorf("page of one point: error %v, curve drawn %v, want neither", err, strings.Contains(page.String(), "<svg"))
	}
}
