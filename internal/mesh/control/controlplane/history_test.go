package controlplane

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"

	"quincegap/internal/mesh/control/configuration"
)

// history records what operators and readers observed, and how this violates the specification of the configuration register.
type history struct {
	mu           sync.Mutex
	acknowledged configuration.Version            // newest version that was acknowledged or read
	sent         map[string]configuration.Version // versions of all changes that were sent, by body
	rejected     map[string]bool                  // bodies of the changes that were answered with Conflict
	bases        map[configuration.Version]string // acknowledged bodies, by the versions that they are based on
	violations   []string                         // descriptions of the violations
	answers      map[string]int                   // number of answers of each kind
	newestSent   configuration.Version            // newest version that was sent
}

func newHistory() *history {
	return &history{
		sent:     map[string]configuration.Version{},
		rejected: map[string]bool{},
		bases:    map[configuration.Version]string{},
		answers:  map[string]int{},
	}
}

// addViolation records a violation of the specification. The caller holds h.mu.
func (h *history) addViolation(format string, args ...any) {
	h.violations = append(h.violations, fmt.Sprintf(format, args...))
}

// change is a change that an operator sends.
type change struct {
	base, version configuration.Version
	body          []byte
}

// newChange returns a random change based on the newest acknowledged version.
func (h *history) newChange(rng *rand.Rand) change {
	h.mu.Lock()
	defer h.mu.Unlock()
	base := h.acknowledged
	h.newestSent += 1 + configuration.Version(rng.IntN(3))
	version := max(h.newestSent, base+1)
	body := config(version, fmt.Sprint(rng.Uint64()))
	h.sent[string(body)] = version
	return change{base, version, body}
}

// sendRandomChange sends one change to random servers until there is a definite answer, at most three times. cutOff returns the server that
// is cut off, or -1 for none.
func (h *history) sendRandomChange(ctx context.Context, network *testNetwork, rng *rand.Rand, servers int, cutOff func() int) {
	sent := h.newChange(rng)
	for range 3 {
		i := rng.IntN(servers)
		before := cutOff()
		shortCtx, cancel := context.WithTimeout(ctx, callTimeout)
		outcome := network.server(i).Replace(shortCtx, sent.base, sent.body).Outcome
		cancel()
		h.observe(sent, outcome, i, before == i && cutOff() == i)
		if outcome == Conflict { // the server must know a newer version than the base
			h.checkConflict(ctx, network, sent, i)
		}
		if outcome == Committed || outcome == Conflict {
			return
		}
	}
}

// observe records a server's answer to a change. isolated is true if the server was cut off during the whole call.
func (h *history) observe(sent change, outcome Outcome, server int, isolated bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.answers["change "+outcome.String()]++
	if isolated && outcome != Unknown {
		h.addViolation("server %d was cut off and answered %v to a change", server, outcome)
	}
	body := string(sent.body)
	switch outcome {
	case Committed:
		if other, ok := h.bases[sent.base]; ok && other != body {
			h.addViolation("two different changes based on version %v were acknowledged", sent.base)
		}
		h.bases[sent.base] = body
		h.acknowledged = max(h.acknowledged, sent.version)
	case Conflict:
		h.rejected[body] = true
	case Unknown, Invalid:
	}
}

// checkConflict reads at the server that answered a change with Conflict. The server must know a newer version than the base.
func (h *history) checkConflict(ctx context.Context, network *testNetwork, sent change, server int) {
	newest, ok := h.read(ctx, network, server)
	if ok && newest <= sent.base {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.addViolation("server %d rejected %v on %v, but the newest version is %v", server, sent.version, sent.base, newest)
	}
}

// read reads at one server. It checks that the returned version is not older than the newest one acknowledged when the read began, and that
// its body was sent and was not rejected. It returns that version, and false if the server did not answer.
func (h *history) read(ctx context.Context, network *testNetwork, server int) (configuration.Version, bool) {
	h.mu.Lock()
	minimum := h.acknowledged
	h.mu.Unlock()
	shortCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	value, err := network.server(server).ReadLatest(shortCtx)
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil {
		h.answers["read without an answer"]++
		return 0, false
	}
	h.answers["read answered"]++
	_, known := h.sent[string(value.Body)]
	switch {
	case value.Version < minimum:
		h.addViolation("server %d returned %v, but %v was acknowledged before", server, value.Version, minimum)
	case value.Version > 0 && !known:
		h.addViolation("server %d returned %v, whose body was never sent", server, value.Version)
	case h.rejected[string(value.Body)]:
		h.addViolation("server %d returned %v, which was rejected before", server, value.Version)
	}
	h.acknowledged = max(h.acknowledged, value.Version) // a version that was read once must not be lost
	return value.Version, true
}
