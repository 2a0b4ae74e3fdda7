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
	minDumpInterval = 10 * time.Second // from a dump for an entry to a dump for a warning
	maxMessageBytes = 512              // of a message; a longer one is truncated
)

// Ring is a logrus hook that keeps the newest entries. The logger's own output is discarded (New). It is safe for concurrent use.
type Ring struct {
	out    io.Writer
	format logrus.TextFormatter

	mu         sync.Mutex
	entries    []*logrus.Entry
	next       int       // index of the next entry
	lastDump   time.Time // for an entry, not by Dump
	suppressed int       // number of warnings since the last dump that did not dump the ring
}

// New returns a logger and the ring that keeps its entries of all levels. The ring is dumped to out.
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

// discardFormatter does not format entries: the ring formats those that it writes out.
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

// addLocked adds an entry, and replaces the oldest one if the ring is full.
func (r *Ring) addLocked(e *logrus.Entry) {
	if len(r.entries) < maxEntries {
		r.entries = append(r.entries, e)
	} else {
		r.entries[r.next] = e
	}
	r.next = (r.next + 1) % maxEntries
}

// dumpDueLocked reports whether the ring is to be dumped for an entry. It counts a warning for which it is not.
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

// truncate returns the first maxMessageBytes of a message, with dots if there was more.
func truncate(s string) string {
	if len(s) > maxMessageBytes {
		return s[:maxMessageBytes] + "..."
	}
	return s
}

// Dump writes the ring out, after a line with the reason.
func (r *Ring) Dump(reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dumpLocked(reason)
}

// dumpLocked writes the entries to out, the oldest first, and empties the ring. If out fails the rest of the entries is lost.
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
