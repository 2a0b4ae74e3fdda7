package agent

import (
	"context"
	"sync"
	"time"

	"quincegap/internal/mesh/discovery"
	"quincegap/internal/mesh/discovery/membership"
	"quincegap/internal/mesh/transport"
	"quincegap/internal/mesh/transport/codec"
)

// confirmationTimeout is the maximum time that an endpoint's call waits for a registry owner to acknowledge the record.
const confirmationTimeout = 250 * time.Millisecond

// recordPublisher publishes records of the local endpoint to the registry owners of its service in all zones. Its fields are guarded by
// environment.mu.
type recordPublisher struct {
	*environment
	members   *memberTracker
	directory *endpointDirectory // destination of records for which this process itself is a registry owner

	records           *discovery.Publisher
	ownerIncarnations map[string]uint64 // last known incarnations of the registry owners, by address
	acknowledged      chan struct{}     // closed and replaced whenever an owner acknowledges a record
}

// newRecordPublisher returns a publisher without records.
func newRecordPublisher(env *environment, members *memberTracker, directory *endpointDirectory) *recordPublisher {
	return &recordPublisher{
		environment:       env,
		members:           members,
		directory:         directory,
		records:           discovery.NewPublisher(discovery.Config{}),
		ownerIncarnations: map[string]uint64{},
		acknowledged:      make(chan struct{}),
	}
}

// publish implements Agent.Publish.
func (p *recordPublisher) publish(e discovery.Endpoint) {
	self := p.hub.Self()
	e.SidecarAddress = self.Address
	e.SidecarIncarnation = self.Incarnation
	p.mu.Lock()
	p.records.Set(p.now(), e)
	p.mu.Unlock()
	p.wake()
}

// publishEnd implements Agent.PublishEnd.
func (p *recordPublisher) publishEnd(id string, s discovery.State) {
	p.mu.Lock()
	p.records.End(p.now(), id, s)
	p.mu.Unlock()
	p.wake()
}

// linkLostLocked makes all records due again for the owner at an address, because the link to it was lost: the owner may have restarted.
func (p *recordPublisher) linkLostLocked(address string) { p.records.ForgetOwner(address) }

// tickLocked returns the records to send now: changed ones, those that an owner has not acknowledged, and lease renewals.
func (p *recordPublisher) tickLocked(now time.Duration) []discovery.Announcement {
	return p.records.Tick(now)
}

// updateOwnersLocked recomputes the registry owners from the current members. All records are sent again to an owner that has restarted.
func (p *recordPublisher) updateOwnersLocked() {
	if p.config.Role != membership.RoleAccess || p.settings.Service == "" {
		return
	}
	var addresses []string
	for _, owner := range p.members.ownersLocked(p.settings.Service) {
		addresses = append(addresses, owner.Address)
		if p.ownerIncarnations[owner.Address] != owner.Incarnation {
			p.ownerIncarnations[owner.Address] = owner.Incarnation
			p.records.ForgetOwner(owner.Address)
		}
	}
	p.records.SetOwners(addresses)
}

// sendRecords sends records to the registry owners. Those for which this process itself is the owner are applied directly.
func (p *recordPublisher) sendRecords(records []discovery.Announcement) {
	for _, r := range records {
		if r.To == p.address() {
			p.directory.applyAsOwner(r.Endpoint)
			p.recordAcknowledgement(r)
			continue
		}
		p.send(r.To, methodPublish, &publishRequest{Endpoint: r.Endpoint}, func(body []byte) {
			var answer publishRequest
			if codec.Unmarshal(body, &answer) == nil && answer.Accepted {
				p.recordAcknowledgement(r)
			}
		})
	}
}

// recordAcknowledgement records that an owner has acknowledged a record, and wakes awaitConfirmed.
func (p *recordPublisher) recordAcknowledgement(r discovery.Announcement) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.records.Acknowledged(r.To, r.Endpoint.ID, r.Endpoint.Revision)
	close(p.acknowledged)
	p.acknowledged = make(chan struct{})
}

// awaitConfirmed waits until a registry owner on another machine has acknowledged the newest published record of an endpoint, and for at
// most confirmationTimeout or until ctx ends. An acknowledged record is not lost if this process ends. awaitConfirmed returns immediately
// if the endpoint is not published, or there is no other owner.
func (p *recordPublisher) awaitConfirmed(ctx context.Context, id string) {
	ctx, cancel := context.WithTimeout(ctx, confirmationTimeout)
	defer cancel()
	for {
		p.mu.Lock()
		confirmed := p.records.AcknowledgedElsewhere(id, p.address())
		next := p.acknowledged
		p.mu.Unlock()
		if confirmed {
			return
		}
		select {
		case <-next:
		case <-ctx.Done():
			return
		}
	}
}

// ownerAnswer is the result of publishing a record to a registry owner in a zone on behalf of another process. accepted is false if the
// owner has rejected the record, or the request failed.
type ownerAnswer struct {
	zone     string
	accepted bool
}

// publishOnBehalf publishes a record that this process received because the endpoint's own sidecar could not be reached. It reports
// true if a registry owner in every zone has the record, so that all callers of the service are notified, and at least one of these owners
// is another process. Zones that had members within the last zoneRetention count as well, as they may merely be partitioned from this
// process. publishOnBehalf returns when ctx ends at the latest.
func (p *recordPublisher) publishOnBehalf(ctx context.Context, record discovery.Endpoint) bool {
	p.mu.Lock()
	owners := p.members.ownersLocked(record.Service)
	missing := p.members.recentZonesLocked()
	p.mu.Unlock()
	p.directory.applyAsOwner(record)

	ctx, cancel := context.WithCancel(ctx)
	var requests sync.WaitGroup
	defer requests.Wait()
	defer cancel() // cancels the requests that are still pending when the result is known
	answers := make(chan ownerAnswer, len(owners))
	others := 0
	for _, owner := range owners {
		if owner.Address == p.address() {
			delete(missing, owner.Zone)
			continue
		}
		others++
		requests.Go(func() {
			answer, err := transport.Request[publishRequest](ctx, p.hub, owner.Address, methodPublish, &publishRequest{Endpoint: record})
			answers <- ownerAnswer{zone: owner.Zone, accepted: err == nil && answer.Accepted}
		})
	}
	accepted := false
	for range others {
		answer := <-answers // does not block past the end of ctx, which ends all requests
		if answer.accepted {
			accepted = true
			delete(missing, answer.zone)
		}
		if accepted && len(missing) == 0 {
			return true
		}
	}
	return false
}
