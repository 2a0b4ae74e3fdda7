package main

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"quincegap/internal/config/finding"
	"quincegap/internal/modules/peers"
	"quincegap/internal/rehearsal/audit"
	"quincegap/internal/rehearsal/rehearse"
	"quincegap/internal/rehearsal/scenario"
)

// BenchmarkSevenInTenDie plays rehearsals/seven-in-ten-die.morning with sidecar processes that find one another, and with such
// that do not, at some rates. It reports the service, and of the boxes how many nobody called for 3 s or longer while the seven
// were dead. Run it with a built program:
//
//	go build -o bin/ ./cmd/quincegap && QUINCEGAP=$PWD/bin/quincegap go test ./cmd/quincegap -run '^$' -bench SevenInTen -benchtime 1x
func BenchmarkSevenInTenDie(b *testing.B) {
	program := os.Getenv("QUINCEGAP")
	if program == "" {
		b.Skip("QUINCEGAP names no program")
	}
	text, err := os.ReadFile("../../rehearsals/seven-in-ten-die.morning")
	if err != nil {
		b.Fatal(err)
	}
	for _, rate := range []string{"700/s", "1100/s"} {
		for _, found := range []string{"yes", "no"} {
			b.Run(fmt.Sprintf("%s/peers=%s", strings.TrimSuffix(rate, "/s"), found), func(b *testing.B) {
				for range b.N {
					script := strings.NewReplacer("peers yes", "peers "+found, "700/s", rate).Replace(string(text))
					playSeven(b, program, script, found == "yes")
				}
			})
		}
	}
}

// playSeven plays a script, in which sidecars find one another or not, and reports.
func playSeven(b *testing.B, program, script string, found bool) {
	b.Helper()
	var list finding.List
	m := scenario.Read("seven", []byte(script), &list)
	if m == nil {
		b.Fatal(list.Err())
	}
	dir := b.TempDir()
	var begins time.Time
	var events []audit.Event
	r, err := rehearse.Run(b.Context(), m.Plan(0), rehearse.Options{
		Program: program, Dir: dir,
		Progress: func(p rehearse.Progress) { begins = time.Now().Add(-p.At) }, Events: func(e []audit.Event) { events = e },
	})
	if err != nil {
		b.Fatal(err)
	}
	v := r.Verdict
	uncalled, longest := uncalledBoxes(v.AttemptsByServer)
	if found {
		known := lastKnown(b, dir, begins)
		b.ReportMetric(known.Seconds()-10, "known-s")
		b.ReportMetric(uncalledAfter(events, len(v.AttemptsByServer), known, 30*time.Second).Seconds(), "uncalled-after-known-s")
	}
	b.ReportMetric(100*v.Service, "service-%")
	b.ReportMetric(100*v.WorstService, "worst10s-%")
	b.ReportMetric(float64(uncalled), "uncalled")
	b.ReportMetric(float64(longest), "longest-s")
	b.ReportMetric(float64(len(v.Breaches)), "breaches")
	b.ReportMetric(v.MaxLateness.Seconds()*1000, "emulator-late-ms")
}

// uncalledBoxes counts the boxes that nobody called for 3 s or longer while the seven were dead, by their calls a second; longest
// is how many seconds that was at most.
func uncalledBoxes(loads [][]int) (uncalled, longest int) {
	for _, seconds := range loads {
		run, most := 0, 0
		for s := 10; s < min(30, len(seconds)); s++ {
			run++
			if seconds[s] > 0 {
				run = 0
			}
			most = max(most, run)
		}
		longest = max(longest, most)
		if most >= 3 {
			uncalled++
		}
	}
	return uncalled, longest
}

// lastKnown is when the last death of the seven was known to the last sidecar that lived on, by their logs.
func lastKnown(b *testing.B, dir string, begins time.Time) (known time.Duration) {
	b.Helper()
	logs, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil || len(logs) == 0 {
		b.Fatal("no logs", err)
	}
	day := begins.Truncate(24 * time.Hour)
	for _, path := range logs {
		text, err := os.ReadFile(path)
		if err != nil {
			b.Fatal(err)
		}
		if strings.Count(string(text), ": serving on") > 1 {
			continue // it died
		}
		for line := range strings.Lines(string(text)) {
			at, err := time.Parse("15:04:05.000000", line[:min(len(line), 15)])
			if err != nil || !strings.Contains(line, "INFO peer ") || !strings.Contains(line, "to=gone") {
				continue
			}
			since := day.Add(at.Sub(at.Truncate(24 * time.Hour))).Sub(begins)
			if since > 10*time.Second && since < 29*time.Second {
				known = max(known, since)
			}
		}
	}
	return known
}

// uncalledAfter is the longest time from a moment on until a box was called, or until the end.
func uncalledAfter(events []audit.Event, boxes int, from, end time.Duration) (longest time.Duration) {
	first := make([]time.Duration, boxes)
	for i := range first {
		first[i] = end
	}
	for _, e := range events {
		if e.Kind == audit.AttemptReceived && e.Server >= 0 && e.Server < boxes && e.At >= from {
			first[e.Server] = min(first[e.Server], e.At)
		}
	}
	return slices.Max(first) - from
}

// BenchmarkPeers measures, with processes and the settings' defaults, how long it takes until all have settled after a start, a
// death, a join and a healed cut into halves, and what the view costs a process in a quiet time.
//
//	go test ./cmd/quincegap -run '^$' -bench Peers -benchtime 1x
func BenchmarkPeers(b *testing.B) {
	for _, n := range []int{3, 10, 20} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for range b.N {
				g := newPeersRig(b, n, 1, "")
				all, names := firstMembers(n)
				still := func() { time.Sleep(25 * time.Second) } // above DampFor: nobody comes and goes too often
				timed := func(what string, confidence peers.Confidence, of, ask []int) {
					began := time.Now()
					g.until(what, confidence, of, ask...)
					b.ReportMetric(time.Since(began).Seconds(), what+"-s")
				}
				g.start(all...)
				timed("start", peers.Settled, all, all)
				used := 0.0
				for _, m := range g.members {
					used -= ticks(b, m.cmd.Process.Pid)
				}
				const quiet = 10 * time.Second
				time.Sleep(quiet)
				resident := 0.0
				for _, m := range g.members {
					used += ticks(b, m.cmd.Process.Pid)
					resident = max(resident, kilobytes(processStatus(b, m.cmd.Process.Pid), "VmRSS:"))
				}
				b.ReportMetric(1000*used/float64(n)/quiet.Seconds(), "cpu-ms/s")
				b.ReportMetric(resident/1024, "rss-MiB")
				g.kill(n - 1)
				timed("death", peers.Settled, all[:n-1], all[:n-1])
				g.start(n - 1)
				timed("join", peers.Settled, all, all)
				still()
				g.net.Partition(names[:n/2], names[n/2:], true)
				g.net.Partition(names[n/2:], names[:n/2], true)
				larger := peers.Settled
				if n%2 == 0 {
					larger = peers.Partitioned
				}
				timed("cut", larger, all[n/2:], all[n/2:])
				g.until("the other side", peers.Partitioned, all[:n/2], all[:n/2]...)
				still()
				g.net.Heal()
				timed("healed", peers.Settled, all, all)
			}
		})
	}
}
