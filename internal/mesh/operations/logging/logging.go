// Package logging keeps a process's log in a ring in memory, and writes it out when something has gone wrong: then the moments
// before the fault are there, and little else is ever written. Keys and bodies are never logged.
package logging

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	kept       = 1024             // entries
	againLeast = 10 * time.Second // between two writings, but for those that are asked for
	textMost   = 512              // bytes of one message or field
)

// Book is a logrus hook; the logger's own output is to be discarded.
type Book struct {
	mu     sync.Mutex
	out    io.Writer
	ring   []*logrus.Entry
	next   int
	last   time.Time // writing
	missed int       // faults since, that were not written out at once
	format logrus.TextFormatter
}

// New makes a logger whose entries go into a ring; from a warning on the ring is written to out, at most every ten seconds.
func New(out io.Writer) (*logrus.Logger, *Book) {
	b := &Book{out: out, ring: make([]*logrus.Entry, 0, kept),
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
	if len(b.ring) < kept {
		b.ring = append(b.ring, &c)
	} else {
		b.ring[b.next] = &c
	}
	b.next = (b.next + 1) % kept
	if e.Level > logrus.WarnLevel {
		return nil
	}
	if !b.last.IsZero() && e.Time.Sub(b.last) < againLeast && e.Level > logrus.ErrorLevel {
		b.missed++
		return nil
	}
	b.last = e.Time
	b.write("")
	return nil
}

func cut(s string) string {
	if len(s) > textMost {
		return s[:textMost] + "..."
	}
	return s
}

// Write writes the ring out, because someone has asked for it.
func (b *Book) Write(why string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.write(why)
}

// write empties the ring onto out, the oldest first; what was written once is not written again.
func (b *Book) write(why string) {
	if why != "" {
		fmt.Fprintf(b.out, "-- log written out: %s\n", why)
	}
	if b.missed > 0 {
		fmt.Fprintf(b.out, "-- %d faults since the last time are among these\n", b.missed)
		b.missed = 0
	}
	from := 0
	if len(b.ring) == kept {
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
