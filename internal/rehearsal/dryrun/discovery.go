package dryrun

import (
	"slices"
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/rehearsal/scenario"
)

// The states of a server in discovery.
const (
	stateReady       = "Ready"
	stateTerminating = "Terminating"
	stateGone        = "Gone"
)

// discoveryState is the state of a server in discovery from a given time on.
type discoveryState struct {
	at     time.Duration // time of the update
	weight float64
	state  string        // Ready, Terminating or Gone; empty if discovery doesn't know the server
	boot   time.Duration // start time of the server; 0 if it started long before the run
}

// stateAt returns the state of the server in discovery at a time. Earlier states are available only if some sidecars are notified late;
// otherwise it returns the current one.
func (s *server) stateAt(at time.Duration) discoveryState {
	if s.known.at <= at || s.sim.plan.Discovery.LateDelay == 0 {
		return s.known
	}
	for _, earlier := range slices.Backward(s.knownBefore) {
		if earlier.at <= at {
			return earlier
		}
	}
	return discoveryState{}
}

// updateState sets the state of the server in discovery from now on.
func (s *server) updateState(next discoveryState) {
	if s.sim.plan.Discovery.LateDelay > 0 {
		s.knownBefore = append(s.knownBefore, s.known)
	}
	next.at = s.sim.now
	s.known = next
}

// notificationDelay returns the additional delay with which the instance is notified of updates.
func (i *instance) notificationDelay() time.Duration {
	return i.sim.plan.NotificationDelay(i.SidecarSpec)
}

// endpointStates maps the states of discovery to those of the decision module.
var endpointStates = map[string]balancer.EndpointState{
	stateReady: balancer.EndpointReady, stateTerminating: balancer.EndpointDraining, stateGone: balancer.EndpointRemoved,
}

// listEntry returns the entry for a server in the endpoint list of the decision module, and records the ID of the endpoint.
func (i *instance) listEntry(server *server, known discoveryState) balancer.ListEntry {
	id := balancer.EndpointID(server.index + 1)
	i.serverByID[id] = server.index
	spec := server.spec()
	entry := balancer.ListEntry{
		Endpoint: id, MachineKind: spec.Tier, Cell: spec.Cell, Weight: known.weight, State: endpointStates[known.state],
	}
	switch bootTime := i.sim.plan.Discovery.BootTime; {
	case known.boot == 0, bootTime == scenario.BootTimeNone:
	case bootTime == scenario.BootTimeAhead:
		entry.StartedAt = clockStart + known.boot + scenario.BootTimeSkew
	default:
		entry.StartedAt = clockStart + known.boot
	}
	return entry
}

// notify notifies the instance of the state of one server, at once or after its notification delay.
func (i *instance) notify(server *server) {
	known := server.known
	delay := i.notificationDelay()
	if delay == 0 {
		i.applyUpdate(server, known)
		return
	}
	incarnation := i.incarnation
	i.sim.scheduleAfter(delay, func() {
		if i.incarnation == incarnation { // an instance that was restarted has got its own list
			i.applyUpdate(server, known)
		}
	})
}

// applyUpdate passes the state of a server to the decision module, if the instance is up and sends to the server's tier.
func (i *instance) applyUpdate(server *server, known discoveryState) {
	if !i.up || server.tier() != i.Tier || known.state == "" {
		return
	}
	i.recordNotification(server, known)
	i.sim.decisions++
	i.balancer.HandleEndpoints(i.clock(), balancer.EndpointList{
		Kind: balancer.ListDelta, Version: i.sim.seq, Entries: []balancer.ListEntry{i.listEntry(server, known)},
	})
}
