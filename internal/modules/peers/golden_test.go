package peers

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"quincegap/internal/golden"
)

// The golden file has the texts of a view for people and tools: the causes of changes, the report as JSON, the lines about differences
// between views, and the names of confidences and states.
func TestGoldenReport(t *testing.T) {
	view := settledView(4, options)
	view.merge(Record{})
	view.merge(Record{Process: 9, Name: "n02", BornMillis: 5, Zone: "b", Version: "2", Incarnation: 3, State: Serving})
	view.MarkReachable(view.now, 9)
	view.MarkSuspect(view.now, 3)
	view.advance(options.SuspicionTimeout)
	view.MarkUnreachable(view.now, 4)
	view.SetState(view.now, Leaving)
	var output strings.Builder
	for _, c := range view.TakeChanges() {
		fmt.Fprintf(&output, "%v %s %s %s->%s by %q: %s\n", c.At, c.Name, FormatProcess(c.Process), c.From, c.To, c.Witness, c.Cause)
	}
	report := view.Report(view.now, func(process uint64) string { return fmt.Sprintf("10.0.0.%d:7946", process) })
	text, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	output.Write(text)
	other := Report{Name: "n05", Confidence: Partitioned.String(), Members: []MemberReport{{Name: "n77", InGroup: true}}}
	fleet := FleetReport{Own: report, Others: []Report{other}, Unresponsive: []string{"n06/0000000000000006"}}
	output.WriteString("\n" + strings.Join(fleet.Differences(), "\n") + "\n")
	for c := Changing; c <= Partitioned; c++ {
		output.WriteString(c.String() + "\n")
	}
	for s := State(0); s <= Gone+1; s++ {
		output.WriteString(s.String() + "\n")
	}
	golden.Text(t, "report.txt", []byte(output.String()))
}

// The golden file has the names of a share, which the Balancer gets, if this process does not own its name.
func TestGoldenShare(t *testing.T) {
	view := settledView(3, options)
	first := record(1, Serving)
	first.Process, first.BornMillis = 8, -1
	view.merge(first)
	view.MarkReachable(view.now, 8)
	view.MarkUnreachable(view.now, 3)
	view.advance(10 * time.Second)
	s, ok := view.Share(view.now)
	golden.Text(t, "share.txt", fmt.Appendf(nil, "%+q %v\n", s.Names, ok))
}
