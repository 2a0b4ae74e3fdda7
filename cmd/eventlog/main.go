// Command eventlog follows the mesh's events, keeps them on disk and serves them to other tools.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/alecthomas/kong"
	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"quincegap/internal/lifecycle"
	"quincegap/internal/mesh/control/storage"
	"quincegap/internal/mesh/operations/eventfeed"
	"quincegap/internal/mesh/operations/eventlog"
)

const shutdownTimeout = 3 * time.Second // to answer the calls that were read

type options struct {
	Core   []string `help:"Control addresses of core processes, the first one first." required:"" sep:","`
	Listen string   `help:"Where tools read: GET /events?after=CURSOR&follow=1." default:"127.0.0.1:8170"`
	Folder string   `help:"Where events are kept." required:"" type:"path"`
	Keep   uint64   `help:"How many events are kept." default:"100000"`
}

func (o *options) Run(signals lifecycle.Signals) error {
	store, err := storage.Open(o.Folder)
	if err != nil {
		return trace.Wrap(err, "folder %s", o.Folder)
	}
	defer store.Close()
	log, err := eventlog.OpenLog(store, o.Keep, rand.Uint64()|1)
	if err != nil {
		return trace.Wrap(err, "folder %s", o.Folder)
	}
	for _, a := range o.Core {
		if _, _, err := net.SplitHostPort(a); err != nil {
			return trace.BadParameter("--core %s: wanted an address like 10.0.0.4:8080", a)
		}
	}
	n, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return trace.Wrap(err, "--listen %s", o.Listen)
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	mux := http.NewServeMux()
	mux.Handle("/events", lifecycle.CancelRequestsOnDone(ctx, eventfeed.Handler(log)))
	s := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second, MaxHeaderBytes: 32 << 10}
	failed := make(chan error, 1)
	go func() { failed <- s.Serve(n) }()
	followed := make(chan struct{})
	go func() {
		defer close(followed)
		eventlog.Follow(ctx, log, o.Core, logrus.StandardLogger())
	}()
	select {
	case <-signals.Terminate:
	case err = <-failed:
	}
	stop()
	<-followed // it writes to the store, which is closed after it
	ending, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	return trace.NewAggregate(err, s.Shutdown(ending))
}

func main() {
	signals := lifecycle.Catch()
	var l options
	k := kong.Parse(&l, kong.Name("eventlog"), kong.Description("Follows the mesh's events, keeps them, and serves them to other tools."))
	if err := k.Run(signals); err != nil {
		fmt.Fprintln(os.Stderr, "eventlog:", trace.UserMessage(err))
		os.Exit(1)
	}
}
