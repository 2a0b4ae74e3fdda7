package standalone

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"quincegap/internal/modules/endpointsource"
)

const (
	// maxListBytes bounds one list.
	maxListBytes = 4 << 20
	// fetchTimeout bounds the fetch of a complete list.
	fetchTimeout = 5 * time.Second
	// watchTimeout ends a watch that says nothing: an empty line is due every 2 s, and what discovery has to
	// announce counts as known 6 s later at the latest, by which time another watch must have brought it.
	watchTimeout = 4500 * time.Millisecond
	// A watch that has ended is taken up after a backoff, which doubles while nothing comes and is jittered.
	minWatchBackoff = 50 * time.Millisecond
	maxWatchBackoff = 2 * time.Second
)

// Discovery's HTTP interface, which is data.
const (
	listPath    = "/v1/endpoints"
	followQuery = "?follow=1" // the answer does not end: a list a line, and empty lines in between
	sinceQuery  = "&since="   // the version after which changes are wanted
)

var (
	errWatchEnded  = errors.New("watch ended")
	errNotComplete = errors.New("fetch: not the whole list")
)

// watcher talks to the discovery at one address. Like the loop's other fields it belongs to the loop; what
// its goroutines bring is heard only while they are wanted.
type watcher struct {
	url         string
	token       string // for discovery, or empty; never logged
	loop        *loop
	client      *http.Client
	reconnects  bool // by itself: where lists are pushed, asking costs nothing
	cancel      context.CancelFunc
	fetching    bool
	lastHeardAt atomic.Int64 // on the event clock, when it last said anything
}

// newWatcher makes a watcher that is not started.
func newWatcher(address, token string, l *loop) *watcher {
	dialer := &net.Dialer{Timeout: l.config.Settings.ConnectTimeout}
	return &watcher{
		url:        "http://" + address + listPath,
		token:      token,
		loop:       l,
		reconnects: !l.config.Settings.MustSubscribe,
		client:     &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}},
	}
}

// isCurrent reports whether discovery has said lately that nothing else has changed.
func (w *watcher) isCurrent(now time.Duration) bool {
	at := time.Duration(w.lastHeardAt.Load())
	return at > 0 && now-at < watchTimeout
}

// start begins to watch for what changes after a version; nil asks for the complete list first. Like stop it
// never waits.
func (w *watcher) start(since *uint64) {
	ctx, cancel := context.WithCancel(context.Background())
	w.cancel = cancel
	go w.run(ctx, since)
}

// stop ends the watch: nothing that it brought and that the loop has not yet taken counts.
// shutDown ends the watch: nothing that it brought and that the loop has not yet taken counts.
func (w *watcher) stop() {
	if w.cancel != nil {
		w.cancel()
	}
}

// post hands what the watch brought to the loop, unless it has been stopped by then.
func (w *watcher) post(ctx context.Context, event func()) {
	w.loop.post(func() {
		if ctx.Err() == nil {
			event()
		}
	})
}

// run watches until it is stopped, or, where discovery must be asked, until the watch ends.
func (w *watcher) run(ctx context.Context, since *uint64) {
	backoff := minWatchBackoff
	lastLogged := ""
	for {
		reached, heard, err := w.watch(ctx, since)
		if ctx.Err() != nil {
			return
		}
		since = reached
		if !w.reconnects {
			w.post(ctx, func() { w.loop.handleListFailure(err) })
			return
		}
		if heard {
			backoff = minWatchBackoff
			lastLogged = ""
		}
		if text := err.Error(); text != lastLogged {
			log.Printf("discovery: %s", text)
			lastLogged = text
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(backoff/2 + rand.N(backoff)):
		}
		backoff = min(2*backoff, maxWatchBackoff)
	}
}

// watch follows the list until the connection ends, and returns whether it brought anything and which version
// it reached, so that the next watch misses nothing. Its error is never nil.
func (w *watcher) watch(ctx context.Context, since *uint64) (reached *uint64, heard bool, err error) {
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	timeout := time.AfterFunc(watchTimeout, cancel)
	defer timeout.Stop()
	url := w.url + followQuery
	if since != nil {
		url += sinceQuery + strconv.FormatUint(*since, 10)
	}
	body, err := w.get(watchCtx, url)
	if err != nil {
		return since, false, err
	}
	defer closeBody(body)
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxListBytes)
	for lines.Scan() {
		timeout.Reset(watchTimeout)
		w.lastHeardAt.Store(int64(w.loop.now()))
		line := bytes.TrimSpace(lines.Bytes())
		if len(line) == 0 {
			continue
		}
		var list endpointList
		if err := json.Unmarshal(line, &list); err != nil {
			// What the line held is missing: begin again with the complete list.
			return nil, heard, fmt.Errorf("watch: %w", err)
		}
		heard = true
		since = &list.Rev
		prepared := list.prepare(endpointsource.FromWatch)
		//nolint:contextcheck // a watch that the loop starts anew outlives the one that asked for it
		w.post(ctx, func() { w.loop.handlePreparedList(prepared, endpointsource.FromWatch) })
	}
	if err := lines.Err(); err != nil {
		return since, heard, fmt.Errorf("watch: %w", err)
	}
	return since, heard, errWatchEnded
}

// fetch gets the complete list once, unless that is under way. It is heard only while its discovery is the one
// that is followed.
func (w *watcher) fetch() {
	if w.fetching {
		return
	}
	w.fetching = true
	go func() {
		list, err := w.fetchFull()
		prepared := list.prepare(endpointsource.FromFetch)
		w.loop.post(func() {
			w.fetching = false
			switch {
			case w.loop.watcher != w:
			case err != nil:
				w.loop.handleListFailure(err)
			default:
				w.lastHeardAt.Store(int64(w.loop.now()))
				w.loop.handlePreparedList(prepared, endpointsource.FromFetch)
			}
		})
	}()
}

// fetchFull asks for the complete list.
func (w *watcher) fetchFull() (list endpointList, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	body, err := w.get(ctx, w.url)
	if err != nil {
		return list, err
	}
	defer closeBody(body)
	if err := json.NewDecoder(io.LimitReader(body, maxListBytes)).Decode(&list); err != nil {
		return list, fmt.Errorf("fetch: %w", err)
	}
	if !list.All {
		return list, errNotComplete
	}
	return list, nil
}

// get sends a request to discovery and returns the body of a 200.
func (w *watcher) get(ctx context.Context, url string) (io.ReadCloser, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	if w.token != "" {
		r.Header.Set("Authorization", "Bearer "+w.token)
	}
	res, err := w.client.Do(r)
	if err != nil {
		return nil, err
	}
	if res.StatusCode != http.StatusOK {
		closeBody(res.Body)
		return nil, fmt.Errorf("answered %s", res.Status)
	}
	return res.Body, nil
}

// closeBody closes the body of an answer that nothing more is wanted of.
func closeBody(body io.Closer) {
	_ = body.Close() // the connection is not used again: there is nothing to do about an error
}
