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

// Book is a logrus hook; the logger's own output is to be discarded.
type Book struct {
	mu     sync.Mutex
	out    io.Writer
	ring   []*logrus.Entry
	next   int
	last   time.Time // when the ring was last written out because of a warning
	missed int       // warnings since then that were not written out at once
	format logrus.TextFormatter
}

// New makes a logger whose entries go into a ring; from a warning on the ring is written to out, at most every ten seconds.
func New(out io.Writer) (*logrus.Logger, *Book) {
	b := &Book{out: out, ring: make([]*logrus.Entry, 0, entriesMax),
		format: logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: time.RFC3339Nano}}
	l := logrus.New()
	l.SetOutput(io.Discard)
	l.SetFormatter(discard{})
	l.SetLevel(logrus.DebugLevel)
	l.AddHook(b)
	return l, b
}

// discard formats nothing: entries are formatted when they are written out.
type discard struct{}

func (discard) Format(*logrus.Entry) ([]byte, error) { return nil, nil }

// Levels are all (logrus.Hook).
func (b *Book) Levels() []logrus.Level { return logrus.AllLevels }

// Fire takes an entry (logrus.Hook).
func (b *Book) Fire(e *logrus.Entry) error {
	c := *e
	c.Message = cut(c.Message)
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ring) < entriesMax {
		b.ring = append(b.ring, &c)
	} else {
		b.ring[b.next] = &c
	}
	b.next = (b.next + 1) % entriesMax
	if e.Level > logrus.WarnLevel {
		return nil
	}
	if !b.last.IsZero() && e.Time.Sub(b.last) < writeInterval && e.Level > logrus.ErrorLevel {
		b.missed++
		return nil
	}
	b.last = e.Time
	b.write("")
	return nil
}

func cut(s string) string {
	if len(s) > textMax {
		return s[:textMax] + "..."
	}
	return s
}

// Write writes the ring out on request; why is written before it.
func (b *Book) Write(why string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.write(why)
}

// write empties the ring into out, the oldest entry first.
func (b *Book) write(why string) {
	if why != "" {
		fmt.Fprintf(b.out, "-- log written out: %s\n", why)
	}
	if b.missed > 0 {
		fmt.Fprintf(b.out, "-- %d faults since the last time are among these\n", b.missed)
		b.missed = 0
	}
	from := 0
	if len(b.ring) == entriesMax {
		from = b.next
	}
	for i := range b.ring {
		text, err := b.format.Format(b.ring[(from+i)%len(b.ring)])
		if err == nil {
			_, err = b.out.Write(text)
		}
		if err != nil {
			break
		}
	}
	b.ring, b.next = b.ring[:0], 0
}
