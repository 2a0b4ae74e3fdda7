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
	maxCallBytes   = 68 << 20 // of the peers' calls at once: the largest body, and its header
	gcPercent      = 150
	heapFraction   = 0.6                   // of the machine's memory that the runtime keeps to
	reloadInterval = 5 * time.Second       // between two reads of the settings file, which may change without a SIGHUP
	taskTimeout    = 50 * time.Millisecond // to end the background tasks; one that hangs does not keep the process from its end
	maxServerFails = 8                     // failures of servers that are kept until the process ends by the first one
	bitsPerMegabit = 1e6
)

// process is what both programs have.
type process struct {
	settings     *settings.Settings // as the process was started with
	settingsPath string
	signals      lifecycle.Signals
	hub          *transport.Hub
	log          *logrus.Logger
	logRing      *logging.Ring
	seed         uint64 // of all random numbers but the incarnation

	ctx    context.Context // done once the process is closed; the root of all contexts of its own
	cancel context.CancelFunc
	tasks  sync.WaitGroup // background goroutines; close waits for them

	listeners    []net.Listener
	httpServers  []*http.Server
	serverErrors chan error // of servers that have failed
}

// newProcess reads the settings file and makes what both programs have. The error names the file, and each field that can't be used.
func newProcess(settingsPath string, signals lifecycle.Signals) (*process, error) {
	loaded, err := settings.Load(settingsPath)
	if err != nil {
		return nil, err
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(heapFraction * float64(loaded.MemoryMB<<20)))
	log, ring := logging.New(os.Stderr)
	p := &process{
		settings: loaded, settingsPath: settingsPath, signals: signals, log: log, logRing: ring,
		seed:         rand.Uint64(),
		serverErrors: make(chan error, maxServerFails),
	}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	hello := transport.Hello{
		Incarnation: rand.Uint64() | 1, // never 0, which stands for none
		Address:     loaded.InternalAddress(),
		Name:        loaded.Name,
		Zone:        loaded.Zone,
		Service:     loaded.Service,
	}
	p.hub = transport.NewHub(hello, time.Now(), maxCallBytes, log)
	p.hub.LimitRate(loaded.LinkMbps * bitsPerMegabit)
	return p, nil
}

// run runs a background task until the process is closed. Its context ends then.
func (p *process) run(task func(ctx context.Context)) {
	p.tasks.Go(func() { task(p.ctx) })
}

// close ends what is left of the process: its links, listeners and background tasks. It is called after the shutdown, and where the
// process could not start.
func (p *process) close() {
	p.hub.Drain(p.hub.Now()) // without waiting for peers, which a shutdown has done
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
	case <-time.After(taskTimeout):
	}
}

// acceptLinks accepts links of other processes.
func (p *process) acceptLinks(listener net.Listener) {
	p.tasks.Go(func() {
		if err := p.hub.Listen(listener); err != nil {
			p.serverErrors <- err
		}
	})
}

// handleReloads applies changes of the settings file, and dumps the log on SIGUSR1, until the process is closed: also while it starts
// and while it shuts down.
func (p *process) handleReloads(ctx context.Context, apply func(*settings.Settings)) {
	tick := time.NewTicker(reloadInterval)
	defer tick.Stop()
	for {
		select {
		case <-p.signals.Dump:
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

// reload reads the settings file and applies it; one that can't be used changes nothing.
func (p *process) reload(apply func(*settings.Settings)) {
	loaded, err := settings.Load(p.settingsPath)
	if err != nil {
		p.log.WithError(err).Warn("assembly: settings are kept as they were")
		return
	}
	apply(loaded)
}

// awaitTermination returns when the process has to end: nil after SIGTERM, the error of a server that failed. Either way it shuts down
// in order after that.
func (p *process) awaitTermination() error {
	select {
	case <-p.signals.Terminate:
		return nil
	case err := <-p.serverErrors:
		p.log.WithError(err).Error("assembly: a server failed, the process ends")
		return err
	}
}

// isClosed reports whether err only says that something was closed before.
func isClosed(err error) bool {
	return errors.Is(err, net.ErrClosed) || errors.Is(err, http.ErrServerClosed)
}
