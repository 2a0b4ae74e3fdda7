// Package logging keeps a process's log in a ring in memory, and writes it out when something has gone wrong, so that the moments
// before the fault can be read and little else is written: writing takes processor time too.
//
// An entry at level error has the ring written out at once, one at level warning too unless that happened within the last ten
// seconds. What was written out is dropped from the ring. Keys and bodies are never logged: callers see to that.
package logging

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	maxEntries      = 1024             // kept in memory
	minDumpInterval = 10 * time.Second // between two dumps because of warnings
	maxMessageBytes = 512              // of one message; a longer one is truncated
)

// Ring is a logrus hook that keeps the newest entries. The logger's own output is to be discarded, as New sees to. Its methods may be
// called from any goroutine.
type Ring struct {
	out    io.Writer
	format logrus.TextFormatter

	mu         sync.Mutex
	entries    []*logrus.Entry
	next       int       // place of the next entry
	lastDump   time.Time // because of an entry
	suppressed int       // warnings since then that were not dumped at once
}

// New makes a logger whose entries of all levels go into a ring, which is written to out.
func New(out io.Writer) (*logrus.Logger, *Ring) {
	ring := &Ring{
		out:     out,
		format:  logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: time.RFC3339Nano},
		entries: make([]*logrus.Entry, 0, maxEntries),
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	log.SetFormatter(discardFormatter{})
	log.SetLevel(logrus.DebugLevel)
	log.AddHook(ring)
	return log, ring
}

// discardFormatter formats nothing: entries are formatted when they are written out.
type discardFormatter struct{}

// Format implements logrus.Formatter.
func (discardFormatter) Format(*logrus.Entry) ([]byte, error) { return nil, nil }

// Levels implements logrus.Hook: all levels are kept.
func (r *Ring) Levels() []logrus.Level { return logrus.AllLevels }

// Fire implements logrus.Hook. The error is always nil: a log that can't be written stops nothing.
func (r *Ring) Fire(e *logrus.Entry) error {
	entry := *e
	entry.Message = truncate(entry.Message)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addLocked(&entry)
	if r.dumpDueLocked(e) {
		r.lastDump = e.Time
		r.dumpLocked("")
	}
	return nil
}

// addLocked keeps an entry, in place of the oldest one if the ring is full.
func (r *Ring) addLocked(e *logrus.Entry) {
	if len(r.entries) < maxEntries {
		r.entries = append(r.entries, e)
	} else {
		r.entries[r.next] = e
	}
	r.next = (r.next + 1) % maxEntries
}

// dumpDueLocked reports whether an entry has the ring dumped.
func (r *Ring) dumpDueLocked(e *logrus.Entry) bool {
	switch {
	case e.Level > logrus.WarnLevel: // less severe
		return false
	case e.Level < logrus.WarnLevel:
		return true
	case r.lastDump.IsZero() || e.Time.Sub(r.lastDump) >= minDumpInterval:
		return true
	}
	r.suppressed++
	return false
}

// truncate is a message of up to maxMessageBytes, with dots where it went on.
func truncate(s string) string {
	if len(s) > maxMessageBytes {
		return s[:maxMessageBytes] + "..."
	}
	return s
}

// Dump writes the ring out on request. reason is written before it.
func (r *Ring) Dump(reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dumpLocked(reason)
}

// dumpLocked empties the ring into out, the oldest entry first. Entries that can't be written are lost.
func (r *Ring) dumpLocked(reason string) {
	if reason != "" {
		_, _ = fmt.Fprintf(r.out, "-- log written out: %s\n", reason)
	}
	if r.suppressed > 0 {
		_, _ = fmt.Fprintf(r.out, "-- %d faults since the last time are among these\n", r.suppressed)
		r.suppressed = 0
	}
	oldest := 0
	if len(r.entries) == maxEntries {
		oldest = r.next
	}
	for i := range r.entries {
		if err := r.writeEntry(r.entries[(oldest+i)%len(r.entries)]); err != nil {
			break
		}
	}
	r.entries = r.entries[:0]
	r.next = 0
}

// writeEntry formats an entry and writes it out.
func (r *Ring) writeEntry(e *logrus.Entry) error {
	text, err := r.format.Format(e)
	if err != nil {
		return err
	}
	_, err = r.out.Write(text)
	return err
}
