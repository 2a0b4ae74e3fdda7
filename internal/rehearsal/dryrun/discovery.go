package dryrun

import (
	"slices"
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/rehearsal/scenario"
)

// The states of a server, as discovery has them.
const (
	stateReady       = "Ready"
	stateTerminating = "Terminating"
	stateGone        = "Gone"
)

// discoveryState is the state that discovery has of a server from a time on.
type discoveryState struct {
	at     time.Duration
	weight float64
	state  string        // Ready, Terminating or Gone; empty if discovery does not have the server
	boot   time.Duration // when it started; 0 for long ago
}

// stateAt returns the state that discovery had at a time.
func (s *server) stateAt(at time.Duration) discoveryState {
	if s.known.at <= at || s.sim.plan.Discovery.LateDelay == 0 {
		return s.known
	}
	for _, earlier := range slices.Backward(s.wasKnown) {
		if earlier.at <= at {
			return earlier
		}
	}
	return discoveryState{}
}

// updateState changes the state that discovery has of the server.
func (s *server) updateState(next discoveryState) {
	if s.sim.plan.Discovery.LateDelay > 0 {
		s.wasKnown = append(s.wasKnown, s.known)
	}
	next.at = s.sim.now
	s.known = next
}

// notificationDelay returns by how much later than others the instance is notified.
func (i *instance) notificationDelay() time.Duration {
	return i.sim.plan.NotificationDelay(i.SidecarSpec)
}

// endpointStates are the states of discovery as the decision module has them.
var endpointStates = map[string]balancer.EndpointState{
	stateReady: balancer.EndpointReady, stateTerminating: balancer.EndpointDraining, stateGone: balancer.EndpointRemoved,
}

// listEntry returns a server as an entry of the module's list.
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

// notify notifies the instance of one server, at once or after its delay.
func (i *instance) notify(server *server) {
	known := server.known
	delay := i.notificationDelay()
	if delay == 0 {
		i.applyUpdate(server, known)
		return
	}
	incarnation := i.incarnation
	i.sim.scheduleAfter(delay, func() {
		if i.incarnation == incarnation { // a later one has a list of its own
			i.applyUpdate(server, known)
		}
	})
}

// applyUpdate gives the decision module the state of a server.
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
