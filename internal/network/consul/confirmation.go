package consul

import (
	"context"
	"io"
	"net/url"
	"sync"
	"time"

	"quincegap/internal/modules/endpointsource"
)

// confirmationTimeout bounds the time for which the catalogue is followed after one answer. By then endpointsource has decided by other
// means, by the time or by attempts.
const confirmationTimeout = 5 * time.Minute

// confirmation follows the catalogue while the answers of the health API lack more instances than endpointsource believes at once. The
// catalogue lists the registered instances whatever their checks report. Its queries are Consistent, so that the leader confirms its role
// with its peers: a server that has lost its data or its cluster can't answer. They are blocking queries, so a change is published at
// once.
//
// It does not run while nothing is in doubt: the health API lists all that the catalogue lists, and following both would double
// Consul's load.
type confirmation struct {
	watcher *Watcher
	runs    sync.WaitGroup

	mu          sync.Mutex
	unconfirmed map[string]bool    // UIDs that the health API lacks, and that the catalogue has not been seen to lack
	cancel      context.CancelFunc // ends the present run
}

func newConfirmation(w *Watcher) *confirmation {
	return &confirmation{watcher: w, unconfirmed: map[string]bool{}, cancel: func() {}}
}

// stop ends the present run and waits for it.
func (c *confirmation) stop() {
	c.mu.Lock()
	c.cancel()
	c.mu.Unlock()
	c.runs.Wait()
}

// observe handles an answer of the health API: instances that it lists again need no confirmation any more. publish is called under the
// lock, so that no result of the catalogue is published in between.
func (c *confirmation) observe(a endpointsource.ConsulAnswer, publish func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range a.Changed {
		delete(c.unconfirmed, e.UID)
	}
	if len(c.unconfirmed) == 0 {
		c.cancel()
	}
	publish()
}

// confirm starts a run that asks the catalogue about missing instances, beginning with the agent that answered the health query. It also
// asks again about the earlier ones: the run that it replaces may have read an older catalogue.
func (c *confirmation) confirm(ctx context.Context, agent int, missing []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, uid := range missing {
		c.unconfirmed[uid] = true
	}
	c.cancel()
	ctx, cancel := context.WithTimeout(ctx, confirmationTimeout)
	c.cancel = cancel
	c.runs.Go(func() {
		defer cancel()
		c.followCatalog(ctx, agent)
	})
}

// followCatalog queries the catalogue until no instance is unconfirmed, or the context ends.
func (c *confirmation) followCatalog(ctx context.Context, agent int) {
	watcher := c.watcher
	var index uint64
	failures := 0
	for ctx.Err() == nil {
		listed := map[string]bool{}
		meta, err := c.queryCatalog(ctx, agent, index, listed)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			failures++
			address := watcher.agents[agent].address
			watcher.log.logf("consul: the catalogue at agent %s: %s", address, errorText(err))
			agent = (agent + 1) % len(watcher.agents)
			index = 0
			pause(ctx, backoff(failures))
			continue
		}
		failures = 0
		if meta.knownLeader && c.handleCatalog(ctx, listed) {
			return
		}
		index = nextIndex(index, meta.index)
		if index == 0 {
			pause(ctx, pollInterval)
		}
		pause(ctx, max(watcher.settings.MinInterval, restPerWork*time.Since(meta.receivedAt)))
	}
}

// queryCatalog adds the UIDs that the catalogue lists to listed.
func (c *confirmation) queryCatalog(ctx context.Context, agent int, index uint64, listed map[string]bool) (answerMeta, error) {
	watcher := c.watcher
	q := question{
		path:        "/v1/catalog/service/" + url.PathEscape(watcher.settings.Service),
		tagsField:   "ServiceTags",
		index:       index,
		wait:        watcher.settings.Wait,
		consistency: Consistent,
	}
	return watcher.query(ctx, &watcher.agents[agent], q, func(body io.Reader) error {
		return decodeEach(body, maxInstances, func(e *catalogEntry) {
			listed[watcher.settings.uid(e.Node, e.ServiceID, e.ServiceMeta, watcher.qualified)] = true
		})
	})
}

// handleCatalog publishes the unconfirmed instances that the catalogue lacks too. It reports whether the run is done.
func (c *confirmation) handleCatalog(ctx context.Context, listed map[string]bool) (done bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ctx.Err() != nil {
		return true // another run has replaced this one, or the health API lists the instances again
	}
	var gone []string
	for uid := range c.unconfirmed {
		if !listed[uid] {
			gone = append(gone, uid)
			delete(c.unconfirmed, uid)
		}
	}
	if len(gone) > 0 {
		c.watcher.OnAnswer(endpointsource.ConsulAnswer{ConfirmedMissing: gone, UnixMS: time.Now().UnixMilli()})
	}
	return len(c.unconfirmed) == 0
}
