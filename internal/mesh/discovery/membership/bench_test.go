package membership

import (
	"fmt"
	"runtime/debug"
	"testing"
	"time"
)

// BenchmarkQuiet reports the bytes and messages per member and second of virtual time, measured from 15 s after all members have joined,
// and the CPU time per member and virtual second that the simulation takes.
func BenchmarkQuiet(b *testing.B) {
	sizes := []fleetSize{
		{members: 18, cores: 1, seeds: 3, zones: zoneNames(4)},
		{members: 200, cores: 10, seeds: 3, zones: zoneNames(4)},
		{members: 600, cores: 15, seeds: 3, zones: zoneNames(8)},
		{members: 2000, cores: 15, seeds: 3, zones: zoneNames(16)},
	}
	for _, size := range sizes {
		b.Run(fmt.Sprintf("members=%d", size.members), func(b *testing.B) {
			defer debug.SetGCPercent(debug.SetGCPercent(800))
			for range b.N {
				benchmarkQuiet(b, size)
			}
		})
	}
}

// benchmarkQuiet simulates one fleet and reports its traffic.
func benchmarkQuiet(b *testing.B, size fleetSize) {
	b.Helper()
	const measured = 10 * time.Second
	fleet := startFleet(b, 1, size)
	joined := 1 * time.Second
	fleet.run(joined, nil)
	for ; joined < 30*time.Second && !fleet.converged(size.zones, nil); joined += time.Second {
		fleet.run(time.Second, nil)
	}
	fleet.run(15*time.Second, nil)
	fleet.traffic = traffic{}
	began := time.Now()
	fleet.run(measured, nil)
	n := float64(size.members) * measured.Seconds()
	b.ReportMetric(joined.Seconds(), "s/join")
	b.ReportMetric(float64(fleet.traffic.bytes)/n, "B/member/s")
	b.ReportMetric(float64(fleet.traffic.messages)/n, "messages/member/s")
	b.ReportMetric(float64(time.Since(began).Microseconds())/n, "µs/member/s")
	b.ReportMetric(float64(fleet.traffic.changes), "changes")
}
