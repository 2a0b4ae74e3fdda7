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
	// clockStart is the time on the event clock at which the process starts. It is well above 0, so that the start time of an endpoint
	// that started shortly before this sidecar is above 0 as well: 0 means long ago.
	clockStart = 24 * time.Hour
	// eventQueueSize is the maximum number of events that wait for the loop. While the queue is full, post blocks.
	eventQueueSize = 1024
	// sweepInterval is the time between two checks of idle connections.
	sweepInterval = time.Second
)

// loop owns the Balancer and all state that goes with it: one goroutine runs the functions in events, and only that goroutine
// accesses the fields from config on. It is the Balancer's Host.
type loop struct {
	events     chan func()
	origin     time.Time       // zero of the event clock
	ready      atomic.Bool     // the Balancer has a list of endpoints
	bodyBudget exchange.Budget // bytes available for bodies of requests and responses

	config        *Config
	shutdownAt    time.Time // time by which all requests must be answered; zero unless this sidecar is shutting down
	versionFilter endpointsource.VersionFilter
	merger        *endpointsource.Merger
	nextTick      time.Duration      // time on the event clock of the merger's next scheduled Tick; 0 for none
	stopFollower  context.CancelFunc // stops the current follower; never nil
	balancer      *balancer.Balancer
	requests      map[balancer.RequestID]*request // requests that are not answered or have an attempt in flight
	recentIDs     recentIDs
	endpoints     *endpointTable
	http1         *http1.Transport // the fallback of transports
	transports    transports
	watcher       *watcher
	memory        *memory // records on disk; nil if none are stored
	backlog       backlog // chunks of lists that are not applied yet
}

// newLoop returns a loop that is not running yet. It fails if a transport or the store cannot be opened, or if the Balancer's settings
// are invalid.
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
	sockets := int(config.tuning.endpoints.SocketShare * float64(config.Limits.Sockets-reservedSockets))
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

// now returns the time on the event clock.
func (l *loop) now() time.Duration { return time.Since(l.origin) }

// post queues an event for the loop to run. The loop's own goroutine must not call it: it would block forever if the queue were full.
func (l *loop) post(event func()) { l.events <- event }

// run starts to follow the sources of endpoints and handles events until the process ends.
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
			l.backlog.runNext()
		case <-sweep.C:
			l.sweep()
		}
	}
}

// sweep closes connections that have been idle for too long, and confirms the saved list if discovery has sent something recently.
func (l *loop) sweep() {
	l.transports.sweep(time.Now())
	if l.memory != nil && l.watcher.isCurrent(l.now()) {
		l.memory.refreshList(l.now())
	}
}
