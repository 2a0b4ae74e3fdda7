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

// Class is a class of request, as the rules need it.
type Class struct {
	Name          string
	Idempotency   string        // safe, keyed or unsafe
	Scope         string        // of a keyed one, where its key is remembered: cell, zone or all
	Window        time.Duration // of a keyed one, how long its key is remembered
	LatencyTarget time.Duration
	Deadline      time.Duration
	Value         float64 // of an answer within the latency target
}

// Server is an emulated server, as the rules need it.
type Server struct {
	Name string
	Tier int
	Cell int

	// For Totals only.
	Capacity  float64 // work per second once it is warm, in seconds of a core at speed 1
	ColdShare float64 // share of its capacity that it starts with
	WarmUp    time.Duration
	Work      time.Duration // mean work of an attempt; of a server that calls others, the part before the calls
}

// StateUpdate is the state that discovery has of a server from a time on.
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
	Slack        time.Duration // by how much each limit is longer on sockets
	Drain        time.Duration // how long a server may get new attempts after the sidecar was notified that it is leaving
	NotifyWithin time.Duration // after which an update counts as notified, whether or not it was written
	MaxAttempts  int           // of one request
	Hedging      bool          // two attempts of a request may be in flight at once
	// A cold server collapses under more than OverloadFactor times its present capacity within OverloadWindow; 0 for never.
	OverloadFactor float64
	OverloadWindow time.Duration
	Classes        []Class
	Servers        []Server
	Sidecars       []string // names, those of the first tier first
	StateUpdates   []StateUpdate
	Arrivals       []Arrival
}

// sidecarName returns the name of a sidecar for people.
func (r *Rules) sidecarName(index int) string {
	if index >= 0 && index < len(r.Sidecars) {
		return r.Sidecars[index]
	}
	return "an unknown sidecar"
}

// serverName returns the name of a server for people.
func (r *Rules) serverName(index int) string {
	if index >= 0 && index < len(r.Servers) {
		return r.Servers[index].Name
	}
	return "an unknown box"
}

// sameKeyGroup reports whether a key that one server has executed has no second effect at another.
func (r *Rules) sameKeyGroup(scope string, a, b int) bool {
	if a < 0 || b < 0 || a >= len(r.Servers) || b >= len(r.Servers) {
		return false
	}
	first, second := &r.Servers[a], &r.Servers[b]
	return first.Tier == second.Tier && (scope != scopeCell || first.Cell == second.Cell)
}

// Rule is one of the four rules.
type Rule int

// The four rules.
const (
	FinalAnswer        Rule = iota // one final answer in time
	AtMostOnce                     // no effect twice
	DrainRespected                 // no new attempts to what drains
	SlowStartRespected             // no cold server is overloaded
	ruleCount
)

// String returns the rule in words, as reports have it.
func (r Rule) String() string {
	return [...]string{"one final answer in time", "no effect twice", "drains are kept", "no cold box is pushed over"}[r]
}

// Breach is a rule that was broken.
type Breach struct {
	Rule    Rule
	At      time.Duration
	Request string // empty if it is about none
	Origin  int    // the arrival that the request was for, or -1
	Server  int    // or -1
	Sidecar int    // or -1
	Message string
}

// breachOf returns a breach of the sidecar that a request was sent to.
func breachOf(rule Rule, at time.Duration, r *request, server int, format string, args ...any) Breach {
	return Breach{
		Rule: rule, At: at, Request: r.name, Origin: r.sent.Origin, Server: server, Sidecar: r.sent.Sidecar,
		Message: fmt.Sprintf(format, args...),
	}
}
