package audit

import (
	"cmp"
	"fmt"
	"sync"
	"time"
)

// Kind is the kind of an event.
type Kind uint8

// The kinds of events.
const (
	RequestSent        Kind = iota + 1 // a caller or server has written the last byte of a request to a sidecar
	AnswerReceived                     // the sender of a request has read the whole answer
	ConnectionClosed                   // the sidecar closed the connection before the answer was complete
	CallerTimedOut                     // the caller's timeout expired and it closed the connection
	UnsolicitedBytes                   // a sidecar sent bytes that belong to no request
	AttemptReceived                    // a server has read the last byte of an attempt
	AttemptEnded                       // an attempt ended; Result says how
	SidecarNotified                    // discovery wrote the state of a server to a sidecar
	SidecarUp                          // a sidecar is ready to serve
	SidecarStopping                    // a sidecar was asked to stop, by SIGTERM
	SidecarKilled                      // a sidecar was killed or suspended
	SidecarDied                        // a sidecar ended by itself or hangs
	ServerCollapsed                    // a cold server collapsed under overload
	EmulatorLate                       // the emulator itself was late by Duration
	ServerStarted                      // a server started and is cold
	ConnectionOpened                   // a sidecar opened a connection to a server
	AttemptUnreachable                 // an attempt was sent to a server that is down or silent
	ListRequested                      // a sidecar requested a list of servers
	EjectedAttempted                   // a sidecar sent an attempt to a server that it has ejected
)

// AttemptResult is how an attempt ended, as its server observed it.
type AttemptResult uint8

// The results of an attempt.
const (
	Served    AttemptResult = iota + 1 // the server answered with 200
	Failed                             // the server answered with the error 500
	Rejected                           // the server rejected the attempt with X-Turned-Away; it never ran
	Canceled                           // the sidecar closed the connection
	Dropped                            // the server closed or reset the connection
	Garbled                            // the server sent a malformed answer
	Truncated                          // the connection ended before the last byte of the request; the attempt never ran
)

// String returns the text for the result in traces.
func (a AttemptResult) String() string {
	return [...]string{
		"is still out", "served", "failed with 500", "turned away", "withdrawn by the sidecar", "dropped by the box",
		"answered with a spoilt answer", "cut off before its end",
	}[a]
}

// Event is one observation. Its kind determines which fields are set; indexes that do not apply are -1.
type Event struct {
	At            time.Duration // time since the callers started
	FirstByteAt   time.Duration // time of the attempt's first byte (AttemptReceived)
	Duration      time.Duration // timeout of the caller (RequestSent), Retry-After (AnswerReceived) or lateness (EmulatorLate)
	Work          time.Duration // work that the server did for the attempt (AttemptEnded)
	Request       string        // value of the X-Txn header
	Text          string        // state of the server (SidecarNotified) or description of what was observed (SidecarDied, UnsolicitedBytes)
	AttemptID     uint64        // unique number of the attempt, in its AttemptReceived and AttemptEnded events
	Origin        int           // index of the arrival that the request belongs to (RequestSent); -1 for none
	Server        int
	Sidecar       int
	Status        int // HTTP status (AnswerReceived)
	Class         int
	CallerAttempt int // number of the attempt of an external caller, from 1; 0 for a call by a server
	Kind          Kind
	Result        AttemptResult
	Authentic     bool // the answer is the one that a server generated for this request (AnswerReceived)
}

// maxEvents is the default of Log.MaxEvents; an event takes about 150 bytes.
const maxEvents = 8 << 20

// Log collects events. Its zero value is empty; its methods may be called by several goroutines.
type Log struct {
	MaxEvents int // maximum number of events in the log; 0 for 8 Mi (about 1.2 GB)

	mu     sync.Mutex
	events []Event
	lost   int // number of events dropped because the log was full
}

// Add adds an event. If the log is full, it drops the event and counts it as lost.
func (l *Log) Add(e Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.events) < cmp.Or(l.MaxEvents, maxEvents) {
		l.events = append(l.events, e)
	} else {
		l.lost++
	}
}

// Events returns the events in the order in which they were added, and the number of events that were dropped.
func (l *Log) Events() (events []Event, lost int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.events, l.lost
}

// kindNames are the names of the kinds in the output of Event.String.
var kindNames = [...]string{
	"?", "asked", "answered", "closed", "gave-up", "stray", "sent", "ended", "told", "up", "stopping", "killed", "died", "fell", "late",
	"began", "opened", "knocked", "listed", "tried",
}

// String returns the event as one line of text, so that runs can be compared.
func (e Event) String() string {
	return fmt.Sprintf("%d %s %s sidecar=%d box=%d origin=%d try=%d class=%d attempt=%d status=%d how=%d left=%d work=%d first=%d good=%t %q",
		e.At, kindNames[e.Kind], e.Request, e.Sidecar, e.Server, e.Origin, e.CallerAttempt, e.Class, e.AttemptID,
		e.Status, e.Result, e.Duration, e.Work, e.FirstByteAt, e.Authentic, e.Text)
}
