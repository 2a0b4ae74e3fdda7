package consul

import (
	"context"
	"io"
	"log"
	"math/rand/v2"
	"net/url"
	"time"

	"quincegap/internal/modules/endpointsource"
)

const (
	defaultFailbackDelay = time.Minute // delay after a failover until the first agent is queried again
	pollInterval         = time.Second // mean time between queries if an agent returns no index to block on
	// restPerDecodeTime is the ratio of the pause after an answer to the time that decoding and handling it took: on one core, no requests
	// are served in that time.
	restPerDecodeTime = 4
	// maxUnconfirmedMissing is the number of missing instances that endpointsource accepts as gone without a confirmation, whatever its
	// settings are.
	maxUnconfirmedMissing = 2
)

// Watcher follows the instances of one service. While Run runs, neither its fields nor its other methods may be used.
type Watcher struct {
	*client
	qualified bool // whether UIDs contain the node's name

	// OnAnswer is called with the changes that an answer contains, OnUnchanged for an answer without changes. They must not block for
	// long, since the next query waits for them. Both must be set before Run is called.
	OnAnswer    func(endpointsource.ConsulAnswer)
	OnUnchanged func()

	known         map[string]endpointsource.Endpoint // endpoints of the last answer, by UID
	queryLeader   bool                               // whether the next query goes to the leader
	failbackDelay time.Duration                      // defaultFailbackDelay; tests set a shorter one
	failbackAt    time.Time                          // when the first agent is queried again
	confirmation  *confirmation
	log           dedupLog
}

// New returns a watcher. resolve converts a path in the settings into one to open. The TLS files are read at once, and New fails if one
// can't be loaded; the client's certificate and the token are read again each time they are used.
func New(s Settings, mode endpointsource.Mode, resolve func(string) string) (*Watcher, error) {
	c, err := newClient(s, resolve)
	if err != nil {
		return nil, err
	}
	return &Watcher{
		client:        c,
		qualified:     mode == endpointsource.ModeConsul,
		known:         map[string]endpointsource.Endpoint{},
		failbackDelay: defaultFailbackDelay,
		log:           dedupLog{logged: map[string]time.Time{}},
	}, nil
}

// cursor is a watcher's position in the stream of answers.
type cursor struct {
	agent    int    // index of the current agent in Watcher.agents
	index    uint64 // index to block on, from the last answer; 0 for none
	hash     string // content hash to block on if there is no index; empty for none
	failures int    // number of consecutive failed queries to any agents
	answered bool   // whether an agent has answered since the start
}

// moveTo moves the cursor to another agent and clears the index, since the indexes of different agents are not comparable.
func (c *cursor) moveTo(agent int) {
	c.agent = agent
	c.index = 0
	c.hash = ""
}

// Run follows the service until ctx is done, and then waits until all goroutines that it has started have ended.
func (w *Watcher) Run(ctx context.Context) {
	defer w.closeIdle()
	w.confirmation = newConfirmation(w)
	defer w.confirmation.stop()
	position := &cursor{}
	for ctx.Err() == nil {
		if position.agent != 0 && time.Now().After(w.failbackAt) {
			position.moveTo(0)
		}
		answer := &healthAnswer{endpoints: map[string]endpointsource.Endpoint{}}
		meta, err := w.queryHealth(ctx, position, answer)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			w.failOver(ctx, position, err)
		default:
			w.accept(ctx, position, answer, meta)
		}
	}
}

// healthAnswer has the contents of an answer of the health API.
type healthAnswer struct {
	endpoints map[string]endpointsource.Endpoint // by UID
	faults    []string                           // reasons why instances were skipped
}

// queryHealth queries the service's instances at the cursor's agent, and adds them to answer.
func (w *Watcher) queryHealth(ctx context.Context, position *cursor, answer *healthAnswer) (answerMeta, error) {
	q := queryParams{
		path:        "/v1/health/service/" + url.PathEscape(w.settings.Service),
		tagsField:   "Service.Tags",
		index:       position.index,
		hash:        position.hash,
		wait:        w.settings.Wait - rand.N(w.settings.Wait/8+1),
		consistency: w.settings.Consistency,
	}
	if w.queryLeader && q.consistency == Stale {
		q.consistency = Default
	}
	return w.query(ctx, &w.agents[position.agent], q, func(body io.Reader) error {
		return decodeEach(body, maxInstances, func(i *instance) {
			answer.faults = w.settings.addEndpoint(answer.endpoints, i, w.qualified, answer.faults)
		})
	})
}

// failOver logs the error of a query and moves the cursor to the next agent. Each time all agents have failed, it then waits for a backoff.
func (w *Watcher) failOver(ctx context.Context, position *cursor, err error) {
	position.failures++
	address := w.agents[position.agent].address
	w.log.logf("consul: agent %s: %s", address, errorText(err))
	position.moveTo((position.agent + 1) % len(w.agents))
	w.failbackAt = time.Now().Add(w.failbackDelay)
	if position.failures%len(w.agents) == 0 {
		pause(ctx, backoff(position.failures/len(w.agents)))
	}
}

// accept handles an answer, and waits until the next query is due.
func (w *Watcher) accept(ctx context.Context, position *cursor, answer *healthAnswer, meta answerMeta) {
	if position.failures > 0 || !position.answered {
		log.Printf("consul: agent %s answers: %d instances of %s",
			w.agents[position.agent].address, len(answer.endpoints), w.settings.Service)
		w.log.reset()
	}
	position.failures = 0
	position.answered = true
	w.handleAnswer(ctx, position.agent, answer, meta)
	processingTime := time.Since(meta.receivedAt)
	next := nextIndex(position.index, meta.index)
	position.index = 0
	position.hash = ""
	switch {
	case meta.index != 0:
		position.index = next
	case meta.hash != "":
		position.hash = meta.hash
	default:
		pause(ctx, pollInterval/2+rand.N(pollInterval))
	}
	pause(ctx, max(w.settings.MinInterval, restPerDecodeTime*processingTime))
}

// handleAnswer publishes the changes in an answer and starts a confirmation if one is required. It does not wait for the confirmation: an
// answer that lacks too many instances may also contain one that has become critical.
func (w *Watcher) handleAnswer(ctx context.Context, agent int, answer *healthAnswer, meta answerMeta) {
	for _, fault := range answer.faults {
		w.log.logf("consul: %s", fault)
	}
	a := diff(w.known, answer.endpoints)
	a.UnixMS = time.Now().UnixMilli()
	a.Untrusted = !meta.knownLeader || meta.lastContact > w.settings.MaxStaleness
	w.queryLeader = a.Untrusted && meta.knownLeader
	w.known = answer.endpoints
	if len(a.Changed) == 0 && len(a.Missing) == 0 {
		w.OnUnchanged()
		return
	}
	w.confirmation.observe(a, func() { w.OnAnswer(a) })
	if doubtful := a.Untrusted || len(answer.endpoints) == 0; len(a.Missing) > maxUnconfirmedMissing || len(a.Missing) > 0 && doubtful {
		w.confirmation.confirm(ctx, agent, a.Missing)
	}
}
