package agent

import "quincegap/internal/mesh/discovery"

// serviceChange is what has changed of one service.
type serviceChange struct {
	service     string
	endpoints   []discovery.Endpoint // all that is known of it
	update      []discovery.Endpoint // what has changed, for subscribers: the complete list to each would fill an owner's link
	subscribers []string
}

// markChangedLocked has drainChanges return what changed of a service after a version of the registry.
func (d *endpointDirectory) markChangedLocked(service string, before uint64) {
	if _, ok := d.changed[service]; !ok {
		d.changed[service] = before
	}
}

// drainChanges returns what is to be notified since the last call.
func (d *endpointDirectory) drainChanges() []serviceChange {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	var changes []serviceChange
	for service, before := range d.changed {
		update, _, _ := d.registry.ChangedSince(now, service, before)
		changes = append(changes, serviceChange{
			service:     service,
			endpoints:   d.registry.List(now, service),
			update:      update,
			subscribers: d.subscribers.Active(now, service),
		})
	}
	clear(d.changed)
	return changes
}

// notifyChanges notifies the subscribers, this process and the event feed of services whose endpoints have changed.
func (d *endpointDirectory) notifyChanges() {
	for _, c := range d.drainChanges() {
		for _, subscriber := range c.subscribers {
			d.send(subscriber, methodUpdate, &endpointList{Service: c.service, Endpoints: c.update}, nil)
		}
		if d.config.OnEndpointsChanged != nil {
			d.config.OnEndpointsChanged(c.service, c.endpoints)
		}
		d.events.recordEndpoints(c.endpoints)
		d.reportLeaving(c.endpoints)
	}
}

// reportLeaving reports what others know of the endpoint beside this process, if they have it draining or deregistered. That it
// serves is believed of the endpoint itself only: others that remember it may not know yet that it leaves.
func (d *endpointDirectory) reportLeaving(endpoints []discovery.Endpoint) {
	if d.config.OnEndpointLeaving == nil {
		return
	}
	for _, e := range endpoints {
		leaving := e.State == discovery.Draining || e.State == discovery.Deregistered
		if leaving && e.AppAddress == d.settings.ApplicationAddress {
			d.config.OnEndpointLeaving(e)
		}
	}
}
