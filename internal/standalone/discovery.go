package standalone

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/modules/endpointsource"
	"quincegap/internal/network/exchange"
)

const (
	maxListBytes = 4 << 20 // bytes of one list
	fetchTimeout = 5 * time.Second
	// watchTimeout ends a watch that says nothing: an empty line is due every 2 s, and what discovery has to
	// tell counts as told 6 s later at the latest, by which time another watch must have brought it.
	watchTimeout    = 4500 * time.Millisecond
	minWatchBackoff = 50 * time.Millisecond
	maxWatchBackoff = 2 * time.Second
)

// endpointList is discovery's list of endpoints, whole or what changed.
type endpointList struct {
	Rev     uint64           `json:"rev"`
	All     bool             `json:"all"`
	Targets []listedEndpoint `json:"targets"`
}

type listedEndpoint struct {
	UID     string  `json:"uid"`
	Address string  `json:"endpoint"`
	Zone    string  `json:"az"`
	Model   string  `json:"model"`
	Cell    int     `json:"pod_group"`
	State   string  `json:"state"`
	Weight  float64 `json:"capacity_hint"`
	BootMS  int64   `json:"boot_ms"`
}

var endpointStates = map[string]balancer.EndpointState{
	"Ready": balancer.EndpointReady, "Terminating": balancer.EndpointDraining, "Gone": balancer.EndpointRemoved,
}

// sourceList puts a list into the terms of those who judge it.
func (e endpointList) sourceList(from endpointsource.ListOrigin) endpointsource.List {
	list := endpointsource.List{Kind: balancer.ListDelta, Version: e.Rev}
	switch {
	case from == endpointsource.FromCache:
		list.Kind = balancer.ListCached
	case e.All:
		list.Kind = balancer.ListFull
	}
	for _, x := range e.Targets {
		endpoint := endpointsource.Endpoint{UID: x.UID, Address: x.Address, Zone: x.Zone, Model: x.Model, Cell: x.Cell, Weight: x.Weight, StartedMS: x.BootMS}
		var ok bool
		if endpoint.State, ok = endpointStates[x.State]; !ok {
			endpoint.State, endpoint.Reason = endpointsource.StateUnknown, x.State
		}
		list.Endpoints = append(list.Endpoints, endpoint)
	}
	return list
}

// preparedList is a list that was sorted out by who read it, so that the loop does not have to.
type preparedList struct {
	endpointsource.PreparedList
	rev uint64
	all bool
}

func (e endpointList) prepare(from endpointsource.ListOrigin) preparedList {
	return preparedList{endpointsource.PrepareList(e.sourceList(from), maxChunkEntries), e.Rev, e.All}
}

// endpointTable is the table of the endpoints that are listed. One that has gone is forgotten at once: what is
// still out to it holds on to its endpoint, that is open to nothing new. The loop owns the table.
type endpointTable struct {
	origin time.Time // zero of the event clock
	byID   map[balancer.EndpointID]*exchange.Endpoint
	ids    map[string]balancer.EndpointID
	zones  nameIndex
	models nameIndex
}

// nameIndex numbers names as the settings do, and those that they lack after them. Membership bounds them.
type nameIndex map[string]int

func (n nameIndex) index(name string) int {
	i, ok := n[name]
	if !ok {
		i = len(n)
		n[name] = i
	}
	return i
}

func newEndpoints(zones, models []string, origin time.Time) *endpointTable {
	t := &endpointTable{
		origin: origin, byID: map[balancer.EndpointID]*exchange.Endpoint{},
		ids: map[string]balancer.EndpointID{}, zones: nameIndex{}, models: nameIndex{},
	}
	for _, z := range zones {
		t.zones.index(z)
	}
	for _, m := range models {
		t.models.index(m)
	}
	return t
}

// entryID numbers a uid. Where it ends in 32 bits of hexadecimal, as discovery's do, these are its number: the
// same at every sidecar, and no two share it. Others are hashed, and where two would share a number, the
// later one moves on.
func (e *endpointTable) endpointID(uid string) balancer.EndpointID {
	if id, ok := e.ids[uid]; ok {
		return id
	}
	n, err := strconv.ParseUint(uid[strings.LastIndexByte(uid, '-')+1:], 16, 32)
	if err != nil {
		h := fnv.New32a()
		io.WriteString(h, uid)
		n = uint64(h.Sum32())
	}
	id := balancer.EndpointID(n)
	for e.byID[id] != nil {
		id++
	}
	return id
}

// insert puts an endpoint into the table, in the place of one that it replaces.
func (e *endpointTable) insert(endpoint *exchange.Endpoint) {
	e.byID[endpoint.ID], e.ids[endpoint.UID] = endpoint, endpoint.ID
}

// remove takes an endpoint that has gone out of the table.
func (e *endpointTable) remove(endpoint *exchange.Endpoint) {
	endpoint.Open.Store(false)
	delete(e.byID, endpoint.ID)
	delete(e.ids, endpoint.UID)
}

