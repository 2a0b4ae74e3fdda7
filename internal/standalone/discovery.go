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
	// maxListBytes is the maximum size of one list.
	maxListBytes = 4 << 20
	// fetchTimeout is the maximum duration of a fetch of the complete list.
	fetchTimeout = 5 * time.Second
	// watchTimeout ends a watch on which no line has arrived for that long. Discovery sends an empty line every 2 s, and assumes that a
	// sidecar knows a change after 6 s: by then another watch must have received it.
	watchTimeout = 4500 * time.Millisecond
	// A watch that has ended is resumed after a backoff with jitter, which doubles until a list arrives.
	minWatchBackoff = 50 * time.Millisecond
	maxWatchBackoff = 2 * time.Second
)

// The HTTP interface of discovery.
const (
	listPath    = "/v1/endpoints"
	followQuery = "?follow=1" // requests a stream with one list per line, and empty lines as heartbeats
	sinceQuery  = "&since="   // requests only the changes after this version
)

var (
	errWatchEnded  = errors.New("watch ended")
	errNotComplete = errors.New("fetch: the answer is not a complete list")
)

// watcher is the client of the discovery server at one address. The loop owns it. Its goroutines post lists to the loop, which
// ignores the lists of a watcher that was stopped or replaced.
type watcher struct {
	url         string
	token       string // bearer token for discovery, or empty; never logged
	loop        *loop
	client      *http.Client
	reconnects  bool // the watcher resumes a watch that has ended; otherwise the Balancer starts the next watch
	cancel      context.CancelFunc
	fetching    bool         // a fetch of the complete list is in progress
	lastHeardAt atomic.Int64 // time on the event clock at which discovery last sent anything
}

// newWatcher returns a watcher that has not been started.
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

// isCurrent reports whether discovery has sent anything within watchTimeout, so that the list is up to date.
func (w *watcher) isCurrent(now time.Duration) bool {
	at := time.Duration(w.lastHeardAt.Load())
	return at > 0 && now-at < watchTimeout
}

// start begins to watch for changes after a version; nil requests the complete list first. Neither start nor stop blocks.
func (w *watcher) start(since *uint64) {
	ctx, cancel := context.WithCancel(context.Background())
	w.cancel = cancel
	go w.run(ctx, since)
}

// stop ends the watch. Lists that it has posted and that the loop has not handled yet are discarded.
func (w *watcher) stop() {
	if w.cancel != nil {
		w.cancel()
	}
}

// post has the loop handle an event of the watch, unless the watch has been stopped by then.
func (w *watcher) post(ctx context.Context, event func()) {
	w.loop.post(func() {
		if ctx.Err() == nil {
			event()
		}
	})
}

// run watches until the watcher is stopped, resuming watches that end. If the watcher does not reconnect, run returns after one watch.
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

// watch receives lists until the connection ends. It returns the version of the last list, from which the next watch continues, and
// whether a list arrived. Its error is never nil.
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
			// The changes of this line are lost, so the next watch starts with the complete list.
			return nil, heard, fmt.Errorf("watch: %w", err)
		}
		heard = true
		since = &list.Rev
		prepared := list.prepare(endpointsource.FromWatch)
		//nolint:contextcheck // a watch that the loop starts by this event outlives the present one
		w.post(ctx, func() { w.loop.handlePreparedList(prepared, endpointsource.FromWatch) })
	}
	if err := lines.Err(); err != nil {
		return since, heard, fmt.Errorf("watch: %w", err)
	}
	return since, heard, errWatchEnded
}

// fetch requests the complete list once, unless a fetch is in progress. The result is ignored if the loop has switched to another
// discovery server by then.
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

// fetchFull requests the complete list and waits for it, for at most fetchTimeout.
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

// get sends a request to discovery and returns the body of the answer, which the caller must close. A status other than 200 is an error.
func (w *watcher) get(ctx context.Context, url string) (io.ReadCloser, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	if w.token != "" {
		req.Header.Set("Authorization", "Bearer "+w.token)
	}
	res, err := w.client.Do(req)
	if err != nil {
		return nil, err
	}
	if res.StatusCode != http.StatusOK {
		closeBody(res.Body)
		return nil, fmt.Errorf("unexpected status %s", res.Status)
	}
	return res.Body, nil
}

// closeBody closes the body of a response. The connection is not used again, so an error does not matter.
func closeBody(body io.Closer) { _ = body.Close() }
