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

// instance is a sidecar: a decision module, and a model of the program around it.
type instance struct {
	scenario.SidecarSpec
	sim         *sim
	index       int
	incarnation int // grows with each start and each end
	up          bool
	inRotation  bool          // it gets new connections of callers
	open        int           // callers' connections
	busy        int           // of these, with a request on them
	endsAt      time.Duration // when it ends; 0 if it was not asked to
	balancer    *balancer.Balancer
	requests    map[balancer.RequestID]*request
	connections map[int]*connections // by server
	serverByID  map[balancer.EndpointID]int
}

// clock returns the time as the decision module has it.
func (i *instance) clock() time.Duration { return clockStart + i.sim.now }

// start starts the instance with the list of discovery.
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

// recordNotification records that the instance is notified of the state of a server.
func (i *instance) recordNotification(server *server, known discoveryState) {
	i.sim.record(audit.Event{Kind: audit.SidecarNotified, Sidecar: i.index, Server: server.index, Text: known.state, Origin: -1})
}

// kill ends the instance at once, with its requests. It stays in rotation until that is noticed.
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

// abortRequests ends all requests without an answer, in the order of their ids so that each run does the same.
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

// shutDown asks the instance to end, as SIGTERM does: it goes on serving for as long as the longest deadline of a class, within maxDrain.
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

// timeOutAttempts ends all attempts in flight, in the order of their requests' ids.
func (i *instance) timeOutAttempts() {
	for _, id := range sortedIDs(i.requests) {
		if r := i.requests[id]; r != nil && r.pending != nil {
			r.pending.finishAtInstance(balancer.StatusTimeout)
		}
	}
}

// sortedIDs returns the ids of requests in order, so that each run does the same.
func sortedIDs(m map[balancer.RequestID]*request) []balancer.RequestID {
	return slices.Sorted(maps.Keys(m))
}
