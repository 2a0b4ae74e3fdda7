// Package logging keeps a process's log in a ring in memory, and writes it out when something has gone wrong, so that the moments
// before the fault can be read and little else is written. Keys and bodies are never logged.
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
	minDumpInterval = 10 * time.Second // between two writings because of warnings
	maxMessageBytes = 512              // bytes of one message
)

// Ring is a logrus hook; the logger's own output is to be discarded.
type Ring struct {
	mu         sync.Mutex
	out        io.Writer
	entries    []*logrus.Entry
	next       int
	lastDump   time.Time // when the ring was last written out because of a warning
	suppressed int       // warnings since then that were not written out at once
	format     logrus.TextFormatter
}

// New makes a logger whose entries go into a ring; from a warning on the ring is written to out, at most every ten seconds.
func New(out io.Writer) (*logrus.Logger, *Ring) {
	r := &Ring{
		out: out, entries: make([]*logrus.Entry, 0, maxEntries),
		format: logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: time.RFC3339Nano},
	}
	l := logrus.New()
	l.SetOutput(io.Discard)
	l.SetFormatter(discardFormatter{})
	l.SetLevel(logrus.DebugLevel)
	l.AddHook(r)
	return l, r
}

// discardFormatter formats nothing: entries are formatted when they are written out.
type discardFormatter struct{}

func (discardFormatter) Format(*logrus.Entry) ([]byte, error) { return nil, nil }

// Levels are all (logrus.Hook).
func (r *Ring) Levels() []logrus.Level { return logrus.AllLevels }

// Fire takes an entry (logrus.Hook).
func (r *Ring) Fire(e *logrus.Entry) error {
	c := *e
	c.Message = truncate(c.Message)
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.entries) < maxEntries {
		r.entries = append(r.entries, &c)
	} else {
		r.entries[r.next] = &c
	}
	r.next = (r.next + 1) % maxEntries
	if e.Level > logrus.WarnLevel {
		return nil
	}
	if !r.lastDump.IsZero() && e.Time.Sub(r.lastDump) < minDumpInterval && e.Level > logrus.ErrorLevel {
		r.suppressed++
		return nil
	}
	r.lastDump = e.Time
	r.dump("")
	return nil
}

func truncate(s string) string {
	if len(s) > maxMessageBytes {
		return s[:maxMessageBytes] + "..."
	}
	return s
}

// Dump writes the ring out on request; why is written before it.
func (r *Ring) Dump(why string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dump(why)
}

// dump empties the ring into out, the oldest entry first.
func (r *Ring) dump(why string) {
	if why != "" {
		fmt.Fprintf(r.out, "-- log written out: %s\n", why)
	}
	if r.suppressed > 0 {
		fmt.Fprintf(r.out, "-- %d faults since the last time are among these\n", r.suppressed)
		r.suppressed = 0
	}
	from := 0
	if len(r.entries) == maxEntries {
		from = r.next
	}
	for i := range r.entries {
		text, err := r.format.Format(r.entries[(from+i)%len(r.entries)])
		if err == nil {
			_, err = r.out.Write(text)
		}
		if err != nil {
			break
		}
	}
	r.entries, r.next = r.entries[:0], 0
}
