package assembly

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/net/netutil"

	"quincegap/internal/lifecycle"
	"quincegap/internal/mesh/transport/sockets"
)

const (
	httpHeaderTimeout  = 5 * time.Second  // limit for reading a request's header
	httpIdleTimeout    = 30 * time.Second // time after which a connection without requests is closed
	httpWriteTimeout   = 10 * time.Second // time from a request's header to the end of its answer, except for streams
	httpMaxHeaderBytes = 32 << 10         // largest request header

	connectionMemoryFraction = 0.2      // part of the machine's memory for the connections to an HTTP server
	connectionBytes          = 80 << 10 // memory of a connection whose client sends the largest header and the largest body of an endpoint's call
)

// maxConnections returns the number of connections to an HTTP server on a machine with a number of bytes of memory.
func maxConnections(machineBytes int64) int {
	return int(connectionMemoryFraction * float64(machineBytes) / connectionBytes)
}

// listenAddress is an address to listen on, and the group of the connections that are accepted there.
type listenAddress struct {
	group   *sockets.Group
	address string
}

// listen listens on addresses of the process, and waits for those that are in use. It listens on none of them if one can't be used. The
// error is errTerminated if a signal to terminate comes before. close closes the listeners.
func (p *process) listen(addresses ...listenAddress) ([]net.Listener, error) {
	ctx, cancel := p.startContext()
	defer cancel()
	listeners, err := p.listenAll(ctx, addresses...)
	p.listeners = append(p.listeners, listeners...)
	return listeners, err
}

// listenAll listens on all addresses, or on none if one can't be used. The error names that address.
func (p *process) listenAll(ctx context.Context, addresses ...listenAddress) ([]net.Listener, error) {
	var listeners []net.Listener
	for _, address := range addresses {
		listener, err := p.listenRetrying(ctx, address)
		if err != nil {
			for _, opened := range listeners {
				err = errors.Join(err, opened.Close())
			}
			return nil, err
		}
		listeners = append(listeners, listener)
	}
	return listeners, nil
}

// listenRetrying listens on an address, and repeats that as mayRetryListening decides. The error names the address.
func (p *process) listenRetrying(ctx context.Context, at listenAddress) (listener net.Listener, err error) {
	step := startStep{log: p.log.WithField("address", at.address), mayRetry: mayRetryListening}
	err = step.run(ctx, func() (err error) {
		listener, err = at.group.Listen(ctx, at.address)
		return err
	})
	return listener, trace.Wrap(err, "listen on %s", at.address)
}

// retryAccept returns a listener that logs errors of the given one, and tries again, until it is closed.
func (p *process) retryAccept(listener net.Listener) net.Listener {
	return lifecycle.RetryAccept(listener, func(err error) bool {
		p.log.WithField("address", listener.Addr()).WithError(err).Warn("assembly: failed to accept a connection, trying again")
		return true
	})
}

// closeListener closes a listener, which may already be closed.
func (p *process) closeListener(listener net.Listener) {
	if err := listener.Close(); err != nil && !isClosed(err) {
		p.log.WithField("address", listener.Addr()).WithError(err).Debug("assembly: failed to close a listener")
	}
}

// serveHTTP serves HTTP requests on a listener until shutDownHTTPServers. Connections above maxConnections wait until others are closed. If
// the server fails, awaitTermination returns its error.
func (p *process) serveHTTP(handler http.Handler, listener net.Listener) {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: httpHeaderTimeout,
		IdleTimeout:       httpIdleTimeout,
		WriteTimeout:      httpWriteTimeout,
		MaxHeaderBytes:    httpMaxHeaderBytes,
	}
	p.httpServers = append(p.httpServers, server)
	limited := netutil.LimitListener(p.retryAccept(listener), maxConnections(int64(p.settings.MemoryMB)<<20))
	p.tasks.Go(func() {
		if err := server.Serve(limited); !errors.Is(err, http.ErrServerClosed) {
			p.serverErrors <- trace.Wrap(err, "serve %s", listener.Addr())
		}
	})
}

// shutDownHTTPServers shuts down the HTTP servers that serveHTTP has started. Requests that were read are completed; those that are not
// complete when ctx ends are aborted.
func (p *process) shutDownHTTPServers(ctx context.Context) {
	for _, server := range p.httpServers {
		if err := server.Shutdown(ctx); err != nil {
			p.log.WithError(err).Warn("assembly: an HTTP server did not shut down cleanly, aborting its requests")
			p.closeHTTPServer(server)
		}
	}
}

// closeHTTPServer closes a server and its connections.
func (p *process) closeHTTPServer(server *http.Server) {
	if err := server.Close(); err != nil && !isClosed(err) {
		p.log.WithError(err).Debug("assembly: failed to close an HTTP server")
	}
}
