package consul

import (
	"context"
	"io"
	"net/url"
	"sync"
	"time"

	"quincegap/internal/modules/endpointsource"
)

// confirmationTimeout bounds how long the catalogue is followed for the sake of one answer. By then membership has made up
// its mind by time or by attempts, as far as it ever will.
const confirmationTimeout = 5 * time.Minute

// confirmation follows the catalogue while health's answers lack more than is believed at once. The catalogue is
// what instances have registered with, whatever their checks say; it is asked by way of the leader and its
// peers (Consistent), so an answer that lacks the same was not made by a server that had lost its memory or
// its cluster. Blocking queries: it tells as soon as it knows.
//
// In calm nothing of it runs, for /v1/health/service has all that the catalogue has: following both all the
// time would double Consul's load for the same words.
type confirmation struct {
	watcher *Watcher
	ctx     context.Context
	runs    sync.WaitGroup

	mu          sync.Mutex
	unconfirmed map[string]bool // what health lacks and the catalogue has not been heard on
	cancel      context.CancelFunc
}

func (d *confirmation) start(ctx context.Context) {
	d.ctx, d.cancel, d.unconfirmed = ctx, func() {}, map[string]bool{}
}

// wait waits until nothing is asked any more. The context has ended by then.
func (d *confirmation) wait() {
	d.cancel()
	d.runs.Wait()
}

// observe takes an answer of health's, and tells of it: what is there again is doubted no more, and no word of
// the catalogue's may come between the two.
func (d *confirmation) observe(a endpointsource.ConsulAnswer, tell func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range a.Changed {
		delete(d.unconfirmed, e.UID)
	}
	if len(d.unconfirmed) == 0 {
		d.cancel()
	}
	tell()
}

// confirm asks the catalogue about these too, from the agent on that health was read from. What was asked
// before is asked anew: its answer may be older than what is missing now.
func (d *confirmation) confirm(agent int, missing []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, uid := range missing {
		d.unconfirmed[uid] = true
	}
	d.cancel()
	ctx, cancel := context.WithTimeout(d.ctx, confirmationTimeout)
	d.cancel = cancel
	d.runs.Go(func() {
		defer cancel()
		d.followCatalog(ctx, agent)
	})
}

// followCatalog follows the catalogue until it has confirmed all or the context ends.
func (d *confirmation) followCatalog(ctx context.Context, agent int) {
	w := d.watcher
	path := "/v1/catalog/service/" + url.PathEscape(w.settings.Service)
	var index uint64
	for failures := 0; ctx.Err() == nil; {
		there := map[string]bool{}
		m, err := w.query(ctx, agent, path, "ServiceTags", index, "", w.settings.Wait, Consistent, func(body io.Reader) error {
			return decodeEach(body, maxInstances, func(l *catalogEntry) { there[w.settings.uid(l.Node, l.ServiceID, l.ServiceMeta, w.qualified)] = true })
		})
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			failures++
			w.logOnce("catalogue "+w.agents[agent], "consul: the catalogue at agent %s: %s", w.agents[agent], errorText(err))
			agent, index = (agent+1)%len(w.agents), 0
			pause(ctx, backoff(failures))
			continue
		}
		failures = 0
		if m.knownLeader && d.handleCatalog(ctx, there) {
			return
		}
		if index = nextIndex(index, m.index); index == 0 {
			pause(ctx, pollInterval)
		}
		pause(ctx, max(w.settings.MinInterval, restPerWork*time.Since(m.receivedAt)))
	}
}

// unchanged tells what the catalogue lacks too, and whether nothing is left to ask.
func (d *confirmation) handleCatalog(ctx context.Context, there map[string]bool) (settled bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if ctx.Err() != nil {
		return true // another one asks, or health has them again
	}
	var gone []string
	for uid := range d.unconfirmed {
		if !there[uid] {
			gone = append(gone, uid)
			delete(d.unconfirmed, uid)
		}
	}
	if len(gone) > 0 {
		d.watcher.OnAnswer(endpointsource.ConsulAnswer{ConfirmedMissing: gone, UnixMS: time.Now().UnixMilli()})
	}
	return len(d.unconfirmed) == 0
}
