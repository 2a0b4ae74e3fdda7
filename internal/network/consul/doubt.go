package consul

import (
	"context"
	"io"
	"net/url"
	"sync"
	"time"

	"quincegap/internal/modules/endpointsource"
)

// doubtLasts bounds how long the catalogue is followed for the sake of one answer. By then membership has made up
// its mind by time or by attempts, as far as it ever will.
const doubtLasts = 5 * time.Minute

// doubt follows the catalogue while health's answers lack more than is believed at once. The catalogue is
// what instances have registered with, whatever their checks say; it is asked by way of the leader and its
// peers (Consistent), so an answer that lacks the same was not made by a server that had lost its memory or
// its cluster. Blocking queries: it tells as soon as it knows.
//
// In calm nothing of it runs, for /v1/health/service has all that the catalogue has: following both all the
// time would double Consul's load for the same words.
type doubt struct {
	w    *Watcher
	ctx  context.Context
	runs sync.WaitGroup

	mu      sync.Mutex
	missing map[string]bool // what health lacks and the catalogue has not been heard on
	cancel  context.CancelFunc
}

func (d *doubt) begin(ctx context.Context) {
	d.ctx, d.cancel, d.missing = ctx, func() {}, map[string]bool{}
}

// end waits until nothing is asked any more. The context has ended by then.
func (d *doubt) end() {
	d.cancel()
	d.runs.Wait()
}

// note takes an answer of health's, and tells of it: what is there again is doubted no more, and no word of
// the catalogue's may come between the two.
func (d *doubt) note(a endpointsource.ConsulAnswer, tell func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range a.Changed {
		delete(d.missing, e.UID)
	}
	if len(d.missing) == 0 {
		d.cancel()
	}
	tell()
}

// follow asks the catalogue about these too, from the agent on that health was read from. What was asked
// before is asked anew: its answer may be older than what is missing now.
func (d *doubt) follow(agent int, missing []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, uid := range missing {
		d.missing[uid] = true
	}
	d.cancel()
	ctx, cancel := context.WithTimeout(d.ctx, doubtLasts)
	d.cancel = cancel
	d.runs.Go(func() {
		defer cancel()
		d.run(ctx, agent)
	})
}

// run follows the catalogue until it has confirmed all or the context ends.
func (d *doubt) run(ctx context.Context, agent int) {
	w := d.w
	path := "/v1/catalog/service/" + url.PathEscape(w.set.Service)
	var index uint64
	for failures := 0; ctx.Err() == nil; {
		there := map[string]bool{}
		m, err := w.ask(ctx, agent, path, "ServiceTags", index, "", w.set.Wait, Consistent, func(body io.Reader) error {
			return each(body, mostInstances, func(l *listed) { there[w.set.uid(l.Node, l.ServiceID, l.ServiceMeta, w.qualified)] = true })
		})
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			failures++
			w.say("catalogue "+w.agents[agent], "consul: the catalogue at agent %s: %s", w.agents[agent], plain(err))
			agent, index = (agent+1)%len(w.agents), 0
			pause(ctx, backoff(failures))
			continue
		}
		failures = 0
		if m.leader && d.heard(ctx, there) {
			return
		}
		if index = nextIndex(index, m.index); index == 0 {
			pause(ctx, pollEvery)
		}
		pause(ctx, max(w.set.Pace, workShare*time.Since(m.came)))
	}
}

// heard tells what the catalogue lacks too, and whether nothing is left to ask.
func (d *doubt) heard(ctx context.Context, there map[string]bool) (settled bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if ctx.Err() != nil {
		return true // another one asks, or health has them again
	}
	var gone []string
	for uid := range d.missing {
		if !there[uid] {
			gone = append(gone, uid)
			delete(d.missing, uid)
		}
	}
	if len(gone) > 0 {
		d.w.Tell(endpointsource.ConsulAnswer{ConfirmedMissing: gone, UnixMS: time.Now().UnixMilli()})
	}
	return len(d.missing) == 0
}
