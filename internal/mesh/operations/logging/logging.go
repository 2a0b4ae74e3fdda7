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
	entriesMax    = 1024             // kept in memory
	writeInterval = 10 * time.Second // between two writings because of warnings
	textMax       = 512              // bytes of one message
)

// Ring is a logrus hook; the logger's own output is to be discarded.
type Ring struct {
	mu     sync.Mutex
	out    io.Writer
	kept   []*logrus.Entry
	next   int
	last   time.Time // when the ring was last written out because of a warning
	missed int       // warnings since then that were not written out at once
	format logrus.TextFormatter
}

// New makes a logger whose entries go into a ring; from a warning on the ring is written to out, at most every ten seconds.
func New(out io.Writer) (*logrus.Logger, *Ring) {
	r := &Ring{out: out, kept: make([]*logrus.Entry, 0, entriesMax),
		format: logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: time.RFC3339Nano}}
	l := logrus.New()
	l.SetOutput(io.Discard)
	l.SetFormatter(discard{})
	l.SetLevel(logrus.DebugLevel)
	l.AddHook(r)
	return l, r
}

// discard formats nothing: entries are formatted when they are written out.
type discard struct{}

func (discard) Format(*logrus.Entry) ([]byte, error) { return nil, nil }

// Levels are all (logrus.Hook).
func (r *Ring) Levels() []logrus.Level { return logrus.AllLevels }

// Fire takes an entry (logrus.Hook).
func (r *Ring) Fire(e *logrus.Entry) error {
	c := *e
	c.Message = cut(c.Message)
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.kept) < entriesMax {
		r.kept = append(r.kept, &c)
	} else {
		r.kept[r.next] = &c
	}
	r.next = (r.next + 1) % entriesMax
	if e.Level > logrus.WarnLevel {
		return nil
	}
	if !r.last.IsZero() && e.Time.Sub(r.last) < writeInterval && e.Level > logrus.ErrorLevel {
		r.missed++
		return nil
	}
	r.last = e.Time
	r.write("")
	return nil
}

func cut(s string) string {
	if len(s) > textMax {
		return s[:textMax] + "..."
	}
	return s
}

// Write writes the ring out on request; why is written before it.
func (r *Ring) Write(why string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(why)
}

// write empties the ring into out, the oldest entry first.
func (r *Ring) write(why string) {
	if why != "" {
		fmt.Fprintf(r.out, "-- log written out: %s\n", why)
	}
	if r.missed > 0 {
		fmt.Fprintf(r.out, "-- %d faults since the last time are among these\n", r.missed)
		r.missed = 0
	}
	from := 0
	if len(r.kept) == entriesMax {
		from = r.next
	}
	for i := range r.kept {
		text, err := r.format.Format(r.kept[(from+i)%len(r.kept)])
		if err == nil {
			_, err = r.out.Write(text)
		}
		if err != nil {
			break
		}
	}
	r.kept, r.next = r.kept[:0], 0
}
