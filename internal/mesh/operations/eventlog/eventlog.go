// Package eventlog follows the mesh's feed of events for other tools, and keeps its own copy of it on disk: a tool's cursor outlives
// restarts of the tool, of the eventlog and of the core process that it follows. A gap stands where events may be missing.
package eventlog

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"quincegap/internal/mesh/operations/events"
)

const (
	minRetryDelay = 200 * time.Millisecond // between two attempts to follow
	maxRetryDelay = 5 * time.Second
	streamTimeout = 40 * time.Second // without a line; a stream sends one every 25 s
	maxLineBytes  = 64 << 10         // bytes
)

// Keys of records: the head, and the prefix of an event's.
const (
	headKey        = "head"
	eventKeyPrefix = "event/"
)

// Store is where events are kept: a few records, each under its key (storage.Store).
type Store interface {
	Get(key string) ([]byte, error)
	Put(key string, data []byte) error
}

// Log keeps the newest events under numbers of its own, in a ring of records.
type Log struct {
	mu       sync.Mutex
	store    Store
	capacity uint64
	head     head
	added    chan struct{} // closed when an event has been added
}

// head is the first record: what the log holds, and how far it had come with the core.
type head struct {
	Incarnation uint64 `json:"life"` // of the log, new when its folder was empty
	Next        uint64 `json:"next"`
	CoreCursor  string `json:"core"` // cursor at the core process
	CoreAddress string `json:"from"` // that process
}

// OpenLog reads a log; life is what a new one is called.
func OpenLog(s Store, most uint64, life uint64) (*Log, error) {
	l := &Log{store: s, capacity: max(most, 1), head: head{Incarnation: life, Next: 1}, added: make(chan struct{})}
	data, err := s.Get(headKey)
	if err != nil && !trace.IsNotFound(err) {
		return nil, trace.Wrap(err)
	}
	if len(data) > 0 {
		if err := json.Unmarshal(data, &l.head); err != nil {
			return nil, trace.BadParameter("record %q: %v", headKey, err)
		}
	}
	return l, nil
}

func (l *Log) eventKey(n uint64) string { return eventKeyPrefix + strconv.FormatUint(n%l.capacity, 10) }

// Add keeps an event that a core process sent, with the cursor at that process. The event is on disk before the head counts it; one
// that was written and not counted is written again after a crash, under the same number.
func (l *Log) Add(e events.Event, from, core string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.head
	e.Cursor = events.Cursor{Incarnation: h.Incarnation, Number: h.Next}.String()
	text, err := json.Marshal(e)
	if err != nil {
		return trace.Wrap(err)
	}
	if err := l.store.Put(l.eventKey(h.Next), text); err != nil {
		return trace.Wrap(err)
	}
	h.Next++
	h.CoreCursor, h.CoreAddress = core, from
	if text, err = json.Marshal(h); err == nil {
		err = l.store.Put(headKey, text)
	}
	if err != nil {
		return trace.Wrap(err)
	}
	l.head = h
	close(l.added)
	l.added = make(chan struct{})
	return nil
}

// Followed is the core process that the log follows, and its cursor there.
func (l *Log) Followed() (from, cursor string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.head.CoreAddress, l.head.CoreCursor
}

// After gives up to most events after a cursor that the filter lets through, the cursor to go on from, and what is closed when
// there is more.
func (l *Log) After(c events.Cursor, most int, filter events.Filter) ([]events.Event, events.Cursor, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := uint64(1)
	if l.head.Next > l.capacity {
		first = l.head.Next - l.capacity
	}
	var out []events.Event
	at, gap := c.Number+1, ""
	switch {
	case c == events.Cursor{}:
		at = first
	case c.Incarnation != l.head.Incarnation:
		gap, at = "the cursor is of another log, or of one whose disk was lost", first
	case c.Number >= l.head.Next:
		gap, at = "the cursor is ahead of the log", first
	case at < first:
		gap, at = fmt.Sprintf("%d events are no longer kept", first-at), first
	}
	if gap != "" {
		out = append(out, events.Event{Cursor: events.Cursor{Incarnation: l.head.Incarnation, Number: at - 1}.String(), Kind: events.Gap, Detail: gap})
	}
	for ; at < l.head.Next && len(out) < most; at++ {
		data, err := l.store.Get(l.eventKey(at))
		if err != nil {
			return out, c, l.added, trace.Wrap(err)
		}
		var e events.Event
		if err := json.Unmarshal(data, &e); err != nil {
			return out, c, l.added, trace.BadParameter("record %q: %v", l.eventKey(at), err)
		}
		if filter.Passes(&e) {
			out = append(out, e)
		}
	}
	return out, events.Cursor{Incarnation: l.head.Incarnation, Number: at - 1}, l.added, nil
}

// Follow follows the feeds of core processes, one at a time, until ctx ends.
func Follow(ctx context.Context, l *Log, cores []string, log *logrus.Logger) {
	pause := minRetryDelay
	for i := 0; ctx.Err() == nil; i++ {
		from, cursor := l.Followed()
		core := cores[i%len(cores)]
		if i == 0 && from != "" {
			core = from // the cursor is of this process
		}
		if core != from && from != "" {
			// Another process has seen other events in another order: what lies between is not known here.
			cursor = ""
			if err := l.Add(events.Event{
				Kind: events.Gap, Node: core, Time: time.Now().UTC().Format(time.RFC3339Nano),
				Detail: "another core process is followed now; what it kept comes next",
			}, core, ""); err != nil {
				log.Warn("eventlog: " + err.Error())
			}
		}
		n, err := follow(ctx, l, core, cursor)
		if err != nil && ctx.Err() == nil {
			log.WithField("core", core).Warn("eventlog: " + err.Error())
		}
		if pause = min(2*pause, maxRetryDelay); n > 0 {
			pause = minRetryDelay
			i-- // the same one again: it may only have restarted
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// follow reads one stream to its end, and gives the number of events that it brought.
func follow(ctx context.Context, l *Log, core, cursor string) (n int, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+core+"/events?follow=1&after="+url.QueryEscape(cursor), nil)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	alarm := time.AfterFunc(streamTimeout, cancel)
	defer alarm.Stop()
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	defer r.Body.Close()
	if r.StatusCode != http.StatusOK {
		return 0, trace.BadParameter("%s answers %s", core, r.Status)
	}
	lines := bufio.NewScanner(r.Body)
	lines.Buffer(make([]byte, 4<<10), maxLineBytes)
	for lines.Scan() {
		alarm.Reset(streamTimeout)
		if len(lines.Bytes()) == 0 {
			continue
		}
		var e events.Event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return n, trace.BadParameter("%s: line %d: %v", core, n+1, err)
		}
		if err := l.Add(e, core, e.Cursor); err != nil {
			return n, trace.Wrap(err)
		}
		n++
	}
	if err := lines.Err(); err != nil {
		return n, trace.Wrap(err)
	}
	return n, trace.ConnectionProblem(nil, "the stream ended")
}
