package dryrun

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/config/settings"
	"quincegap/internal/rehearsal/audit"
	"quincegap/internal/rehearsal/scenario"
)

// instance is a sidecar: a decision module with a model of the program around it.
type instance struct {
	scenario.SidecarSpec
	sim         *sim
	index       int
	incarnation int // counter that is incremented at each start and each end
	up          bool
	inRotation  bool          // whether callers open new connections to it
	open        int           // number of open connections of callers
	busy        int           // number of open connections that have a request in flight
	endsAt      time.Duration // time at which it ends after SIGTERM; 0 if it was not asked to end
	balancer    *balancer.Balancer
	requests    map[balancer.RequestID]*request
	connections map[int]*connections        // connections by index of the server
	serverByID  map[balancer.EndpointID]int // index of the server, by endpoint ID
}

// clock returns the current time on the clock of the decision module.
func (i *instance) clock() time.Duration { return clockStart + i.sim.now }

// start starts the instance with the current list of discovery. It returns an error if the settings or the decision module are invalid.
func (i *instance) start() error {
	i.incarnation++
	i.up = true
	i.inRotation = i.Server < 0
	i.endsAt = 0
	i.open = 0
	i.busy = 0
	i.requests = map[balancer.RequestID]*request{}
	i.connections = map[int]*connections{}
	i.serverByID = map[balancer.EndpointID]int{}
	text, err := json.Marshal(i.sim.plan.Settings(i.Tier, i.Number, i.Count))
	if err != nil {
		return fmt.Errorf("settings of %s: %w", i.Name, err)
	}
	parsed, _, err := settings.Parse(text)
	if err != nil {
		return fmt.Errorf("settings of %s: %w", i.Name, err)
	}
	seed := i.sim.plan.Seed ^ uint64(i.index)<<32 ^ uint64(i.incarnation)
	if i.balancer, err = balancer.New(parsed.Settings, seed, i); err != nil {
		return fmt.Errorf("decision module of %s: %w", i.Name, err)
	}
	i.sim.record(audit.Event{Kind: audit.SidecarUp, Sidecar: i.index, Server: -1, Origin: -1})
	list := balancer.EndpointList{Kind: balancer.ListFull, Version: 1}
	for _, server := range i.sim.servers {
		known := server.stateAt(i.sim.now - i.notificationDelay())
		if server.tier() == i.Tier && known.state != "" && known.state != stateGone {
			list.Entries = append(list.Entries, i.listEntry(server, known))
			i.recordNotification(server, known)
		}
	}
	i.balancer.HandleEndpoints(i.clock(), list)
	return nil
}

// recordNotification records that the instance was notified of the state of a server.
func (i *instance) recordNotification(server *server, known discoveryState) {
	i.sim.record(audit.Event{Kind: audit.SidecarNotified, Sidecar: i.index, Server: server.index, Text: known.state, Origin: -1})
}

// kill ends the instance immediately and aborts its requests. It stays in rotation until callers notice the failure.
func (i *instance) kill() {
	if !i.up {
		return
	}
	i.up = false
	incarnation := i.incarnation
	i.incarnation++
	i.sim.record(audit.Event{Kind: audit.SidecarKilled, Sidecar: i.index, Server: -1, Origin: -1})
	i.abortRequests()
	i.sim.scheduleAfter(failureNotice, func() {
		if i.incarnation == incarnation+1 {
			i.inRotation = false
		}
	})
}

// abortRequests ends all requests without an answer. The order is that of their IDs, so that runs are reproducible.
func (i *instance) abortRequests() {
	for _, id := range sortedIDs(i.requests) {
		r := i.requests[id]
		if r.pending != nil {
			r.pending.finished = true
			r.pending.cancel()
		}
		if !r.answered && !r.abandoned {
			r.abandoned = true
			r.recordEnd(audit.ConnectionClosed)
			r.reply(reply{})
		}
	}
	i.requests = map[balancer.RequestID]*request{}
}

// shutDown asks the instance to end, as SIGTERM does. It continues to serve for the longest deadline of a class, but at most maxDrain,
// plus drainMargin.
func (i *instance) shutDown() {
	if !i.up {
		return
	}
	var longest time.Duration
	for _, class := range i.sim.plan.Classes {
		longest = max(longest, class.Deadline)
	}
	incarnation := i.incarnation
	i.sim.record(audit.Event{Kind: audit.SidecarStopping, Sidecar: i.index, Server: -1, Origin: -1})
	i.endsAt = i.sim.now + min(longest, maxDrain) + drainMargin
	for _, r := range i.requests {
		r.deadline = min(r.deadline, i.endsAt)
	}
	i.sim.decisions++
	i.balancer.ShutDownAt(i.clock(), clockStart+i.endsAt)
	i.sim.scheduleAfter(drainNotice, func() {
		if i.incarnation == incarnation {
			i.inRotation = false
		}
	})
	i.sim.schedule(i.endsAt, func() {
		if i.incarnation == incarnation {
			i.timeOutAttempts()
		}
	})
	i.sim.schedule(i.endsAt+exitDelay, func() {
		if i.incarnation == incarnation {
			i.up = false
			i.incarnation++
			i.abortRequests()
		}
	})
}

// timeOutAttempts ends all attempts in flight with a timeout, in the order of the IDs of their requests.
func (i *instance) timeOutAttempts() {
	for _, id := range sortedIDs(i.requests) {
		if r := i.requests[id]; r != nil && r.pending != nil {
			r.pending.finishAtInstance(balancer.StatusTimeout)
		}
	}
}

// sortedIDs returns the IDs of requests in ascending order, so that runs are reproducible.
func sortedIDs(m map[balancer.RequestID]*request) []balancer.RequestID {
	return slices.Sorted(maps.Keys(m))
}
