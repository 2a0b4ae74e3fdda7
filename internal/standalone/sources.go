package standalone

import (
	"context"
	"log"
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/modules/endpointsource"
)

// Follower follows a source of endpoints beside discovery until its context ends. It calls tell with each answer of that source,
// and heard when the source said that nothing has changed.
type Follower func(ctx context.Context, tell func(endpointsource.ConsulAnswer), heard func())

// viewTimeout is how long a view for people waits for the loop.
const viewTimeout = 2 * time.Second

// loadLastKnown begins with the endpoints as they were last known: by the platform's word, else by this sidecar's memory.
func (l *loop) loadLastKnown() {
	if l.memory != nil && len(l.config.Known.Targets) == 0 {
		if list, age, ok := l.memory.savedList(); ok {
			log.Printf("memory: begins with %d endpoints as they were %v ago", len(list.Endpoints), age.Round(time.Second))
			l.applyEndpoints(l.merger.HandlePlatformList(l.now(), list))
			return
		}
	}
	l.handleList(l.config.Known, endpointsource.FromCache)
}

// switchDiscovery turns to the discovery at another address. Its versions may count otherwise, so its complete list is
// asked for, and nothing that the old one still says is heard. Until that comes, the list stays as it is.
func (l *loop) switchDiscovery(address, token string) {
	l.watcher.stop()
	l.watcher = newWatcher(address, token, l)
	l.versionFilter.SwitchDiscovery()
	if address == "" {
		return
	}
	l.watcher.fetch()
	if l.config.Settings.MustSubscribe {
		l.balancer.HandleEndpoints(l.now(), balancer.EndpointList{Kind: balancer.ListFailed}) // it watches in its own time
		return
	}
	l.watcher.start(nil)
}

// handleList takes a list of the platform's in.
func (l *loop) handleList(got endpointList, from endpointsource.ListOrigin) {
	l.handlePreparedList(got.prepare(from), from)
}

// handlePreparedList takes in a list that was prepared ahead: in chunks, with other events in between.
func (l *loop) handlePreparedList(list preparedList, from endpointsource.ListOrigin) {
	accepted, rewatch := l.versionFilter.Accept(from, list.rev, list.all)
	if rewatch {
		l.watcher.stop()
		l.watcher.start(&list.rev)
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

// handleListFailure takes the word that discovery gave no list, or that the watch on it has ended.
func (l *loop) handleListFailure(err error) {
	log.Printf("discovery: %v", err)
	l.balancer.HandleEndpoints(l.now(), balancer.EndpointList{Kind: balancer.ListFailed})
}

// applyEndpoints passes on what the merger made of its sources, if that has changed, and has it called when it is next due.
func (l *loop) applyEndpoints(list endpointsource.List, changed bool) {
	for _, line := range l.merger.TakeLogs() {
		log.Print(line)
	}
	if changed {
		l.publish(list)
	}
	l.scheduleTick()
}

// publish passes a list on, first into the table of endpoints, so that what the Balancer then sends finds its address.
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

// scheduleTick has the merger called when it is next due, unless an earlier call is scheduled.
func (l *loop) scheduleTick() {
	at, ok := l.merger.NextTick()
	if !ok || l.nextTick != 0 && at >= l.nextTick {
		return
	}
	l.nextTick = at
	time.AfterFunc(at-l.now(), func() {
		l.post(func() {
			if l.nextTick == at { // else an earlier one has taken its place, and asks for the next
				l.nextTick = 0
			}
			l.applyEndpoints(l.merger.Tick(l.now()))
		})
	})
}

// startFollower follows another source in place of the one before; nil for none. Nothing that the old one
// still says is heard.
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
	tell := func(a endpointsource.ConsulAnswer) {
		postIfFollowed(func() { l.applyEndpoints(l.merger.HandleConsulAnswer(l.now(), a)) })
	}
	heard := func() {
		postIfFollowed(func() { l.applyEndpoints(l.merger.HandleConsulUnchanged(l.now())) })
	}
	go follow(ctx, tell, heard)
}

// endpointView is what the endpoints are, for people; false where the loop does not answer in time.
func (l *loop) endpointView() (source string, rows []endpointsource.Row, ok bool) {
	late := time.NewTimer(viewTimeout)
	defer late.Stop()
	done := make(chan struct{})
	event := func() {
		source = string(l.merger.Mode())
		rows = l.merger.Rows(l.now())
		close(done)
	}
	select {
	case l.events <- event:
	case <-late.C:
		return "", nil, false
	}
	<-done // the loop never waits, so this comes
	return source, rows, true
}
