package agent

import "quincegap/internal/mesh/discovery"

// serviceChange describes the changes of one service that are to be notified.
type serviceChange struct {
	service     string
	endpoints   []discovery.Endpoint // the complete list, as far as it is known
	update      []discovery.Endpoint // those that have changed, for subscribers: complete lists for all would fill an owner's link
	subscribers []string             // addresses
}

// markChangedLocked records that a service has changed, for drainChanges; before is the registry's version before the change.
func (d *endpointDirectory) markChangedLocked(service string, before uint64) {
	if _, ok := d.changed[service]; !ok {
		d.changed[service] = before
	}
}

// drainChanges returns the changes since the last call.
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

// notifyChanges notifies the subscribers, the callbacks and the event recorder of the services whose endpoints have changed.
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

// reportLeaving calls OnEndpointLeaving for records of the endpoint beside this process that have it draining or deregistered. A record
// that has it serving is ignored: it may be outdated, and only the endpoint's own keepalive shows that it serves.
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
