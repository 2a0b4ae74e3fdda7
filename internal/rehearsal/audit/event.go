// Package audit judges a rehearsal from what was seen on its sockets: the four
// rules with their figures, the service, waste and lateness. It does no I/O. Each
// part of a rehearsal adds events to a Log, on one clock; Judge reads them at the end.
package audit

import (
	"cmp"
	"fmt"
	"sync"
	"time"
)

// Kind is what an event is about.
type Kind uint8

// The kinds of events.
const (
	RequestSent        Kind = iota + 1 // the last byte of a request is written to a sidecar
	AnswerReceived                     // the whole answer has been read
	ConnectionClosed                   // the connection ended before a whole answer
	CallerTimedOut                     // the caller's time is up, and it has closed the connection
	UnsolicitedBytes                   // bytes came that nobody had asked for
	AttemptReceived                    // the last byte of an attempt has been read by a box
	AttemptEnded                       // an attempt is over; How tells
	SidecarNotified                    // discovery has written to a sidecar what State a box is in
	SidecarUp                          // a sidecar serves
	SidecarStopping                    // it was told to end
	SidecarKilled                      // it was killed, or made to stand still
	SidecarDied                        // it ended by itself, or hangs
	ServerCollapsed                    // a cold box fell over
	EmulatorLate                       // the emulator itself was late by Left
	ServerStarted                      // a box started, cold
	ConnectionOpened                   // a sidecar opened a connection to a box
	AttemptUnreachable                 // an attempt found no box there, or one that says nothing
	ListRequested                      // a sidecar asked for a list
	EjectedAttempted                   // a sidecar sent an attempt to a box that it has isolated
)

// Result an attempt ended, as its box saw it.
type AttemptResult uint8

// The ends of an attempt.
const (
	Served    AttemptResult = iota + 1 // with the answer of the box, 200
	Failed                             // with an error, 500
	Rejected                           // with X-Turned-Away: it never ran
	Canceled                           // the sidecar closed the connection
	Dropped                            // the box closed or reset the connection
	Garbled                            // with an answer that cannot be used
	Truncated                          // the connection ended before the last byte of the request: it never ran
)

func (a AttemptResult) String() string {
	return [...]string{"is still out", "served", "failed with 500", "turned away", "withdrawn by the sidecar", "dropped by the box", "answered with a spoilt answer", "cut off before its end"}[a]
}

// Event is one thing that was seen.
type Event struct {
	At            time.Duration
	FirstByteAt   time.Duration // of a Sent: when its first byte came
	Duration      time.Duration // of an Asked: how long the caller waits; of an Answered: Retry-After, or -1; of a Late: by how much
	Work          time.Duration // of an Ended: what it had the box do
	Request       string        // X-Txn
	Text          string        // of a Told: the state; of a Died or Stray: what was seen
	AttemptID     uint64        // of a Sent and its Ended: a number of its own
	Origin        int           // of an Asked: the arrival that it is for; -1 for none
	Server        int
	Sidecar       int
	Status        int // of an Answered
	Class         int
	CallerAttempt int
	Kind          Kind
	Result        AttemptResult
	Authentic     bool // of an Answered: it is what a box made for this request
}

// maxEvents bounds a Log; an event takes about 150 bytes.
const maxEvents = 8 << 20

// Log takes events from any goroutine. Its zero value is empty.
type Log struct {
	MaxEvents int // that it keeps; 0 for maxEvents

	mu     sync.Mutex
	events []Event
	lost   int
}

// Add adds an event.
func (l *Log) Add(e Event) {
	l.mu.Lock()
	if len(l.events) < cmp.Or(l.MaxEvents, maxEvents) {
		l.events = append(l.events, e)
	} else {
		l.lost++
	}
	l.mu.Unlock()
}

// Events are those that were added, in that order, and how many there was no room for.
func (l *Log) Events() (events []Event, lost int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.events, l.lost
}

var kindNames = [...]string{"?", "asked", "answered", "closed", "gave-up", "stray", "sent", "ended", "told", "up", "stopping", "killed", "died", "fell", "late", "began", "opened", "knocked", "listed", "tried"}

// String is an event on one line, for traces that are compared.
func (e Event) String() string {
	return fmt.Sprintf("%d %s %s sidecar=%d box=%d origin=%d try=%d class=%d attempt=%d status=%d how=%d left=%d work=%d first=%d good=%t %q",
		e.At, kindNames[e.Kind], e.Request, e.Sidecar, e.Server, e.Origin, e.CallerAttempt, e.Class, e.AttemptID, e.Status, e.Result, e.Duration, e.Work, e.FirstByteAt, e.Authentic, e.Text)
}
