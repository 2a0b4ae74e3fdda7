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
	minRetryDelay = 200 * time.Millisecond // delay between two attempts to follow; it doubles with each attempt that receives no event
	maxRetryDelay = 5 * time.Second        // upper bound of that delay
	streamTimeout = 40 * time.Second       // time since the last line after which a stream ends; a core process sends a line every 25 s
	maxLineBytes  = 64 << 10               // length of a line above which a stream ends with an error

	initialLineBytes = 4 << 10 // initial size of the line buffer
)

// errStreamEnded means that a core process has closed a stream without an error, as it does when it shuts down.
var errStreamEnded = trace.ConnectionProblem(nil, "the core process closed the stream")

// Follow follows the feeds of core processes, one at a time, until ctx ends, and adds their events to a log. cores are the control
// addresses of the core processes; there must be at least one. Follow starts with the core process that the log has followed before, if
// there is one, and changes to the next one when an attempt has received no event.
func Follow(ctx context.Context, eventLog *Log, cores []string, log *logrus.Logger) {
	delay := minRetryDelay
	for attempt := 0; ctx.Err() == nil; attempt++ {
		core := cores[attempt%len(cores)]
		if followed, _ := eventLog.Followed(); attempt == 0 && followed != "" {
			core = followed // the cursor in the log is valid at this process
		}
		received, err := followCore(ctx, eventLog, core, log)
		if err != nil && ctx.Err() == nil {
			log.WithField("core", core).WithError(err).Warn("eventlog: stopped following a core process")
		}
		delay = min(2*delay, maxRetryDelay)
		if received > 0 {
			delay = minRetryDelay
			attempt-- // try the same process again, because it may only have restarted
		}
		sleep(ctx, delay)
	}
}

// sleep returns after a delay, or when ctx ends.
func sleep(ctx context.Context, delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// followCore follows a core process until the stream ends, and returns the number of events that it has added to the log. The error is
// never nil: it says why the stream ended, or why none could be opened.
func followCore(ctx context.Context, eventLog *Log, core string, log *logrus.Logger) (received int, err error) {
	followed, cursor := eventLog.Followed()
	if core != followed && followed != "" {
		// Another process has observed other events, in another order, so that it is unknown which events are missing.
		cursor = ""
		if err := eventLog.Add(newCoreGap(core), core, ""); err != nil {
			log.WithField("core", core).WithError(err).Warn("eventlog: cannot store the gap before the events of another core process")
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
	defer func() { _ = stream.Close() }() // nothing is read after the end of the stream, so an error has no effect
	return readStream(stream, eventLog, core, func() { deadline.Reset(streamTimeout) })
}

// newCoreGap returns the gap that the log has before the events of another core process.
func newCoreGap(core string) events.Event {
	return events.Event{
		Kind:   events.Gap,
		Node:   core,
		Time:   time.Now().UTC().Format(time.RFC3339Nano),
		Detail: "another core process is followed now; what it kept comes next",
	}
}

// openStream opens the feed of a core process after a cursor. It fails if the process can't be reached or answers with a status other than
// 200.
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
		_ = response.Body.Close() // the returned error has the status
		return nil, trace.BadParameter("%s answered the request for events with %s", core, response.Status)
	}
	return response.Body, nil
}

// readStream adds the events of a stream to the log until the stream ends, and returns the number of added events. It calls onLine for each
// line. The error is never nil: it is errStreamEnded, an error of the connection or of the log, or trace.BadParameter for an invalid line.
func readStream(stream io.Reader, eventLog *Log, core string, onLine func()) (added int, err error) {
	lines := bufio.NewScanner(stream)
	lines.Buffer(make([]byte, initialLineBytes), maxLineBytes)
	for lines.Scan() {
		onLine()
		if len(lines.Bytes()) == 0 {
			continue
		}
		var e events.Event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return added, trace.BadParameter("%s sent an invalid line for event %d of the stream: %v", core, added+1, err)
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
