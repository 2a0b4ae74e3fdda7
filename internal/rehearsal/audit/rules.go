package audit

import (
	"fmt"
	"time"
)

// The idempotency of a class, and the states of a server, as the platform's protocol names them.
const (
	idempotencyKeyed  = "keyed"
	idempotencyUnsafe = "unsafe"
	scopeCell         = "cell"
	stateReady        = "Ready"
	stateTerminating  = "Terminating"
	stateGone         = "Gone"
)

// Class holds the properties of a class of requests that the rules refer to.
type Class struct {
	Name          string
	Idempotency   string        // safe, keyed or unsafe
	Scope         string        // servers that remember the key of a keyed request: cell, zone or all
	Window        time.Duration // time for which the key of a keyed request is remembered
	LatencyTarget time.Duration
	Deadline      time.Duration
	Value         float64 // value of an answer within the latency target
}

// Server holds the properties of an emulated server that the rules refer to.
type Server struct {
	Name string
	Tier int
	Cell int

	// The fields below are used by Totals only.
	Capacity  float64 // work per second of the warm server, in seconds of a core at speed 1
	ColdShare float64 // share of the capacity that is available at the start
	WarmUp    time.Duration
	Work      time.Duration // mean work of an attempt; for a server that calls others, the part before the calls
}

// StateUpdate is a change of a server's state in discovery.
type StateUpdate struct {
	At     time.Duration
	Server int
	State  string // Ready, Terminating or Gone
}

// Arrival is a request that a caller wants to make.
type Arrival struct {
	At    time.Duration
	Class int
}

// Rules are the bounds that a rehearsal is judged by. Servers, classes and sidecars are referred to by index.
type Rules struct {
	Length       time.Duration
	Slack        time.Duration // tolerance that is added to every time limit, for runs on sockets
	Drain        time.Duration // time for which a sidecar may send new attempts to a server after it was notified that the server is leaving
	NotifyWithin time.Duration // time after which a sidecar counts as notified of an update, written or not
	MaxAttempts  int           // maximum number of attempts of one request; 0 for no limit
	Hedging      bool          // whether two attempts of a request may be in flight at once
	// A cold server collapses under more than OverloadFactor times its present capacity within OverloadWindow; 0 for never.
	OverloadFactor float64
	OverloadWindow time.Duration
	Classes        []Class
	Servers        []Server
	Sidecars       []string // names of the sidecars, those of the first tier first
	StateUpdates   []StateUpdate
	Arrivals       []Arrival
}

// sidecarName returns the name of a sidecar for texts, also if its index is out of range.
func (r *Rules) sidecarName(index int) string {
	if index >= 0 && index < len(r.Sidecars) {
		return r.Sidecars[index]
	}
	return "an unknown sidecar"
}

// serverName returns the name of a server for texts, also if its index is out of range.
func (r *Rules) serverName(index int) string {
	if index >= 0 && index < len(r.Servers) {
		return r.Servers[index].Name
	}
	return "an unknown box"
}

// sameKeyGroup reports whether two servers share the memory of keys, so that a request that one of them executed has no second effect
// at the other.
func (r *Rules) sameKeyGroup(scope string, a, b int) bool {
	if a < 0 || b < 0 || a >= len(r.Servers) || b >= len(r.Servers) {
		return false
	}
	first, second := &r.Servers[a], &r.Servers[b]
	return first.Tier == second.Tier && (scope != scopeCell || first.Cell == second.Cell)
}

// Rule is one of the four rules that a rehearsal checks.
type Rule int

// The four rules.
const (
	FinalAnswer        Rule = iota // every request gets exactly one answer, in time
	AtMostOnce                     // no request takes effect twice
	DrainRespected                 // a draining server gets no new attempts
	SlowStartRespected             // no cold server collapses under overload
	ruleCount
)

// String returns the text for the rule in reports.
func (r Rule) String() string {
	return [...]string{"one final answer in time", "no effect twice", "drains are kept", "no cold box is pushed over"}[r]
}

// Breach is a rule that was broken.
type Breach struct {
	Rule    Rule
	At      time.Duration
	Request string // X-Txn of the request; empty if the breach concerns none
	Origin  int    // index of the arrival that the request belongs to; -1 for none
	Server  int    // index of the server; -1 for none
	Sidecar int    // index of the sidecar; -1 for none
	Message string
}

// breachOf returns a breach by the sidecar that a request was sent to.
func breachOf(rule Rule, at time.Duration, r *request, server int, format string, args ...any) Breach {
	return Breach{
		Rule: rule, At: at, Request: r.name, Origin: r.sent.Origin, Server: server, Sidecar: r.sent.Sidecar,
		Message: fmt.Sprintf(format, args...),
	}
}
