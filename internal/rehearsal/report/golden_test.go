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

// The screen and the page of a fixed run are what they always were; of each chart the page's file holds a digest.
func TestGoldenReports(t *testing.T) {
	p, q := play(t, "expect service above 0.99\n"), play(t, "")
	q.Program = "other"
	q.Notes = []string{"a note"}
	q.Verdict.BreachesByRule[audit.AtMostOnce] = 1
	q.Verdict.Excused = 3
	q.Verdict.Breaches = []audit.Breach{{Rule: audit.AtMostOnce, At: 1234 * time.Millisecond, Request: "r1", Server: 4, Message: "sent again"}}
	q.Verdict.Crashes = []string{"1.000 s: n1 ended by itself"}
	var screen, page bytes.Buffer
	if err := WriteScreen(&screen, p, q); err != nil {
		t.Fatal(err)
	}
	golden.Text(t, "screen.txt", screen.Bytes())
	if err := WritePage(&page, time.Unix(0, 0), p, q); err != nil {
		t.Fatal(err)
	}
	golden.Text(t, "page.html", digestCharts(page.Bytes()))
}

func TestGoldenExperimentPage(t *testing.T) {
	mornings := []*scenario.Scenario{play(t, "").Plan.Scenario}
	points := []experiment.Point{
		{Load: 0.5, Runs: 3, Service: experiment.Figure{Mean: 0.99, HalfInterval: 0.01, Min: 0.98}},
		{Load: 2, Runs: 3, Service: experiment.Figure{Mean: 0.5, HalfInterval: 0.1, Min: 0.4}, Breaches: 1},
	}
	var page, table bytes.Buffer
	if err := WriteExperimentPage(&page, time.Unix(0, 0), mornings, points); err != nil {
		t.Fatal(err)
	}
	golden.Text(t, "experiment.html", digestCharts(page.Bytes()))
	if err := WriteTable(&table, mornings, points); err != nil {
		t.Fatal(err)
	}
	golden.Text(t, "experiment.txt", table.Bytes())
}

var chartPattern = regexp.MustCompile(`(?s)<svg.*?</svg>`)

func digestCharts(page []byte) []byte {
	return chartPattern.ReplaceAllFunc(page, func(chart []byte) []byte { return fmt.Appendf(nil, "<svg digest=%x/>", sha256.Sum256(chart)) })
}
