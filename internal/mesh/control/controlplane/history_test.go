package controlplane

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"

	"quincegap/internal/mesh/control/configuration"
)

// history records what operators and readers observed, and the violations of its specification.
type history struct {
	mu           sync.Mutex
	acknowledged configuration.Version            // the newest
	sent         map[string]configuration.Version // by body
	refused      map[string]bool                  // by body
	bases        map[configuration.Version]string // acknowledged bodies, by the versions that they are based on
	faults       []string                         // violations
	answers      map[string]int                   // numbers of answers, by kind
	next         configuration.Version            // the newest that was sent
}

func newHistory() *history {
	return &history{
		sent:    map[string]configuration.Version{},
		refused: map[string]bool{},
		bases:   map[configuration.Version]string{},
		answers: map[string]int{},
	}
}

// fault records a violation of the specification. The caller holds h.mu.
func (h *history) fault(format string, args ...any) {
	h.faults = append(h.faults, fmt.Sprintf(format, args...))
}

// change is a change that an operator sends.
type change struct {
	base, version configuration.Version
	body          []byte
}

// newChange returns a random change to the newest acknowledged version.
func (h *history) newChange(rng *rand.Rand) change {
	h.mu.Lock()
	defer h.mu.Unlock()
	base := h.acknowledged
	h.next += 1 + configuration.Version(rng.IntN(3))
	version := max(h.next, base+1)
	body := config(version, fmt.Sprint(rng.Uint64()))
	h.sent[string(body)] = version
	return change{base, version, body}
}

// operate sends one change to random servers until there is a definite answer, at most three times. cutOff returns the server that is
// cut off, -1 for none.
func (h *history) operate(ctx context.Context, network *testNetwork, rng *rand.Rand, servers int, cutOff func() int) {
	sent := h.newChange(rng)
	for range 3 {
		i := rng.IntN(servers)
		before := cutOff()
		short, cancel := context.WithTimeout(ctx, callTimeout)
		outcome := network.server(i).Replace(short, sent.base, sent.body).Outcome
		cancel()
		h.observe(sent, outcome, i, before == i && cutOff() == i)
		if outcome == Conflict { // so the server knows a newer version than the base
			h.checkConflict(ctx, network, sent, i)
		}
		if outcome == Committed || outcome == Conflict {
			return
		}
	}
}

// observe records a server's answer to a change. isolated is true if the server was cut off all the time.
func (h *history) observe(sent change, outcome Outcome, server int, isolated bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.answers["order "+outcome.String()]++
	if isolated && outcome != Unknown {
		h.fault("server %d was cut off and answered %v to an order", server, outcome)
	}
	body := string(sent.body)
	switch outcome {
	case Committed:
		if other, ok := h.bases[sent.base]; ok && other != body {
			h.fault("two orders on version %v are acknowledged", sent.base)
		}
		h.bases[sent.base] = body
		h.acknowledged = max(h.acknowledged, sent.version)
	case Conflict:
		h.refused[body] = true
	case Unknown, Invalid:
	}
}

// checkConflict reads at the server that refused a change, which must know a newer version than the base.
func (h *history) checkConflict(ctx context.Context, network *testNetwork, sent change, server int) {
	newest, ok := h.read(ctx, network, server)
	if ok && newest <= sent.base {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.fault("server %d refused %v on %v, with %v in place", server, sent.version, sent.base, newest)
	}
}

// read reads at one server, and checks that the answer is no older than what was acknowledged when the read began.
func (h *history) read(ctx context.Context, network *testNetwork, server int) (configuration.Version, bool) {
	h.mu.Lock()
	least := h.acknowledged
	h.mu.Unlock()
	short, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	value, err := network.server(server).ReadLatest(short)
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil {
		h.answers["read unclear"]++
		return 0, false
	}
	h.answers["read answered"]++
	_, known := h.sent[string(value.Body)]
	switch {
	case value.Version < least:
		h.fault("server %d handed out %v, %v was acknowledged before", server, value.Version, least)
	case value.Version > 0 && !known:
		h.fault("server %d handed out %v, which nobody sent", server, value.Version)
	case h.refused[string(value.Body)]:
		h.fault("server %d handed out %v, which was refused", server, value.Version)
	}
	h.acknowledged = max(h.acknowledged, value.Version) // read once, it stays
	return value.Version, true
}
