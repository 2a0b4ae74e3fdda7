package logging

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// The entries before a warning or an error are written with it.
func TestEntriesBeforeAFaultAreWritten(t *testing.T) {
	c := qt.New(t)
	var out strings.Builder
	log, ring := New(&out)
	for i := range 3000 {
		log.Infof("step %d", i)
	}
	c.Assert(out.String(), qt.Equals, "")
	log.WithField("peer", "x").Warn("fault")
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	c.Assert(lines, qt.HasLen, maxEntries)
	c.Assert(lines[maxEntries-1], qt.Contains, "fault")
	c.Assert(lines[0], qt.Contains, fmt.Sprintf("step %d", 3000-maxEntries+1))
	// Further warnings within minDumpInterval are counted and do not dump the ring; an error dumps it at once.
	out.Reset()
	for range 50 {
		log.Warn("again")
	}
	c.Assert(out.String(), qt.Equals, "")
	log.Error("worse")
	c.Assert(strings.Count(out.String(), "again"), qt.Equals, 50)
	c.Assert(out.String(), qt.Contains, "-- 50 faults since")
	out.Reset()
	log.Info("later " + strings.Repeat("x", 5000))
	ring.Dump("SIGUSR1")
	c.Assert(out.String(), qt.Contains, "SIGUSR1")
	c.Assert(len(out.String()) < 1000, qt.IsTrue, qt.Commentf("dump of one truncated entry has %d bytes", len(out.String())))
}
