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
	// clockStart is the event clock at the start of the process. It is well above 0, so that an endpoint
	// that started shortly before this sidecar did has a start above 0 too: 0 stands for long past.
	clockStart = 24 * time.Hour
	// eventQueueSize is how many events may wait for the loop before those who post further ones wait too.
	eventQueueSize = 1024
	// sweepInterval is how often idle connections are looked at.
	sweepInterval = time.Second
)

// loop owns the Balancer and all state that goes with it: one goroutine runs the functions in events, and
// only it touches the fields from config on. It is the Balancer's Host.
type loop struct {
	events     chan func()
	origin     time.Time   // zero of the event clock
	ready      atomic.Bool // the Balancer has a list
	bodyBudget exchange.Budget

	config        *Config
	shutdownAt    time.Time // when all must be answered; zero unless this sidecar is shutting down
	versionFilter endpointsource.VersionFilter
	merger        *endpointsource.Merger
	nextTick      time.Duration // when the merger is next due, on the event clock; 0 for never
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

// newLoop prepares a loop; run runs it. Its errors are those of the memory, the transports and the Balancer's settings.
func newLoop(c *Config) (*loop, error) {
	l := &loop{
		events:        make(chan func(), eventQueueSize),
		origin:        time.Now().Add(-clockStart),
		config:        c,
		requests:      map[balancer.RequestID]*request{},
		versionFilter: endpointsource.VersionFilter{MustSubscribe: c.Settings.MustSubscribe},
		merger:        endpointsource.New(c.tuning.endpointSource, c.Settings.Zones, c.Settings.Models),
		stopFollower:  func() {},
	}
	l.endpoints = newEndpoints(c.Settings.Zones, c.Settings.Models, l.origin)
	if err := l.openTransports(); err != nil {
		return nil, err
	}
	l.bodyBudget.Release(int(c.tuning.callers.BodyShare * float64(c.Limits.MemoryMB<<20)))
	l.watcher = newWatcher(c.Discovery, c.token, l)
	var err error
	if l.memory, err = openMemory(c, l.endpoints.zones, l.now()); err != nil {
		return nil, err
	}
	settings := c.Settings.Settings
	settings.MaxSubsetSize = c.tuning.endpoints.MaxSubsetSize
	l.balancer, err = balancer.New(settings, c.Seed, l)
	return l, err
}

// openTransports opens the ways to endpoints that the configuration asks for.
func (l *loop) openTransports() error {
	c := l.config
	sockets := int(c.tuning.endpoints.Share * float64(c.Limits.Sockets-reservedSockets))
	idleTimeout := c.idleTimeout(c.tuning)
	l.http1 = http1.NewTransport(sockets, idleTimeout, c.Settings.ConnectTimeout)
	l.transports.fallback = l.http1
	preferred, err := openHTTP3Transport(c, sockets, idleTimeout)
	if err != nil {
		return err
	}
	if preferred == nil {
		return nil
	}
	l.transports.preferred = preferred
	l.transports.tracker.Settings = protocolfallback.Settings{
		InitialBackoff: c.tuning.http3Endpoints.MinPause,
		MaxBackoff:     c.tuning.http3Endpoints.MaxPause,
	}
	return nil
}

// now is the time on the event clock.
func (l *loop) now() time.Duration { return time.Since(l.origin) }

// post hands an event to the loop. Only other goroutines may call it.
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

// sweep closes idle connections, and notes that the saved list still holds while discovery is heard.
func (l *loop) sweep() {
	l.transports.sweep(time.Now())
	if l.memory != nil && l.watcher.isCurrent(l.now()) {
		l.memory.refreshList(l.now())
	}
}
