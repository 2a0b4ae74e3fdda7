package consul

import (
	"context"
	"io"
	"net/url"
	"sync"
	"time"

	"quincegap/internal/modules/endpointsource"
)

// confirmationTimeout bounds how long the catalogue is followed for the sake of one answer. By then endpointsource has made up its
// mind by time or by attempts, as far as it ever will.
const confirmationTimeout = 5 * time.Minute

// confirmation follows the catalogue while health's answers lack more than is believed at once. The catalogue is what instances
// have registered with, whatever their checks say. It is asked by way of the leader and its peers (Consistent): a server that had
// lost its memory or its cluster can't give an answer that lacks the same. It is asked by blocking queries, and so tells as soon as
// it knows.
//
// While nothing is in doubt it does not run: health has all that the catalogue has, and following both all the time would double
// Consul's load for nothing.
type confirmation struct {
	watcher *Watcher
	runs    sync.WaitGroup

	mu          sync.Mutex
	unconfirmed map[string]bool    // UIDs that health lacks, and of which the catalogue has said nothing
	cancel      context.CancelFunc // of the present run
}

func newConfirmation(w *Watcher) *confirmation {
	return &confirmation{watcher: w, unconfirmed: map[string]bool{}, cancel: func() {}}
}

// stop ends the present run, and waits until nothing is asked any more.
func (c *confirmation) stop() {
	c.mu.Lock()
	c.cancel()
	c.mu.Unlock()
	c.runs.Wait()
}

// observe takes an answer of health's, and has it published: what it has again needs no confirmation any more, and no word of the
// catalogue's may come in between.
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

// confirm asks the catalogue about these too, from the agent on that health was read from. What was asked before is asked anew: its
// answer may be older than what is missing now.
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

// followCatalog asks until the catalogue has told of all, or the context ends.
func (c *confirmation) followCatalog(ctx context.Context, agent int) {
	w := c.watcher
	var index uint64
	failures := 0
	for ctx.Err() == nil {
		listed := map[string]bool{}
		m, err := c.queryCatalog(ctx, agent, index, listed)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			failures++
			address := w.agents[agent].address
			w.log.logf("consul: the catalogue at agent %s: %s", address, errorText(err))
			agent = (agent + 1) % len(w.agents)
			index = 0
			pause(ctx, backoff(failures))
			continue
		}
		failures = 0
		if m.knownLeader && c.handleCatalog(ctx, listed) {
			return
		}
		index = nextIndex(index, m.index)
		if index == 0 {
			pause(ctx, pollInterval)
		}
		pause(ctx, max(w.settings.MinInterval, restPerWork*time.Since(m.receivedAt)))
	}
}

// queryCatalog reads the UIDs that the catalogue lists.
func (c *confirmation) queryCatalog(ctx context.Context, agent int, index uint64, listed map[string]bool) (answerMeta, error) {
	w := c.watcher
	q := question{
		path:        "/v1/catalog/service/" + url.PathEscape(w.settings.Service),
		tagsField:   "ServiceTags",
		index:       index,
		wait:        w.settings.Wait,
		consistency: Consistent,
	}
	return w.query(ctx, &w.agents[agent], q, func(body io.Reader) error {
		return decodeEach(body, maxInstances, func(e *catalogEntry) {
			listed[w.settings.uid(e.Node, e.ServiceID, e.ServiceMeta, w.qualified)] = true
		})
	})
}

// handleCatalog publishes what the catalogue lacks too, and tells whether nothing is left to ask.
func (c *confirmation) handleCatalog(ctx context.Context, listed map[string]bool) (done bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ctx.Err() != nil {
		return true // another run asks, or health has them again
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
