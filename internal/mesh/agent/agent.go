package agent

import (
	"context"
	"net"
	"net/http"
	"time"

	"quincegap/internal/mesh/discovery"
	"quincegap/internal/mesh/discovery/membership"
	"quincegap/internal/mesh/operations/eventfeed"
	"quincegap/internal/mesh/transport"
)

// tickInterval is the time between two looks at what is to be sent.
const tickInterval = 100 * time.Millisecond

// Agent is one process's part in the control plane. Its methods may be called from any goroutine.
type Agent struct {
	*environment
	members       *memberTracker
	directory     *endpointDirectory
	publisher     *recordPublisher
	configuration *configurationUpdater
	events        *eventRecorder // nil on sidecars
}

// New makes an Agent and registers its methods with the hub, which may serve already. Run has it work.
func New(config Config) *Agent {
	env := newEnvironment(config)
	a := &Agent{environment: env}
	if config.Role == membership.RoleCore {
		a.events = newEventRecorder(config.Hub.Self().Incarnation)
	}
	a.members = newMemberTracker(env)
	a.directory = newEndpointDirectory(env, a.members, a.events)
	a.publisher = newRecordPublisher(env, a.members, a.directory)
	a.configuration = newConfigurationUpdater(env, a.members, a.directory, a.events)
	a.members.versions = a.configuration
	a.members.register()
	a.directory.register()
	a.configuration.register()
	config.Hub.OnLinkLost(a.handleLinkLost)
	return a
}

// Run sends what is due until ctx ends, and returns when no configuration is being applied any more.
func (a *Agent) Run(ctx context.Context) {
	defer a.configuration.stop()
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		a.sendDue()
		select {
		case <-tick.C:
		case <-a.wakeup:
		case <-ctx.Done():
			return
		}
	}
}

// sendDue sends the shuffles, endpoint records and subscriptions that are due, and notifies of changes.
func (a *Agent) sendDue() {
	a.configuration.finishPoll()
	due := a.takeDue()
	a.members.sendShuffles(due.peers, due.shuffle)
	a.publisher.sendRecords(due.records)
	a.directory.sendSubscriptions(due.subscriptions)
	a.directory.notifyChanges()
}

// dueMessages are those that are to be sent now.
type dueMessages struct {
	peers         []string // that get the shuffle
	shuffle       *membership.Shuffle
	records       []discovery.Announcement
	subscriptions []discovery.SubscribeRequest
}

// takeDue advances all that depends on the time.
func (a *Agent) takeDue() dueMessages {
	now := a.now()
	a.mu.Lock()
	defer a.mu.Unlock()
	var due dueMessages
	due.peers, due.shuffle = a.members.tickLocked(now)
	if a.members.viewChangedLocked() {
		a.publisher.updateOwnersLocked(now)
		a.directory.updateOwnersLocked(now)
		a.members.reportSidecarCountLocked()
	}
	due.records = a.publisher.tickLocked(now)
	due.subscriptions = a.directory.tickLocked(now)
	return due
}

// handleLinkLost takes note that a link to an address has ended.
func (a *Agent) handleLinkLost(address, _ string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	a.members.linkLostLocked(now, address)
	a.directory.linkLostLocked(now, address)
	a.publisher.linkLostLocked(address)
}

// SetSeeds replaces the internal addresses of the seeds by those that the settings have now.
func (a *Agent) SetSeeds(addresses []string) { a.members.setSeeds(addresses) }

// MemberAt is the member at an IP address: a sidecar before others, of several the newest; false if none is known there.
func (a *Agent) MemberAt(ip string) (membership.Member, bool) { return a.members.at(ip) }

// Members are the processes that run, as far as this one knows, itself among them.
func (a *Agent) Members() []membership.Member { return a.members.all() }

// CoreAddresses are the control addresses of the core processes among the members. All machines have the same ports.
func (a *Agent) CoreAddresses() []string {
	_, port, err := net.SplitHostPort(a.settings.ControlAddress)
	if err != nil {
		return nil
	}
	var addresses []string
	for _, m := range a.Members() {
		if host, _, err := net.SplitHostPort(m.Address); err == nil && m.Role == membership.RoleCore {
			addresses = append(addresses, net.JoinHostPort(host, port))
		}
	}
	return addresses
}

// ApplyCommitted takes a configuration that a majority of the voters is known to have on disk, has it applied in this process, and
// announces the version to others. A configuration is applied in no other way. One that is not newer than the applied one changes
// nothing. One that can't be parsed, or whose text names another version, is logged and not applied.
func (a *Agent) ApplyCommitted(version uint64, text []byte) { a.configuration.apply(version, text) }

// Configuration is the version and the text of the configuration that is applied here; version 0 for none.
func (a *Agent) Configuration() (version uint64, text []byte) { return a.configuration.applied() }

// Publish publishes the endpoint beside this process as it is now. It only notes the record for Run, and may be called with locks held
// that OnEndpointLeaving or OnEndpointsChanged takes: this process may own the record's service, and would call these.
func (a *Agent) Publish(e discovery.Endpoint) { a.publisher.set(e) }

// PublishEnd publishes that an endpoint that was beside this process has ended, as Crashed or Deregistered. Like Publish it only notes that.
func (a *Agent) PublishEnd(id string, s discovery.State) { a.publisher.end(id, s) }

// AwaitConfirmed waits until a registry owner on another machine knows an endpoint as it was last published, for 250 ms at most. An
// endpoint's call that is acknowledged after that outlives this process.
func (a *Agent) AwaitConfirmed(ctx context.Context, id string) { a.publisher.awaitConfirmed(ctx, id) }

// PublishOnBehalf publishes a record that this process received in place of the endpoint's own sidecar, which could not be reached. It
// reports whether a registry owner in every zone has acknowledged it, so that all callers learn of it: also in zones that had
// members lately, which may be partitioned. This process alone is not enough. It returns when ctx ends at the latest.
func (a *Agent) PublishOnBehalf(ctx context.Context, e discovery.Endpoint) bool {
	return a.publisher.publishOnBehalf(ctx, e)
}

// ApplyRecord takes a record of an endpoint into the registry, as if a sidecar had published it to this process. It is for tests of
// programs.
func (a *Agent) ApplyRecord(e discovery.Endpoint) { a.directory.applyAsOwner(e) }

// Refresh asks the registry owners of a service for all that they hold of it. It does not wait for the answers.
func (a *Agent) Refresh(service string) { a.directory.refresh(service) }

// EventsHandler serves the feed of events to tools (package eventfeed). It is for core processes.
func (a *Agent) EventsHandler() http.Handler { return eventfeed.Handler(a.events) }

// KeepaliveHandler serves the calls of endpoints over HTTP: POST /endpoints/{id}/keepalive and POST /endpoints/{id}/deregister. local is
// the endpoint beside this process, nil where there is none; keepalives that other processes forward are delivered to it too.
func (a *Agent) KeepaliveHandler(local LocalEndpoint) http.Handler {
	k := &keepaliveServer{environment: a.environment, members: a.members, directory: a.directory, publisher: a.publisher, local: local}
	if local != nil {
		transport.Handle(a.hub, methodKeepalive, k.handleForwarded)
	}
	return k.handler()
}
