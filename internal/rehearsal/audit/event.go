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
	CallerTimedOut                     // the caller's timeout is over, and it has closed the connection
	UnsolicitedBytes                   // bytes came that nobody had asked for
	AttemptReceived                    // the last byte of an attempt has been read by a server
	AttemptEnded                       // an attempt is over, with its Result
	SidecarNotified                    // discovery has written to a sidecar what state a server is in
	SidecarUp                          // a sidecar serves
	SidecarStopping                    // it was asked to end, by SIGTERM
	SidecarKilled                      // it was killed, or made to stand still
	SidecarDied                        // it ended by itself, or hangs
	ServerCollapsed                    // a cold server was overloaded
	EmulatorLate                       // the emulator itself was late by Duration
	ServerStarted                      // a server started, cold
	ConnectionOpened                   // a sidecar opened a connection to a server
	AttemptUnreachable                 // an attempt found no server there, or one that is silent
	ListRequested                      // a sidecar asked for a list
	EjectedAttempted                   // a sidecar sent an attempt to a server that it has ejected
)

// AttemptResult is how an attempt ended, as its server observed it.
type AttemptResult uint8

// The ends of an attempt.
const (
	Served    AttemptResult = iota + 1 // with the answer of the server, 200
	Failed                             // with an error, 500
	Rejected                           // with X-Turned-Away: it never ran
	Canceled                           // the sidecar closed the connection
	Dropped                            // the server closed or reset the connection
	Garbled                            // with an answer that can't be used
	Truncated                          // the connection ended before the last byte of the request: it never ran
)

// String returns the end in words, as traces have it.
func (a AttemptResult) String() string {
	return [...]string{
		"is still out", "served", "failed with 500", "turned away", "withdrawn by the sidecar", "dropped by the box",
		"answered with a spoilt answer", "cut off before its end",
	}[a]
}

// Event is one thing that was observed. Which fields are set depends on its kind; indexes that do not apply are -1.
type Event struct {
	At            time.Duration // on the rehearsal's clock, which stands at 0 when callers begin to come
	FirstByteAt   time.Duration // of AttemptReceived: when its first byte came
	Duration      time.Duration // of RequestSent: how long the caller waits; of AnswerReceived: Retry-After; of EmulatorLate: by how much
	Work          time.Duration // of AttemptEnded: what the server did for it
	Request       string        // X-Txn
	Text          string        // of SidecarNotified: the state; of SidecarDied and UnsolicitedBytes: what was observed
	AttemptID     uint64        // of AttemptReceived and its AttemptEnded: a number of its own
	Origin        int           // of RequestSent: the arrival that it is for; -1 for none
	Server        int
	Sidecar       int
	Status        int // of AnswerReceived
	Class         int
	CallerAttempt int // of a caller from outside, from 1; 0 for the call of a server
	Kind          Kind
	Result        AttemptResult
	Authentic     bool // of AnswerReceived: it is what a server made for this request
}

// maxEvents is the bound of a Log that has no other; an event takes about 150 bytes.
const maxEvents = 8 << 20

// Log collects events. Its zero value is empty; its methods may be called by several goroutines.
type Log struct {
	MaxEvents int // how many it keeps; 0 for 8 Mi (about 1.2 GB)

	mu     sync.Mutex
	events []Event
	lost   int // events beyond MaxEvents
}

// Add adds an event, or counts it as lost if the log is full.
func (l *Log) Add(e Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.events) < cmp.Or(l.MaxEvents, maxEvents) {
		l.events = append(l.events, e)
	} else {
		l.lost++
	}
}

// Events returns those that were added, in that order, and how many there was no room for.
func (l *Log) Events() (events []Event, lost int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.events, l.lost
}

// kindNames are the kinds as traces have them.
var kindNames = [...]string{
	"?", "asked", "answered", "closed", "gave-up", "stray", "sent", "ended", "told", "up", "stopping", "killed", "died", "fell", "late",
	"began", "opened", "knocked", "listed", "tried",
}

// String returns an event on one line, for traces that are compared.
func (e Event) String() string {
	return fmt.Sprintf("%d %s %s sidecar=%d box=%d origin=%d try=%d class=%d attempt=%d status=%d how=%d left=%d work=%d first=%d good=%t %q",
		e.At, kindNames[e.Kind], e.Request, e.Sidecar, e.Server, e.Origin, e.CallerAttempt, e.Class, e.AttemptID,
		e.Status, e.Result, e.Duration, e.Work, e.FirstByteAt, e.Authentic, e.Text)
}
