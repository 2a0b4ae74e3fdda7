package report

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"regexp"
	"testing"
	"time"

	"quincegap/internal/golden"
	"quincegap/internal/rehearsal/audit"
	"quincegap/internal/rehearsal/experiment"
	"quincegap/internal/rehearsal/scenario"
)

// The summary and the page of a fixed run match their golden files. The page's golden file has digests in place of the charts.
func TestGoldenReports(t *testing.T) {
	first, second := play(t, "expect service above 0.99\n"), play(t, "")
	second.Program = "other"
	second.Notes = []string{"a note"}
	second.Verdict.BreachesByRule[audit.AtMostOnce] = 1
	second.Verdict.Excused = 3
	second.Verdict.Breaches = []audit.Breach{
		{Rule: audit.AtMostOnce, At: 1234 * time.Millisecond, Request: "r1", Server: 4, Message: "sent again"},
	}
	second.Verdict.Crashes = []string{"1.000 s: n1 ended by itself"}
	var screen, page bytes.Buffer
	if err := WriteScreen(&screen, first, second); err != nil {
		t.Fatal(err)
	}
	golden.Text(t, "screen.txt", screen.Bytes())
	if err := WritePage(&page, time.Unix(0, 0), first, second); err != nil {
		t.Fatal(err)
	}
	golden.Text(t, "page.html", digestCharts(page.Bytes()))
}

// The page and the table of a fixed experiment match their golden files.
func TestGoldenExperimentPage(t *testing.T) {
	scenarios := []*scenario.Scenario{play(t, "").Plan.Scenario}
	points := []experiment.Point{
		{Load: 0.5, Runs: 3, Service: experiment.Figure{Mean: 0.99, HalfInterval: 0.01, Min: 0.98}},
		{Load: 2, Runs: 3, Service: experiment.Figure{Mean: 0.5, HalfInterval: 0.1, Min: 0.4}, Breaches: 1},
	}
	var page, table bytes.Buffer
	if err := WriteExperimentPage(&page, time.Unix(0, 0), scenarios, points); err != nil {
		t.Fatal(err)
	}
	golden.Text(t, "experiment.html", digestCharts(page.Bytes()))
	if err := WriteTable(&table, scenarios, points); err != nil {
		t.Fatal(err)
	}
	golden.Text(t, "experiment.txt", table.Bytes())
}

// chartPattern matches the charts of a page.
var chartPattern = regexp.MustCompile(`(?s)<svg.*?</svg>`)

// digestCharts replaces each chart of a page by its SHA-256 digest.
func digestCharts(page []byte) []byte {
	return chartPattern.ReplaceAllFunc(page, func(chart []byte) []byte {
		return fmt.Appendf(nil, "<svg digest=%x/>", sha256.Sum256(chart))
	})
}
