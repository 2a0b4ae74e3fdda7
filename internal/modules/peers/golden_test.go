package peers

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"quincegap/internal/golden"
)

// What people and tools read of a view: the report as JSON, the names of states and confidences, the causes of changes, and the
// lines that say how two views differ.
func TestGoldenReport(t *testing.T) {
	b := settledView(4, options)
	b.merge(Record{})
	b.merge(Record{Process: 9, Name: "n02", BornMillis: 5, Zone: "b", Version: "2", Incarnation: 3, State: Serving})
	b.MarkReachable(b.now, 9)
	b.MarkSuspect(b.now, 3)
	b.advance(options.SuspicionTimeout)
	b.MarkUnreachable(b.now, 4)
	b.SetState(b.now, Leaving)
	var all strings.Builder
	for _, c := range b.TakeChanges() {
		fmt.Fprintf(&all, "%v %s %s %s->%s by %q: %s\n", c.At, c.Name, FormatProcess(c.Process), c.From, c.To, c.Witness, c.Cause)
	}
	report := b.Report(b.now, func(process uint64) string { return fmt.Sprintf("10.0.0.%d:7946", process) })
	text, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	all.Write(text)
	other := Report{Name: "n05", Confidence: Partitioned.String(), Members: []MemberReport{{Name: "n77", InGroup: true}}}
	f := FleetReport{Own: report, Others: []Report{other}, Unresponsive: []string{"n06/0000000000000006"}}
	all.WriteString("\n" + strings.Join(f.Differences(), "\n") + "\n")
	for c := Changing; c <= Partitioned; c++ {
		all.WriteString(c.String() + "\n")
	}
	for s := State(0); s <= Gone+1; s++ {
		all.WriteString(s.String() + "\n")
	}
	golden.Text(t, "report.txt", []byte(all.String()))
}

// The names and shares that an application's load balancers compute from a view, for a name that two processes have.
func TestGoldenShare(t *testing.T) {
	b := settledView(3, options)
	first := record(1, Serving)
	first.Process, first.BornMillis = 8, -1
	b.merge(first)
	b.MarkReachable(b.now, 8)
	b.MarkUnreachable(b.now, 3)
	b.advance(10 * time.Second)
	s, ok := b.Share(b.now)
	golden.Text(t, "share.txt", fmt.Appendf(nil, "%+q %v\n", s.Names, ok))
}
