package agent

import "quincegap/internal/mesh/discovery"

// serviceChange describes the pending notifications of one service's changes.
type serviceChange struct {
	service     string
	endpoints   []discovery.Endpoint // all known endpoints of the service
	update      []discovery.Endpoint // changed endpoints only: complete lists to all subscribers would saturate an owner's link
	subscribers []string             // internal addresses of the subscribers to notify
}

// markChangedLocked records that a service has changed, for drainChanges. before is the registry version before the change.
func (d *endpointDirectory) markChangedLocked(service string, before uint64) {
	if _, ok := d.changedSince[service]; !ok {
		d.changedSince[service] = before
	}
}

// drainChanges returns the changes since the last call.
func (d *endpointDirectory) drainChanges() []serviceChange {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	var changes []serviceChange
	for service, before := range d.changedSince {
		update, _, _ := d.registry.ChangedSince(now, service, before)
		changes = append(changes, serviceChange{
			service:     service,
			endpoints:   d.registry.List(now, service),
			update:      update,
			subscribers: d.subscribers.Active(now, service),
		})
	}
	clear(d.changedSince)
	return changes
}

// notifyChanges notifies the subscribers, the callbacks and the event recorder of the services that have changed since its last call.
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

// reportLeaving calls OnEndpointLeaving for records with the application address of this machine whose state is draining or deregistered.
// Records with the state serving are ignored: they may be outdated, and only a keepalive of the endpoint itself shows that it is serving.
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
