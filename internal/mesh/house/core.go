package house

import (
	"context"
	"net/http"
	"strings"

	"gingerlead/internal/mesh/backstage"
	"gingerlead/internal/mesh/callsheet"
	"gingerlead/internal/mesh/company"
	"gingerlead/internal/mesh/promptbook"
	"gingerlead/internal/mesh/prompter"
)

// Core runs a process that holds the configuration until it is told to end.
func Core(path string) error {
	p, err := begin(path)
	if err != nil {
		return err
	}
	var desk *prompter.Desk
	ready := make(chan struct{})
	crew := backstage.New(backstage.Options{Sheet: p.sheet, Hub: p.hub, Role: company.Core, Log: p.log, Seed: p.seed})
	crew.Book(func(ctx context.Context, request []byte) ([]byte, error) {
		select {
		case <-ready:
			return desk.Serve(ctx, request)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	})
	if err := p.link(); err != nil {
		return err
	}
	desk, err = prompter.Open(prompter.Options{Self: p.sheet.Control, Seeds: p.sheet.Seeds, InitialStart: p.sheet.InitialStart,
		Folder: p.sheet.Folder, Transport: crew.Transport(), Tolerated: p.sheet.Tolerated, Cores: crew.Cores, Log: p.log, Seed: p.seed,
		OnCommit: func(w promptbook.Word) { crew.Committed(uint64(w.Version), w.Body) }})
	if err != nil {
		return err
	}
	duties := crew.Duties(desk, p.sheet.InitialStart)
	close(ready)
	beats, operator, events, state := crew.Beats(nil), desk.Handler(), crew.Events(), duties.Handler()
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
	})), p.sheet.Control)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go crew.Run(ctx)
	go duties.Run(ctx)
	err = p.wait(ctx, func(s *callsheet.Sheet) {
		crew.Seeds(s.SeedPeers())
		desk.Seeds(s.Seeds)
	})
	desk.Close()
	p.hub.Close()
	return err
}
