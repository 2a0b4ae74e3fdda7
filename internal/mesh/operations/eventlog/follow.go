package eventlog

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"quincegap/internal/mesh/operations/events"
)

const (
	minRetryDelay = 200 * time.Millisecond // between two attempts to follow; it doubles with each attempt without an event
	maxRetryDelay = 5 * time.Second        // its bound
	streamTimeout = 40 * time.Second       // since the last line; a core process sends one every 25 s
	maxLineBytes  = 64 << 10

	initialLineBytes = 4 << 10 // of the buffer
)

// errStreamEnded means that a core process has ended a stream regularly, as it does when it shuts down.
var errStreamEnded = trace.ConnectionProblem(nil, "the stream ended")

// Follow follows the feeds of core processes, one at a time, until ctx ends, and adds their events to a log. cores are their control
// addresses. It starts with the core process that the log has followed, if there is one, and changes to the next one when a stream has
// ended without an event.
func Follow(ctx context.Context, eventLog *Log, cores []string, log *logrus.Logger) {
	delay := minRetryDelay
	for attempt := 0; ctx.Err() == nil; attempt++ {
		core := cores[attempt%len(cores)]
		if followed, _ := eventLog.Followed(); attempt == 0 && followed != "" {
			core = followed // the log's cursor is valid there
		}
		received, err := followCore(ctx, eventLog, core, log)
		if err != nil && ctx.Err() == nil {
			log.WithField("core", core).WithError(err).Warn("eventlog: a core process's feed has ended")
		}
		delay = min(2*delay, maxRetryDelay)
		if received > 0 {
			delay = minRetryDelay
			attempt-- // the same one again: it may only have restarted
		}
		wait(ctx, delay)
	}
}

// wait returns after a time, or when ctx ends.
func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// followCore follows a core process until the stream ends, and returns the number of events that it has added. The error is never nil.
func followCore(ctx context.Context, eventLog *Log, core string, log *logrus.Logger) (received int, err error) {
	followed, cursor := eventLog.Followed()
	if core != followed && followed != "" {
		// Another process has observed other events, in another order: it is not known which ones are missing.
		cursor = ""
		if err := eventLog.Add(changeOfCore(core), core, ""); err != nil {
			log.WithField("core", core).WithError(err).Warn("eventlog: a gap can't be kept")
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	deadline := time.AfterFunc(streamTimeout, cancel)
	defer deadline.Stop()
	stream, err := openStream(ctx, core, cursor)
	if err != nil {
		return 0, err
	}
	defer func() { _ = stream.Close() }() // an error is of no consequence after the end of the stream
	return readStream(stream, eventLog, core, func() { deadline.Reset(streamTimeout) })
}

// changeOfCore returns the gap before the events of another core process.
func changeOfCore(core string) events.Event {
	return events.Event{
		Kind:   events.Gap,
		Node:   core,
		Time:   time.Now().UTC().Format(time.RFC3339Nano),
		Detail: "another core process is followed now; what it kept comes next",
	}
}

// openStream opens a core process's feed after a cursor.
func openStream(ctx context.Context, core, cursor string) (io.ReadCloser, error) {
	address := "http://" + core + "/events?follow=1&after=" + url.QueryEscape(cursor)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, http.NoBody)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close() // the status is the error
		return nil, trace.BadParameter("%s answers %s", core, response.Status)
	}
	return response.Body, nil
}

// readStream adds the events of a stream to the log until the stream ends, and returns how many it has added. alive is called for each
// line. The error is never nil: errStreamEnded, that of the connection or of the log, or trace.BadParameter for an invalid line.
func readStream(stream io.Reader, eventLog *Log, core string, alive func()) (added int, err error) {
	lines := bufio.NewScanner(stream)
	lines.Buffer(make([]byte, initialLineBytes), maxLineBytes)
	for lines.Scan() {
		alive()
		if len(lines.Bytes()) == 0 {
			continue
		}
		var e events.Event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return added, trace.BadParameter("%s: line %d: %v", core, added+1, err)
		}
		if err := eventLog.Add(e, core, e.Cursor); err != nil {
			return added, trace.Wrap(err)
		}
		added++
	}
	if err := lines.Err(); err != nil {
		return added, trace.Wrap(err)
	}
	return added, errStreamEnded
}
