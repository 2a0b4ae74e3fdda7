package assembly

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"quincegap/internal/lifecycle"
	"quincegap/internal/mesh/operations/logging"
	"quincegap/internal/mesh/operations/settings"
	"quincegap/internal/mesh/transport"
)

const (
	gcPercent           = 150                   // argument of debug.SetGCPercent
	reloadInterval      = 5 * time.Second       // time between two reads of the settings file, which may change without a SIGHUP
	taskStopTimeout     = 50 * time.Millisecond // longest wait for the background tasks to end; the process exits even if one hangs
	serverErrorCapacity = 8                     // capacity of serverErrors; larger than the number of servers, so that none of them blocks
	bitsPerMegabit      = 1e6
)

// process is the part that both programs have in common.
type process struct {
	program      settings.Program
	settings     *settings.Settings // settings at the start of the process; reloads do not change them
	settingsPath string
	signals      lifecycle.Signals
	hub          *transport.Hub
	sockets      socketGroups
	memory       memoryPools
	heapLimit    heapLimit
	log          *logrus.Logger
	logRing      *logging.Ring
	seed         uint64 // seed of all random numbers except the incarnation

	ctx        context.Context // parent of all contexts of the process; close cancels it
	cancel     context.CancelFunc
	terminated chan struct{}  // closed after a signal to terminate
	tasks      sync.WaitGroup // background goroutines; close waits for them, at most taskStopTimeout

	listeners    []net.Listener
	httpServers  []*http.Server
	serverErrors chan error // errors of the servers that have failed
}

// newProcess reads the settings file, and returns a process that has no servers yet. The error is errTerminated if a signal to terminate
// comes before the file can be read; otherwise it names the file, and each field that is invalid.
func newProcess(program settings.Program, settingsPath string, signals lifecycle.Signals) (*process, error) {
	log, ring := logging.New(os.Stderr)
	p := &process{
		program:      program,
		settingsPath: settingsPath,
		signals:      signals,
		log:          log,
		logRing:      ring,
		seed:         rand.Uint64(),
		terminated:   make(chan struct{}),
		serverErrors: make(chan error, serverErrorCapacity),
	}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	p.run(p.awaitSignal)
	ctx, cancel := p.startContext()
	defer cancel()
	loaded, err := p.loadSettings(ctx)
	if err != nil {
		p.cancel()
		return nil, err
	}
	p.configure(loaded)
	return p, nil
}

// configure sets the limits of memory and creates the hub, as the settings say.
func (p *process) configure(loaded *settings.Settings) {
	p.settings = loaded
	debug.SetGCPercent(gcPercent)
	machineBytes := int64(loaded.MemoryMB) << 20
	p.memory = newMemoryPools(machineBytes)
	p.sockets = newSocketGroups(machineBytes, &p.memory)
	p.heapLimit.adjust(machineBytes, p.memory.receiveBytes())
	hello := transport.Hello{
		Incarnation: rand.Uint64() | 1, // never 0, which stands for no incarnation
		Address:     loaded.InternalAddress(),
		Name:        loaded.Name,
		Zone:        loaded.Zone,
		Service:     loaded.Service,
	}
	p.hub = transport.NewHub(hello, time.Now(), largestRequestBytes, p.log)
	p.hub.SetDialer(p.sockets.links.Dial)
	p.hub.SetMemory(p.memory.calls, p.memory.answers)
	p.hub.LimitRate(loaded.LinkMbps * bitsPerMegabit)
}

// awaitSignal closes terminated after the first signal to terminate. It returns when ctx ends, too.
func (p *process) awaitSignal(ctx context.Context) {
	select {
	case <-p.signals.Terminate:
		close(p.terminated)
	case <-ctx.Done():
	}
}

// startContext returns the context of the steps of the start. It ends when a signal asks the process to terminate.
func (p *process) startContext() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(p.ctx)
	go func() {
		defer cancel()
		select {
		case <-p.terminated:
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// run starts a background task. The task's context ends when the process is closed.
func (p *process) run(task func(ctx context.Context)) {
	p.tasks.Go(func() { task(p.ctx) })
}

// close ends the links, listeners and background tasks of the process. It is called after the shutdown, and also if the process can't
// start.
func (p *process) close() {
	p.hub.Drain(p.hub.Now()) // does not wait for peers: an orderly shutdown has already done so
	for _, listener := range p.listeners {
		p.closeListener(listener)
	}
	p.cancel()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		p.tasks.Wait()
	}()
	select {
	case <-ended:
	case <-time.After(taskStopTimeout):
	}
}

// acceptLinks accepts links of other processes until the process is closed. If the listener fails, awaitTermination returns its error.
func (p *process) acceptLinks(listener net.Listener) {
	p.tasks.Go(func() {
		if err := p.hub.Listen(listener); err != nil {
			p.serverErrors <- err
		}
	})
}

// handleReloads applies changes of the settings file, and dumps the log on SIGUSR1, until ctx ends. It runs as a background task, and thus
// also while the process starts and shuts down.
func (p *process) handleReloads(ctx context.Context, apply func(*settings.Settings)) {
	tick := time.NewTicker(reloadInterval)
	defer tick.Stop()
	for {
		select {
		case <-p.signals.Dump:
			p.logMemory()
			p.logRing.Dump("SIGUSR1")
		case <-p.signals.Reload:
			p.reload(apply)
		case <-tick.C:
			p.reload(apply)
		case <-ctx.Done():
			return
		}
	}
}

// logMemory logs what the process holds of large messages.
func (p *process) logMemory() {
	p.memoryFields().Info("assembly: large messages that this process holds")
}

// memoryFields returns a log entry with the number of links, and with what the process holds of large messages.
func (p *process) memoryFields() *logrus.Entry {
	transfers, transferBytes := p.hub.QueuedTransfers()
	usage := p.sockets.usage()
	activeLinks, otherLinks := p.hub.LinkCounts()
	return p.log.WithFields(logrus.Fields{
		"links":         activeLinks + otherLinks,
		"transfers":     transfers,
		"transferBytes": transferBytes,
		"bodyBytes":     p.memory.bodies.Used(),
		"callBytes":     p.memory.calls.Used(),
		"answerBytes":   p.memory.answers.Used(),
		"changeBytes":   p.memory.processing.Used(),
		"clientBytes":   p.memory.connections.Used(),
		"connections":   usage.Connections,
		"receiveBytes":  p.memory.receiveBytes(),
		"unreadBytes":   usage.UnreadBytes,
	})
}

// reload reads the settings file and applies it. A file with an error is logged, and changes nothing.
func (p *process) reload(apply func(*settings.Settings)) {
	loaded, err := settings.Load(p.settingsPath, p.program)
	if err != nil {
		p.log.WithError(err).Warn("assembly: failed to reload the settings, keeping the current ones")
		return
	}
	apply(loaded)
}

// awaitTermination waits until the process has to end. It returns nil after SIGTERM, and otherwise the error of the server that has failed.
// In both cases the caller then starts an orderly shutdown.
func (p *process) awaitTermination() error {
	select {
	case <-p.terminated:
		return nil
	case err := <-p.serverErrors:
		p.log.WithError(err).Error("assembly: a server failed, the process ends")
		return err
	}
}

// isClosed reports whether err means that a listener or server was already closed.
func isClosed(err error) bool {
	return errors.Is(err, net.ErrClosed) || errors.Is(err, http.ErrServerClosed)
}
