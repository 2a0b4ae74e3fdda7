// Package assembly puts the planes together: it is all that the programs share, from the settings file to the signals.
package assembly

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"gingerlead/internal/mesh/operations/logging"
	"gingerlead/internal/mesh/operations/settings"
	"gingerlead/internal/mesh/transport"
)

const (
	callsMost  = 68 << 20 // bytes of calls at once: the largest body, and its head
	gcPercent  = 150
	heapShare  = 0.6 // of the machine's memory that the runtime keeps to
	listenMost = 2 * time.Second
)

// process is what both programs have.
type process struct {
	settings *settings.Settings
	path     string
	hub      *transport.Hub
	log      *logrus.Logger
	book     *logging.Book
	seed     uint64
	errors   chan error
}

// begin reads the settings and opens the internal listener.
func begin(path string) (*process, error) {
	loaded, err := settings.Load(path)
	if err != nil {
		return nil, err
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(heapShare * float64(loaded.MemoryMB<<20)))
	log, book := logging.New(os.Stderr)
	p := &process{settings: loaded, path: path, log: log, book: book, seed: rand.Uint64(), errors: make(chan error, 8)}
	p.hub = transport.NewHub(transport.Hello{Life: rand.Uint64() | 1, Address: loaded.Internal(), Name: loaded.Name, Zone: loaded.Zone,
		Service: loaded.Service}, time.Now(), callsMost, log)
	p.hub.Shape(loaded.LinkMbps * 1e6)
	return p, nil
}

// listen takes an address, again and again for a while: an earlier life may still hold it.
func listen(address string) (net.Listener, error) {
	for began := time.Now(); ; {
		l, err := net.Listen("tcp4", address)
		if err == nil || time.Since(began) > listenMost {
			return l, trace.Wrap(err, "listen on %s", address)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// serve runs a server on an address until it is shut down.
func (p *process) serve(s *http.Server, address string) error {
	l, err := listen(address)
	if err != nil {
		return err
	}
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			p.errors <- trace.Wrap(err, "serve %s", address)
		}
	}()
	return nil
}

func (p *process) link() error {
	l, err := listen(p.settings.Internal())
	if err != nil {
		return err
	}
	go func() {
		if err := p.hub.Listen(l); err != nil {
			p.errors <- err
		}
	}()
	return nil
}

// wait waits for the signal to end, or a server's failure; SIGHUP and a clock have the settings read again.
func (p *process) wait(ctx context.Context, reload func(*settings.Settings)) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP, syscall.SIGUSR1)
	defer signal.Stop(signals)
	every := time.NewTicker(5 * time.Second)
	defer every.Stop()
	again := func() {
		if s, err := settings.Load(p.path); err != nil {
			p.log.Warn("assembly: settings are kept as they were: " + err.Error())
		} else {
			reload(s)
		}
	}
	for {
		select {
		case s := <-signals:
			switch s {
			case syscall.SIGHUP:
				again()
			case syscall.SIGUSR1:
				p.book.Write("SIGUSR1")
			default:
				return nil
			}
		case <-every.C:
			again()
		case err := <-p.errors:
			return err
		case <-ctx.Done():
			return nil
		}
	}
}

// small is a server of short calls.
func small(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 30 * time.Second, MaxHeaderBytes: 32 << 10}
}
