package consul

import (
	"context"
	"io"
	"net/url"
	"sync"
	"time"

	"quincegap/internal/modules/endpointsource"
)

// confirmationTimeout bounds the time for which the catalogue is followed after one answer. By then endpointsource has decided without
// the catalogue, by the elapsed time or by connection attempts.
const confirmationTimeout = 5 * time.Minute

// confirmation follows the catalogue while the answers of the health API lack more instances than endpointsource accepts as gone at once.
// The catalogue lists the registered instances regardless of their checks. Its queries are Consistent, so that the leader confirms its
// role with its peers: a server that has lost its data or its cluster can't answer. They are blocking queries, so a change is published
// at once.
//
// It does not run while no instance is unconfirmed: the health API lists everything that the catalogue lists, and following both would
// double Consul's load.
type confirmation struct {
	watcher *Watcher
	runs    sync.WaitGroup

	mu          sync.Mutex
	unconfirmed map[string]bool    // UIDs that are missing from the health API but not known to be missing from the catalogue
	cancel      context.CancelFunc // function that stops the current run
}

func newConfirmation(w *Watcher) *confirmation {
	return &confirmation{watcher: w, unconfirmed: map[string]bool{}, cancel: func() {}}
}

// stop stops the current run and waits until all runs have ended.
func (c *confirmation) stop() {
	c.mu.Lock()
	c.cancel()
	c.mu.Unlock()
	c.runs.Wait()
}

// observe handles an answer of the health API: instances that it lists again no longer need a confirmation. publish is called with the
// lock held, so that no result of the catalogue is published in between.
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

// confirm starts a run that checks whether the missing instances are gone from the catalogue, too. It begins with the agent that answered
// the health query, and replaces the current run. The new run also checks the earlier unconfirmed instances, since the replaced one may
// have read an older catalogue.
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

// followCatalog queries the catalogue until no instance is unconfirmed, or ctx is done.
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
			watcher.log.logf("consul: query the catalogue at agent %s: %s", address, errorText(err))
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
		pause(ctx, max(watcher.settings.MinInterval, restPerDecodeTime*time.Since(meta.receivedAt)))
	}
}

// queryCatalog queries the catalogue at an agent, and adds the UIDs of its instances to listed.
func (c *confirmation) queryCatalog(ctx context.Context, agent int, index uint64, listed map[string]bool) (answerMeta, error) {
	watcher := c.watcher
	q := queryParams{
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

// handleCatalog publishes the unconfirmed instances that are missing from the catalogue, too. It reports whether the run is done.
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
