package assembly

import (
	"context"
	"net/http"
	"strings"
	"time"

	"gingerlead/internal/mesh/agent"
	"gingerlead/internal/mesh/control/consensus"
	"gingerlead/internal/mesh/control/controlplane"
	"gingerlead/internal/mesh/discovery/membership"
	"gingerlead/internal/mesh/operations/settings"
)

// Times that a process that ends may take.
const (
	releaseMost  = 300 * time.Millisecond  // to give its duties to another
	handOverMost = 2500 * time.Millisecond // to give its place among the voters to another
)

// Core runs a process that holds the configuration until it is told to end.
func Core(path string) error {
	p, err := begin(path)
	if err != nil {
		return err
	}
	var server *controlplane.Server
	ready := make(chan struct{})
	controlAgent := agent.New(agent.Options{Settings: p.settings, Hub: p.hub, Role: membership.Core, Log: p.log, Seed: p.seed})
	controlAgent.ServeConsensus(func(ctx context.Context, request []byte) ([]byte, error) {
		select {
		case <-ready:
			return server.Serve(ctx, request)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	})
	if err := p.link(); err != nil {
		return err
	}
	server, err = controlplane.Open(controlplane.Options{Self: p.settings.Control, Seeds: p.settings.Seeds, InitialStart: p.settings.InitialStart,
		Folder: p.settings.Folder, Transport: controlAgent.ConsensusTransport(), Tolerated: p.settings.Tolerated, Cores: controlAgent.Cores, Log: p.log, Seed: p.seed,
		OnCommit: func(w consensus.Value) { controlAgent.Committed(uint64(w.Version), w.Body) }})
	if err != nil {
		return err
	}
	duties := controlAgent.Duties(server, p.settings.InitialStart)
	close(ready)
	beats, operator, events, state := controlAgent.KeepaliveHandler(nil), server.Handler(), controlAgent.Events(), duties.Handler()
	err = p.serve(small(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		switch {
		case strings.HasPrefix(q.URL.Path, "/configuration/"):
			operator.ServeHTTP(w, q)
		case q.URL.Path == "/events":
			events.ServeHTTP(w, q)
		case strings.HasPrefix(q.URL.Path, "/mesh/"):
			state.ServeHTTP(w, q)
		default:
			beats.ServeHTTP(w, q)
		}
	})), p.settings.Control)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go controlAgent.Run(ctx)
	go duties.Run(ctx)
	err = p.wait(ctx, func(s *settings.Settings) {
		controlAgent.Seeds(s.SeedPeers())
		server.Seeds(s.Seeds)
	})
	if err == nil {
		leave(p, server, duties)
	}
	server.Close()
	p.hub.Close()
	return err
}

// leave gives this process's duties and then its place among the voters to others before it ends. In this order the next holder
// has a duty at once: after a change of the voters nobody asks for one for the time of a lease. The process answers as before
// meanwhile.
func leave(p *process, server *controlplane.Server, duties *agent.Duties) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseMost)
	duties.Release(ctx)
	cancel()
	ctx, cancel = context.WithTimeout(context.Background(), min(handOverMost, p.settings.Bounds.Grace/2))
	defer cancel()
	if err := server.HandOver(ctx); err != nil {
		p.log.WithError(err).Warn("assembly: this process ends as a voter")
	}
}