// apply takes a list in and returns it in the Balancer's terms, with the endpoints whose idle connections
// are of no more use.
func (e *endpointTable) apply(l endpointsource.List) (entries []balancer.ListEntry, retired []*exchange.Endpoint) {
	listed := map[balancer.EndpointID]bool{}
	for _, x := range l.Endpoints {
		state := x.State
		id := e.endpointID(x.UID)
		listed[id] = true
		endpoint := e.byID[id]
		if endpoint == nil || state == balancer.EndpointReady && (endpoint.Address != x.Address || endpoint.BootMS != x.StartedMS) {
			if endpoint != nil {
				endpoint.Open.Store(false)
				retired = append(retired, endpoint)
			}
			endpoint = &exchange.Endpoint{ID: id, UID: x.UID, Address: x.Address, BootMS: x.StartedMS}
			e.insert(endpoint)
		}
		endpoint.Zone, endpoint.Cell = x.Zone, x.Cell
		endpoint.Open.Store(state == balancer.EndpointReady)
		if state != balancer.EndpointReady {
			retired = append(retired, endpoint)
		}
		if state == balancer.EndpointRemoved {
			e.remove(endpoint)
		}
		entries = append(entries, balancer.ListEntry{
			Endpoint: id, Zone: e.zones.index(x.Zone), MachineKind: e.models.index(x.Model), Cell: x.Cell, State: state,
			Weight: x.Weight, StartedAt: e.startTime(x.StartedMS),
		})
	}
	if l.Kind != balancer.ListDelta {
		for id, endpoint := range e.byID {
			if !listed[id] {
				e.remove(endpoint)
				retired = append(retired, endpoint)
			}
		}
	}
	return entries, retired
}

// startTime puts a start in Unix time on the event clock. It always gives the same for the same start: the
// Balancer takes a later one for a restart.
func (e *endpointTable) startTime(bootMS int64) time.Duration {
	if bootMS == 0 {
		return 0
	}
	return max(time.UnixMilli(bootMS).Sub(e.origin.Round(0)), 0)
}

// watcher talks to the discovery at one address. Like the loop's other fields it belongs to the loop; what
// its goroutines bring is heard only while they are wanted.
type watcher struct {
	url         string
	token       string // for discovery, or empty; never logged
	loop        *loop
	client      *http.Client
	reconnects  bool // reconnect by itself: where lists are pushed, asking costs nothing
	cancel      context.CancelFunc
	fetching    bool
	lastHeardAt atomic.Int64 // on the event clock, when it last said anything
}

func newWatcher(address, token string, l *loop) *watcher {
	dialer := &net.Dialer{Timeout: l.config.Settings.ConnectTimeout}
	return &watcher{
		url: "http://" + address + "/v1/endpoints", token: token, loop: l, reconnects: !l.config.Settings.MustSubscribe,
		client: &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}},
	}
}

// currentProtocols tells whether discovery has said lately that nothing else has changed.
func (w *watcher) isCurrent(now time.Duration) bool {
	at := time.Duration(w.lastHeardAt.Load())
	return at > 0 && now-at < watchTimeout
}

// start begins to watch for what changes after a version; nil asks for the whole list first. Like stop it
// never waits.
func (w *watcher) start(since *uint64) {
	ctx, cancel := context.WithCancel(context.Background())
	w.cancel = cancel
	go w.run(ctx, since)
}

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
	pause := minWatchBackoff
	told := ""
	for {
		reached, got, err := w.watch(ctx, since)
		if ctx.Err() != nil {
			return
		}
		since = reached
		if !w.reconnects {
			w.post(ctx, func() { w.loop.handleListFailure(err) })
			return
		}
		if got {
			pause, told = minWatchBackoff, ""
		}
		if text := err.Error(); text != told {
			log.Printf("discovery: %s", text)
			told = text
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause/2 + rand.N(pause)):
		}
		pause = min(2*pause, maxWatchBackoff)
	}
}

// watch follows the list until the connection ends, and tells whether it brought anything and what version
// it reached, so that the next watch misses nothing.
func (w *watcher) watch(ctx context.Context, since *uint64) (reached *uint64, got bool, err error) {
	ctx2, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(watchTimeout, cancel)
	defer silence.Stop()
	url := w.url + "?follow=1"
	if since != nil {
		url += "&since=" + strconv.FormatUint(*since, 10)
	}
	body, err := w.get(ctx2, url)
	if err != nil {
		return since, false, err
	}
	defer body.Close()
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxListBytes)
	for lines.Scan() {
		silence.Reset(watchTimeout)
		w.lastHeardAt.Store(int64(w.loop.now()))
		line := bytes.TrimSpace(lines.Bytes())
		if len(line) == 0 {
			continue
		}
		var l endpointList
		if err := json.Unmarshal(line, &l); err != nil {
			// What the line held is missing: begin again with the whole list.
			return nil, got, fmt.Errorf("watch: %w", err)
		}
		got, since = true, &l.Rev
		d := l.prepare(endpointsource.FromWatch)
		w.post(ctx, func() { w.loop.handlePreparedList(d, endpointsource.FromWatch) })
	}
	if err := lines.Err(); err != nil {
		return since, got, fmt.Errorf("watch: %w", err)
	}
	return since, got, errors.New("watch ended")
}

// fetch gets the whole list once, unless that is under way. It is heard only while its discovery is the one
// that is followed.
func (w *watcher) fetch() {
	if w.fetching {
		return
	}
	w.fetching = true
	go func() {
		got, err := w.fetchFull()
		d := got.prepare(endpointsource.FromFetch)
		w.loop.post(func() {
			w.fetching = false
			switch {
			case w.loop.watcher != w:
			case err != nil:
				w.loop.handleListFailure(err)
			default:
				w.lastHeardAt.Store(int64(w.loop.now()))
				w.loop.handlePreparedList(d, endpointsource.FromFetch)
			}
		})
	}()
}

// fetchFull asks for the whole list.
func (w *watcher) fetchFull() (l endpointList, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	body, err := w.get(ctx, w.url)
	if err != nil {
		return l, err
	}
	defer body.Close()
	if err := json.NewDecoder(io.LimitReader(body, maxListBytes)).Decode(&l); err != nil {
		return l, fmt.Errorf("fetch: %w", err)
	}
	if !l.All {
		return l, errors.New("fetch: not the whole list")
	}
	return l, nil
}

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
		res.Body.Close()
		return nil, fmt.Errorf("answered %s", res.Status)
	}
	return res.Body, nil
}
