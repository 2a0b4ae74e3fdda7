package standalone

import (
	"context"
	"log"
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/modules/endpointsource"
)

// Follower follows a source of endpoints other than discovery until its context ends. It calls changed with each answer of that source,
// and unchanged if an answer contains no change.
type Follower func(ctx context.Context, changed func(endpointsource.ConsulAnswer), unchanged func())

// viewTimeout is how long the admin pages wait for the loop.
const viewTimeout = 2 * time.Second

// loadLastKnown applies the last known endpoints: those in the platform's file or, if it has none, those in the saved list.
func (l *loop) loadLastKnown() {
	if l.memory != nil && len(l.config.Known.Targets) == 0 {
		if list, age, ok := l.memory.savedList(); ok {
			log.Printf("memory: starting with the saved list of %d endpoints, last confirmed %v ago", len(list.Endpoints), age.Round(time.Second))
			l.applyEndpoints(l.merger.HandlePlatformList(l.now(), list))
			return
		}
	}
	l.handleList(l.config.Known, endpointsource.FromCache)
}

// switchDiscovery replaces the discovery server by the one at an address. Its versions are not comparable with those of the previous
// server, so its complete list is requested, and late lists of the previous server are ignored. The current list stays in use until
// the new one arrives.
func (l *loop) switchDiscovery(address, token string) {
	l.watcher.stop()
	l.watcher = newWatcher(address, token, l)
	l.versionFilter.SwitchDiscovery()
	if address == "" {
		return
	}
	l.watcher.fetch()
	if l.config.Settings.MustSubscribe {
		l.balancer.HandleEndpoints(l.now(), balancer.EndpointList{Kind: balancer.ListFailed}) // the Balancer decides when to watch again
		return
	}
	l.watcher.start(nil)
}

// handleList applies a list from discovery or from the platform's file.
func (l *loop) handleList(list endpointList, from endpointsource.ListOrigin) {
	l.handlePreparedList(list.prepare(from), from)
}

// handlePreparedList applies a prepared list in chunks, with other events in between.
func (l *loop) handlePreparedList(list preparedList, from endpointsource.ListOrigin) {
	accepted, rewatch := l.versionFilter.Accept(from, list.version, list.full)
	if rewatch {
		l.watcher.stop()
		l.watcher.start(&list.version)
	}
	if !accepted {
		return
	}
	var steps []func()
	for _, chunk := range l.merger.Chunks(list.PreparedList, maxChunkEntries) {
		steps = append(steps, func() { l.applyEndpoints(l.merger.HandlePlatformList(l.now(), chunk())) })
	}
	l.backlog.add(steps...)
}

// handleListFailure handles a failed fetch, or the end of a watch that only the Balancer may start again.
func (l *loop) handleListFailure(err error) {
	log.Printf("discovery: %v", err)
	l.balancer.HandleEndpoints(l.now(), balancer.EndpointList{Kind: balancer.ListFailed})
}

// applyEndpoints logs and publishes what the merger returned, and schedules its next Tick.
func (l *loop) applyEndpoints(list endpointsource.List, changed bool) {
	for _, line := range l.merger.TakeLogs() {
		log.Print(line)
	}
	if changed {
		l.publish(list)
	}
	l.scheduleTick()
}

// publish applies a list to the table of endpoints and then passes it to the Balancer. The table comes first because the Balancer may send
// attempts immediately, which look their endpoints up in it.
func (l *loop) publish(list endpointsource.List) {
	entries, retired := l.endpoints.apply(list)
	for _, e := range retired {
		l.transports.closeIdle(e)
		if l.endpoints.byID[e.ID] == nil {
			l.transports.forget(e)
		}
	}
	l.balancer.HandleEndpoints(l.now(), balancer.EndpointList{Kind: list.Kind, Version: list.Version, Entries: entries})
	if l.memory != nil {
		l.memory.saveList(l.now(), list, l.endpoints.byID)
	}
	if list.Kind != balancer.ListCached || len(entries) > 0 {
		l.ready.Store(true)
	}
}

// scheduleTick schedules the merger's next Tick, unless an earlier one is scheduled.
func (l *loop) scheduleTick() {
	at, ok := l.merger.NextTick()
	if !ok || l.nextTick != 0 && at >= l.nextTick {
		return
	}
	l.nextTick = at
	time.AfterFunc(at-l.now(), func() {
		l.post(func() {
			if l.nextTick == at { // otherwise an earlier Tick was scheduled since, which schedules the next one
				l.nextTick = 0
			}
			l.applyEndpoints(l.merger.Tick(l.now()))
		})
	})
}

// startFollower replaces the current follower; nil stops it without a replacement. Late answers of the previous follower are ignored.
func (l *loop) startFollower(follow Follower) {
	l.stopFollower()
	if follow == nil {
		l.stopFollower = func() {}
		return
	}
	l.merger.RestartConsul()
	ctx, cancel := context.WithCancel(context.Background())
	l.stopFollower = cancel
	postIfFollowed := func(event func()) {
		l.post(func() {
			if ctx.Err() == nil {
				event()
			}
		})
	}
	changed := func(answer endpointsource.ConsulAnswer) {
		postIfFollowed(func() { l.applyEndpoints(l.merger.HandleConsulAnswer(l.now(), answer)) })
	}
	unchanged := func() {
		postIfFollowed(func() { l.applyEndpoints(l.merger.HandleConsulUnchanged(l.now())) })
	}
	go follow(ctx, changed, unchanged)
}

// endpointView is the EndpointView for the admin pages; ok is false if the loop's event queue stays full for viewTimeout.
func (l *loop) endpointView() (source string, rows []endpointsource.Row, ok bool) {
	timer := time.NewTimer(viewTimeout)
	defer timer.Stop()
	done := make(chan struct{})
	event := func() {
		source = string(l.merger.Mode())
		rows = l.merger.Rows(l.now())
		close(done)
	}
	select {
	case l.events <- event:
	case <-timer.C:
		return "", nil, false
	}
	<-done // the loop never blocks, so this does not take long
	return source, rows, true
}
