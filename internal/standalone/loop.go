package standalone

import (
	"context"
	"sync/atomic"
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/modules/endpointsource"
	"quincegap/internal/modules/protocolfallback"
	"quincegap/internal/network/exchange"
	"quincegap/internal/network/http1"
)

const (
	// clockStart is the event clock at the start of the process. It is well above 0, so that the start of an endpoint shortly before
	// that of this sidecar is above 0 as well: 0 means long ago.
	clockStart = 24 * time.Hour
	// eventQueueSize is how many events may wait for the loop. Beyond it, goroutines that post block.
	eventQueueSize = 1024
	// sweepInterval is how often idle connections are checked.
	sweepInterval = time.Second
)

// loop owns the Balancer and all state that goes with it: one goroutine runs the functions in events, and only that goroutine
// accesses the fields from config on. It is the Balancer's Host.
type loop struct {
	events     chan func()
	origin     time.Time       // zero of the event clock
	ready      atomic.Bool     // the Balancer has a list
	bodyBudget exchange.Budget // bytes for bodies of requests and responses

	config        *Config
	shutdownAt    time.Time // when all requests must be answered; zero unless this sidecar is shutting down
	versionFilter endpointsource.VersionFilter
	merger        *endpointsource.Merger
	nextTick      time.Duration // when the merger's next Tick is scheduled, on the event clock; 0 for not at all
	stopFollower  context.CancelFunc
	balancer      *balancer.Balancer
	requests      map[balancer.RequestID]*request
	recentIDs     recentIDs
	endpoints     *endpointTable
	http1         *http1.Transport // the fallback of transports
	transports    transports
	watcher       *watcher
	memory        *memory // nil for none
	backlog       backlog
}

// newLoop returns a loop that does not run yet. Its errors are those of the transports, the memory and the Balancer's settings.
func newLoop(config *Config) (*loop, error) {
	loop := &loop{
		events:        make(chan func(), eventQueueSize),
		origin:        time.Now().Add(-clockStart),
		config:        config,
		requests:      map[balancer.RequestID]*request{},
		versionFilter: endpointsource.VersionFilter{MustSubscribe: config.Settings.MustSubscribe},
		merger:        endpointsource.New(config.tuning.endpointSource, config.Settings.Zones, config.Settings.Models),
		stopFollower:  func() {},
	}
	loop.endpoints = newEndpointTable(config.Settings.Zones, config.Settings.Models, loop.origin)
	if err := loop.openTransports(); err != nil {
		return nil, err
	}
	loop.bodyBudget.Release(int(config.tuning.callers.BodyShare * float64(config.Limits.MemoryMB<<20)))
	loop.watcher = newWatcher(config.Discovery, config.token, loop)
	var err error
	if loop.memory, err = openMemory(config, loop.endpoints.zones, loop.now()); err != nil {
		return nil, err
	}
	settings := config.Settings.Settings
	settings.MaxSubsetSize = config.tuning.endpoints.MaxSubsetSize
	loop.balancer, err = balancer.New(settings, config.Seed, loop)
	return loop, err
}

// openTransports opens the transports to endpoints that the configuration uses.
func (l *loop) openTransports() error {
	config := l.config
	sockets := int(config.tuning.endpoints.Share * float64(config.Limits.Sockets-reservedSockets))
	idleTimeout := config.idleTimeout(config.tuning)
	l.http1 = http1.NewTransport(sockets, idleTimeout, config.Settings.ConnectTimeout)
	l.transports.fallback = l.http1
	preferred, err := openHTTP3Transport(config, sockets, idleTimeout)
	if err != nil {
		return err
	}
	if preferred == nil {
		return nil
	}
	l.transports.preferred = preferred
	l.transports.tracker.Settings = protocolfallback.Settings{
		InitialBackoff: config.tuning.http3Endpoints.MinPause,
		MaxBackoff:     config.tuning.http3Endpoints.MaxPause,
	}
	return nil
}

// now is the time on the event clock.
func (l *loop) now() time.Duration { return time.Since(l.origin) }

// post has the loop run an event. The loop's own goroutine must not call it: it would block while the queue is full.
func (l *loop) post(event func()) { l.events <- event }

// run handles events until the process ends.
func (l *loop) run() {
	l.loadLastKnown()
	if !l.config.Settings.MustSubscribe && l.config.Discovery != "" {
		l.watcher.start(l.versionFilter.WatchFrom())
	}
	l.startFollower(l.config.follower)
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	for {
		select {
		case event := <-l.events:
			event()
		case <-l.backlog.ready():
			l.backlog.next()
		case <-sweep.C:
			l.sweep()
		}
	}
}

// sweep closes connections that have been idle for too long, and confirms the saved list while discovery is heard.
func (l *loop) sweep() {
	l.transports.sweep(time.Now())
	if l.memory != nil && l.watcher.isCurrent(l.now()) {
		l.memory.refreshList(l.now())
	}
}
