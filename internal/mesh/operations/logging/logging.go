package logging

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	maxEntries      = 1024             // number of entries that are buffered in memory
	minDumpInterval = 10 * time.Second // minimum time from a dump that an entry has caused to a dump for a warning
	maxMessageBytes = 512              // length of a message above which it is truncated
)

// Ring is a logrus hook that buffers the newest entries. New discards the logger's own output. A Ring is safe for concurrent use.
type Ring struct {
	out    io.Writer
	format logrus.TextFormatter

	mu         sync.Mutex
	entries    []*logrus.Entry
	next       int       // index in entries at which the next entry is stored
	lastDump   time.Time // time of the last dump that an entry has caused; calls of Dump do not count
	suppressed int       // number of warnings since the last dump, none of which has dumped the ring
}

// New returns a logger, and the ring that buffers the logger's entries of all levels. The ring is dumped to out.
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

// discardFormatter does not format entries, because the ring formats the entries that it writes out.
type discardFormatter struct{}

// Format implements logrus.Formatter.
func (discardFormatter) Format(*logrus.Entry) ([]byte, error) { return nil, nil }

// Levels implements logrus.Hook. The ring buffers entries of all levels.
func (r *Ring) Levels() []logrus.Level { return logrus.AllLevels }

// Fire implements logrus.Hook. The error is always nil, so that a failure to write the log has no effect on the process.
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

// addLocked adds an entry to the ring. If the ring is full, the entry replaces the oldest one.
func (r *Ring) addLocked(e *logrus.Entry) {
	if len(r.entries) < maxEntries {
		r.entries = append(r.entries, e)
	} else {
		r.entries[r.next] = e
	}
	r.next = (r.next + 1) % maxEntries
}

// dumpDueLocked reports whether an entry causes a dump of the ring. It counts the warnings that cause none.
func (r *Ring) dumpDueLocked(e *logrus.Entry) bool {
	switch {
	case e.Level > logrus.WarnLevel: // less severe than a warning
		return false
	case e.Level < logrus.WarnLevel:
		return true
	case r.lastDump.IsZero() || e.Time.Sub(r.lastDump) >= minDumpInterval:
		return true
	}
	r.suppressed++
	return false
}

// truncate returns a message of at most maxMessageBytes unchanged. Of a longer one it returns the first maxMessageBytes and an ellipsis.
func truncate(message string) string {
	if len(message) > maxMessageBytes {
		return message[:maxMessageBytes] + "..."
	}
	return message
}

// Dump writes a line with the reason and the buffered entries to the ring's output, and empties the ring.
func (r *Ring) Dump(reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dumpLocked(reason)
}

// dumpLocked writes the entries to out, the oldest first, and empties the ring. If a write fails, the remaining entries are discarded.
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

// writeEntry formats an entry and writes it to out.
func (r *Ring) writeEntry(e *logrus.Entry) error {
	text, err := r.format.Format(e)
	if err != nil {
		return err
	}
	_, err = r.out.Write(text)
	return err
}
