// Command eventlog follows the mesh's events, keeps them on disk and serves them to other tools (package operations/eventlog).
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
	"quincegap/internal/mesh/control/storage"
	"quincegap/internal/mesh/operations/eventfeed"
	"quincegap/internal/mesh/operations/eventlog"
)

const (
	shutdownTimeout   = 3 * time.Second // to answer the calls that have been read
	readHeaderTimeout = 5 * time.Second // of a call
	maxHeaderBytes    = 32 << 10        // of a call
)

// options has the command line, as kong parses it.
type options struct {
	Core   []string `help:"Control addresses of core processes, the first one first." required:"" sep:","`
	Listen string   `help:"Where tools read: GET /events?after=CURSOR&follow=1." default:"127.0.0.1:8170"`
	Folder string   `help:"Where events are kept." required:"" type:"path"`
	Keep   uint64   `help:"How many events are kept." default:"100000"`
}

// Run follows and serves events until a signal ends the process.
func (o *options) Run(signals lifecycle.Signals) error {
	store, err := storage.Open(o.Folder)
	if err != nil {
		return trace.Wrap(err, "folder %s", o.Folder)
	}
	defer func() {
		if err := store.Close(); err != nil { // what has to be kept has been synced before
			logrus.WithError(err).Warn("eventlog: the folder can't be closed")
		}
	}()
	newIncarnation := rand.Uint64() | 1 // 0 is no incarnation
	log, err := eventlog.OpenLog(store, o.Keep, newIncarnation)
	if err != nil {
		return trace.Wrap(err, "folder %s", o.Folder)
	}
	if err := o.checkCores(); err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", o.Listen)
	if err != nil {
		return trace.Wrap(err, "--listen %s", o.Listen)
	}
	server := newServer(ctx, log)
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }() // ends with Shutdown
	var following sync.WaitGroup
	following.Go(func() { eventlog.Follow(ctx, log, o.Core, logrus.StandardLogger()) })
	select {
	case <-signals.Terminate:
	case err = <-failed:
	}
	stop()
	following.Wait() // it writes to the store, which must be closed after it
	return trace.NewAggregate(err, shutDown(server))
}

// checkCores returns an error that names the first core process whose address can't be used.
func (o *options) checkCores() error {
	for _, core := range o.Core {
		if _, _, err := net.SplitHostPort(core); err != nil {
			return trace.BadParameter("--core %s: wanted an address like 10.0.0.4:8080", core)
		}
	}
	return nil
}

// newServer returns a server of a log to tools. ctx ends the streams, which Shutdown would wait for.
func newServer(ctx context.Context, log *eventlog.Log) *http.Server {
	mux := http.NewServeMux()
	mux.Handle("/events", lifecycle.CancelRequestsOnDone(ctx, eventfeed.Handler(log)))
	return &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes}
}

// shutDown answers the calls that have been read, within shutdownTimeout.
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
