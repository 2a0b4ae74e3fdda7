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

// BenchmarkSevenInTenDie runs the rehearsal seven-in-ten-die at some rates, with sidecar processes that find one another and with ones that
// do not. It reports the share of calls that were served, and the number of servers that got no call for 3 s or longer while the seven
// sidecars were dead. Run it with a built program:
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
					rehearseDeaths(b, program, script, found == "yes")
				}
			})
		}
	}
}

// rehearseDeaths runs the script of a rehearsal and reports the metrics. found is whether the sidecars find one another in it.
func rehearseDeaths(b *testing.B, program, script string, found bool) {
	b.Helper()
	var findings finding.List
	plan := scenario.Read("seven", []byte(script), &findings)
	if plan == nil {
		b.Fatal(findings.Err())
	}
	dir := b.TempDir()
	var begins time.Time
	var events []audit.Event
	result, err := rehearse.Run(b.Context(), plan.Plan(0), rehearse.Options{
		Program:  program,
		Dir:      dir,
		Progress: func(p rehearse.Progress) { begins = time.Now().Add(-p.At) },
		Events:   func(e []audit.Event) { events = e },
	})
	if err != nil {
		b.Fatal(err)
	}
	verdict := result.Verdict
	uncalled, longest := countUncalledServers(verdict.AttemptsByServer)
	if found {
		known := lastKnown(b, dir, begins)
		b.ReportMetric(known.Seconds()-10, "known-s")
		b.ReportMetric(uncalledAfter(events, len(verdict.AttemptsByServer), known, 30*time.Second).Seconds(), "uncalled-after-known-s")
	}
	b.ReportMetric(100*verdict.Service, "service-%")
	b.ReportMetric(100*verdict.WorstService, "worst10s-%")
	b.ReportMetric(float64(uncalled), "uncalled")
	b.ReportMetric(float64(longest), "longest-s")
	b.ReportMetric(float64(len(verdict.Breaches)), "breaches")
	b.ReportMetric(verdict.MaxLateness.Seconds()*1000, "emulator-late-ms")
}

// countUncalledServers returns the number of servers that got no call for 3 s or longer while the seven sidecars were dead. loads has the
// number of calls of each server in each second. It also returns the longest time without a call, in seconds.
func countUncalledServers(loads [][]int) (uncalled, longest int) {
	for _, seconds := range loads {
		current, most := 0, 0
		for second := 10; second < min(30, len(seconds)); second++ {
			current++
			if seconds[second] > 0 {
				current = 0
			}
			most = max(most, current)
		}
		longest = max(longest, most)
		if most >= 3 {
			uncalled++
		}
	}
	return uncalled, longest
}

// lastKnown returns when the last of the surviving sidecars noticed the last of the seven deaths, by their logs, as the time since the
// rehearsal began.
func lastKnown(b *testing.B, dir string, begins time.Time) (known time.Duration) {
	b.Helper()
	logs, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil || len(logs) == 0 {
		b.Fatalf("found no logs of sidecars in %s, error %v", dir, err)
	}
	day := begins.Truncate(24 * time.Hour)
	for _, path := range logs {
		text, err := os.ReadFile(path)
		if err != nil {
			b.Fatal(err)
		}
		if strings.Count(string(text), ": serving on") > 1 {
			continue // the sidecar was killed and started again
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

// uncalledAfter returns the longest time from the given moment until a server got its next call. A server that got none until end counts
// with the time until end.
func uncalledAfter(events []audit.Event, servers int, from, end time.Duration) (longest time.Duration) {
	first := make([]time.Duration, servers)
	for i := range first {
		first[i] = end
	}
	for _, event := range events {
		if event.Kind == audit.AttemptReceived && event.Server >= 0 && event.Server < servers && event.At >= from {
			first[event.Server] = min(first[event.Server], event.At)
		}
	}
	return slices.Max(first) - from
}

// BenchmarkPeers measures, with processes and default settings, the time until all members have settled after a start, a death, a join, and
// the begin and the end of a partition into halves. It also measures the CPU time and memory of a process while nothing changes.
//
//	go test ./cmd/quincegap -run '^$' -bench Peers -benchtime 1x
func BenchmarkPeers(b *testing.B) {
	for _, members := range []int{3, 10, 20} {
		b.Run(fmt.Sprint(members), func(b *testing.B) {
			for range b.N {
				rig := newPeersRig(b, members, 1, "")
				all, names := firstMembers(members)
				pause := func() { time.Sleep(25 * time.Second) } // longer than DampFor, so that no member counts as flapping
				measure := func(what string, confidence peers.Confidence, group, asked []int) {
					began := time.Now()
					rig.awaitViews(what, confidence, group, asked...)
					b.ReportMetric(time.Since(began).Seconds(), what+"-s")
				}
				rig.start(all...)
				measure("start", peers.Settled, all, all)
				used := 0.0
				for _, member := range rig.members {
					used -= cpuSeconds(b, member.cmd.Process.Pid)
				}
				const quiet = 10 * time.Second
				time.Sleep(quiet)
				resident := 0.0
				for _, member := range rig.members {
					used += cpuSeconds(b, member.cmd.Process.Pid)
					resident = max(resident, kilobytes(processStatus(b, member.cmd.Process.Pid), "VmRSS:"))
				}
				b.ReportMetric(1000*used/float64(members)/quiet.Seconds(), "cpu-ms/s")
				b.ReportMetric(resident/1024, "rss-MiB")
				rig.kill(members - 1)
				measure("death", peers.Settled, all[:members-1], all[:members-1])
				rig.start(members - 1)
				measure("join", peers.Settled, all, all)
				pause()
				rig.net.Partition(names[:members/2], names[members/2:], true)
				rig.net.Partition(names[members/2:], names[:members/2], true)
				larger := peers.Settled
				if members%2 == 0 {
					larger = peers.Partitioned
				}
				measure("cut", larger, all[members/2:], all[members/2:])
				rig.awaitViews("the other half notices the partition", peers.Partitioned, all[:members/2], all[:members/2]...)
				pause()
				rig.net.Heal()
				measure("healed", peers.Settled, all, all)
			}
		})
	}
}
