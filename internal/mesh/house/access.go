package house

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"gingerlead/internal/mesh/backstage"
	"gingerlead/internal/mesh/callboard"
	"gingerlead/internal/mesh/callsheet"
	"gingerlead/internal/mesh/company"
	"gingerlead/internal/mesh/foyer"
	"gingerlead/internal/mesh/playbill"
	"gingerlead/internal/mesh/stagedoor"
	"gingerlead/internal/mesh/wings"
)

// How a sidecar ends: it goes on serving until clients have had the time to turn elsewhere, and until what it took is answered.
const (
	endNotice = 2400 * time.Millisecond // two looks at readiness, and more
	endMargin = 500 * time.Millisecond  // before SIGKILL

	pastLives   = 16       // of the endpoint, that are remembered
	bodyShare   = 0.3      // of the machine's memory, for clients' bodies
	bodiesLeast = 68 << 20 // bytes: the largest body there may be
)

// Access runs the sidecar beside an endpoint until it is told to end.
func Access(path string) error {
	p, err := begin(path)
	if err != nil {
		return err
	}
	a := &access{process: p}
	a.door = stagedoor.New(p.sheet.App, p.hub.Now, p.log, func(life string) { a.crew.Ended(life, callboard.Crashed) })
	var tickets *backstage.Tickets
	a.desk = foyer.New(foyer.Options{Hub: p.hub, Door: a.door, Bounds: p.sheet.Bounds, Service: p.sheet.Service, Log: p.log,
		Seed: p.seed, Bodies: max(int64(bodyShare*float64(p.sheet.MemoryMB<<20)), bodiesLeast), Refresh: func(s string) { a.crew.Refresh(s) },
		Take: func(t *playbill.Tenant, done func(bool, time.Duration)) { tickets.Take(t, done) }})
	a.crew = backstage.New(backstage.Options{Sheet: p.sheet, Hub: p.hub, Role: company.Access, Log: p.log, Seed: p.seed,
		Configure: func(c *playbill.Config) { a.desk.Configure(c) }, Told: a.desk.Told, Sidecars: a.desk.Sidecars, Found: a.found})
	a.door.Serve(p.hub)
	tickets = a.crew.Tickets()
	if err := p.link(); err != nil {
		return err
	}
	clients := a.desk.Server()
	if err := p.serve(small(a.crew.Beats(a)), p.sheet.Control); err != nil {
		return err
	}
	if err := p.serve(small(http.HandlerFunc(a.readiness)), p.sheet.Readiness); err != nil {
		return err
	}
	if err := p.serve(clients, p.sheet.Outbound); err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go a.crew.Run(ctx)
	go tickets.Run(ctx)
	if err := p.wait(ctx, func(s *callsheet.Sheet) { a.crew.Seeds(s.SeedPeers()) }); err != nil {
		return err
	}
	a.end(clients)
	return nil
}

type access struct {
	*process
	door *stagedoor.Door
	desk *foyer.Desk
	crew *backstage.Crew
	mu   sync.Mutex
	seq  uint64   // callSequence of the newest beat, of the life at the door
	past []string // lives that are over, the oldest first
	gone bool     // this process is about to end
}

// Beat takes a beat of the endpoint beside this process (backstage.Stage).
func (a *access) Beat(e callboard.Endpoint) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	life, _ := a.door.Life()
	if e.State == callboard.Gone {
		if e.ID != life.ID {
			return e.App == a.sheet.App // of an earlier life
		}
		a.over(e.ID)
		a.door.Tell(life, wings.Gone)
		a.crew.Ended(e.ID, callboard.Gone)
		return true
	}
	if e.App != a.sheet.App {
		return false
	}
	if e.ID == life.ID && e.Sequence < a.seq && e.State == callboard.Serving {
		return true // late, and nothing that matters
	}
	if slices.Contains(a.past, e.ID) {
		return true // late, of a life that is over
	}
	if e.ID != life.ID {
		a.over(life.ID)
		a.seq = 0
	}
	a.seq = max(a.seq, e.Sequence)
	state := wings.Serving
	if e.State == callboard.Draining {
		state = wings.Draining
	}
	a.door.Tell(wings.Life{ID: e.ID, Service: e.Service, Slots: e.Slots}, state)
	if !a.gone {
		e.Zone = a.sheet.Zone
		a.crew.Publish(e)
	}
	return true
}

// over remembers that a life is over: a beat of it may still come, late, and must not bring it back. The lock is held.
func (a *access) over(life string) {
	if life == "" || slices.Contains(a.past, life) {
		return
	}
	if a.past = append(a.past, life); len(a.past) > pastLives {
		a.past = a.past[1:]
	}
}

// found takes what others remember of the endpoint beside this process, which has just started.
func (a *access) found(e callboard.Endpoint) {
	if _, state := a.door.Life(); state == wings.Unknown {
		a.Beat(e)
	}
}

// readiness answers the platform.
func (a *access) readiness(w http.ResponseWriter, _ *http.Request) {
	a.mu.Lock()
	gone := a.gone
	a.mu.Unlock()
	if gone || a.desk.Config() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// end has this process leave in order.
func (a *access) end(clients *http.Server) {
	began := time.Now()
	a.mu.Lock()
	a.gone = true
	a.mu.Unlock()
	if life, _ := a.door.Life(); life.ID != "" {
		a.crew.Ended(life.ID, callboard.Crashed)
	}
	last := a.sheet.Bounds.Grace - endMargin
	for time.Since(began) < last {
		if time.Since(began) > endNotice {
			a.desk.End() // who comes now is told to come back, so that all that was taken is answered in time
			if life, state := a.door.Life(); life.ID != "" && state != wings.Gone {
				a.door.Tell(life, wings.Gone)
			}
			if a.desk.Open() == 0 && a.door.Busy() == 0 {
				break
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(context.Background(), max(last-time.Since(began), 50*time.Millisecond))
	defer cancel()
	_ = clients.Shutdown(ctx)
	a.hub.Close()
}
