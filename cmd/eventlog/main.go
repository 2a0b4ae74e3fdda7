// Command eventlog follows the mesh's events, stores them on disk and serves them to other tools (package operations/eventlog).
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/alecthomas/kong"
	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"quincegap/internal/lifecycle"
	_ "quincegap/internal/lifecycle/earlysignals" // ignores SIGHUP until Catch
	"quincegap/internal/mesh/control/storage"
	"quincegap/internal/mesh/operations/eventfeed"
	"quincegap/internal/mesh/operations/eventlog"
)

const (
	shutdownTimeout   = 3 * time.Second // limit for answering the requests that were read before the shutdown
	readHeaderTimeout = 5 * time.Second // limit for reading the headers of a request
	maxHeaderBytes    = 32 << 10        // largest size of a request's headers
)

// options is the command line as parsed by kong.
type options struct {
	Core   []string `help:"Control addresses of core processes, the first one first." required:"" sep:","`
	Listen string   `help:"Where tools read: GET /events?after=CURSOR&follow=1." default:"127.0.0.1:8170"`
	Folder string   `help:"Where events are kept." required:"" type:"path"`
	Keep   uint64   `help:"How many events are kept." default:"100000"`
}

// Run follows the events of the core processes and serves them until a signal asks the process to terminate. It fails if an option can't be
// used, or if the server fails.
func (o *options) Run(signals lifecycle.Signals) error {
	store, err := storage.Open(o.Folder)
	if err != nil {
		return trace.Wrap(err, "open folder %s", o.Folder)
	}
	defer func() {
		if err := store.Close(); err != nil { // loses nothing: what must be kept was synced before
			logrus.WithError(err).Warn("eventlog: closing the folder failed")
		}
	}()
	newIncarnation := rand.Uint64() | 1 // never 0, which stands for no incarnation
	log, err := eventlog.OpenLog(store, o.Keep, newIncarnation)
	if err != nil {
		return trace.Wrap(err, "open event log in folder %s", o.Folder)
	}
	if err := o.checkCores(); err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", o.Listen)
	if err != nil {
		return trace.Wrap(err, "listen on %s (--listen)", o.Listen)
	}
	server := newServer(ctx, log)
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }() // returns after Shutdown
	var following sync.WaitGroup
	following.Go(func() { eventlog.Follow(ctx, log, o.Core, logrus.StandardLogger()) })
	select {
	case <-signals.Terminate:
	case err = <-failed:
	}
	stop()
	following.Wait() // Follow writes to the store, which must stay open until it returns
	return trace.NewAggregate(err, shutDown(server))
}

// checkCores returns an error that names the first address of --core that is not HOST:PORT, or nil if there is none.
func (o *options) checkCores() error {
	for _, core := range o.Core {
		if _, _, err := net.SplitHostPort(core); err != nil {
			return trace.BadParameter("--core %s: not an address of the form HOST:PORT, such as 10.0.0.4:8080", core)
		}
	}
	return nil
}

// newServer returns the HTTP server that serves a log to tools. Its requests are canceled when ctx is done: Shutdown waits for streams,
// which don't end otherwise.
func newServer(ctx context.Context, log *eventlog.Log) *http.Server {
	mux := http.NewServeMux()
	mux.Handle("/events", lifecycle.CancelRequestsOnDone(ctx, eventfeed.Handler(log)))
	return &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes}
}

// shutDown stops the server after it has answered the requests that it has read. It fails if that takes longer than shutdownTimeout.
func shutDown(server *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	return server.Shutdown(ctx)
}

func main() {
	signals := lifecycle.Catch()
	var o options
	command := kong.Parse(&o, kong.Name("eventlog"),
		kong.Description("Follows the mesh's events, keeps them, and serves them to other tools."))
	if err := command.Run(signals); err != nil {
		fmt.Fprintln(os.Stderr, "eventlog:", trace.UserMessage(err))
		os.Exit(1)
	}
}
