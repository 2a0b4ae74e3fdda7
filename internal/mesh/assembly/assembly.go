// Package assembly puts the planes together: it is all that the programs share, from the settings file to the signals.
package assembly

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"time"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"quincegap/internal/lifecycle"
	"quincegap/internal/mesh/operations/logging"
	"quincegap/internal/mesh/operations/settings"
	"quincegap/internal/mesh/transport"
)

const (
	maxCallBytes   = 68 << 20 // bytes of calls at once: the largest body, and its head
	gcPercent      = 150
	heapFraction   = 0.6 // of the machine's memory that the runtime keeps to
	listenTimeout  = 2 * time.Second
	reloadInterval = 5 * time.Second // between two looks at the settings file, which may change without SIGHUP
)

// process is what both programs have.
type process struct {
	settings     *settings.Settings
	settingsPath string
	signals      lifecycle.Signals
	hub          *transport.Hub
	log          *logrus.Logger
	logRing      *logging.Ring
	seed         uint64
	serverErrors chan error
	httpServers  []*http.Server
}

// newProcess reads the settings, and makes what speaks with other processes.
func newProcess(path string, signals lifecycle.Signals) (*process, error) {
	loaded, err := settings.Load(path)
	if err != nil {
		return nil, err
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(heapFraction * float64(loaded.MemoryMB<<20)))
	log, ring := logging.New(os.Stderr)
	p := &process{settings: loaded, settingsPath: path, signals: signals, log: log, logRing: ring, seed: rand.Uint64(), serverErrors: make(chan error, 8)}
	p.hub = transport.NewHub(transport.Hello{
		Incarnation: rand.Uint64() | 1, Address: loaded.InternalAddress(), Name: loaded.Name, Zone: loaded.Zone,
		Service: loaded.Service,
	}, time.Now(), maxCallBytes, log)
	p.hub.LimitRate(loaded.LinkMbps * 1e6)
	return p, nil
}

// listenAll takes all addresses of a process before it serves on any: where one can't be had, nobody's call has been read.
func listenAll(addresses ...string) ([]net.Listener, error) {
	var listeners []net.Listener
	for _, address := range addresses {
		l, err := listen(address)
		if err != nil {
			for _, l := range listeners {
				l.Close()
			}
			return nil, err
		}
		listeners = append(listeners, l)
	}
	return listeners, nil
}

// listen takes an address, again and again for a while: an earlier life may still hold it.
func listen(address string) (net.Listener, error) {
	for began := time.Now(); ; {
		l, err := net.Listen("tcp4", address)
		if err == nil || time.Since(began) > listenTimeout {
			return l, trace.Wrap(err, "listen on %s", address)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// serveHTTP runs a server of short calls until the process ends.
func (p *process) serveHTTP(h http.Handler, l net.Listener) {
	s := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 30 * time.Second, MaxHeaderBytes: 32 << 10}
	p.httpServers = append(p.httpServers, s)
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			p.serverErrors <- trace.Wrap(err, "serve %s", l.Addr())
		}
	}()
}

// shutDownServers ends the servers of short calls: each call that was read is answered, for as long as ctx allows.
func (p *process) shutDownServers(ctx context.Context) {
	for _, s := range p.httpServers {
		if err := s.Shutdown(ctx); err != nil {
			p.log.WithError(err).Warn("assembly: a call is cut off")
			s.Close()
		}
	}
}

// acceptLinks takes links from other processes.
func (p *process) acceptLinks(l net.Listener) {
	go func() {
		if err := p.hub.Listen(l); err != nil {
			p.serverErrors <- err
		}
	}()
}

// handleReloads does what signals and a clock ask for, until the process exits: also while it starts and while it ends.
func (p *process) handleReloads(reload func(*settings.Settings)) {
	every := time.NewTicker(reloadInterval)
	defer every.Stop()
	for {
		select {
		case <-p.signals.Dump:
			p.logRing.Dump("SIGUSR1")
			continue
		case <-p.signals.Reload:
		case <-every.C:
		}
		if s, err := settings.Load(p.settingsPath); err != nil {
			p.log.Warn("assembly: settings are kept as they were: " + err.Error())
		} else {
			reload(s)
		}
	}
}

// awaitTermination returns when the process has to end: nil when it is told to, the error of a server that failed. Either way it
// ends in order after that.
func (p *process) awaitTermination() error {
	select {
	case <-p.signals.Terminate:
		return nil
	case err := <-p.serverErrors:
		p.log.WithError(err).Error("assembly: a server failed, the process ends")
		return err
	}
}
