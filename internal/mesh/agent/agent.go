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

// tickInterval is the time after which Agent.Run sends what is due, unless it is woken before.
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

// New returns an Agent, and registers its methods with the hub, which may serve already. The agent answers peers from then on; it sends
// nothing by itself before Run.
func New(config Config) *Agent {
	env := newEnvironment(config)
	agent := &Agent{environment: env}
	if config.Role == membership.RoleCore {
		agent.events = newEventRecorder(config.Hub.Self().Incarnation)
	}
	agent.members = newMemberTracker(env)
	agent.directory = newEndpointDirectory(env, agent.members, agent.events)
	agent.publisher = newRecordPublisher(env, agent.members, agent.directory)
	agent.configuration = newConfigurationUpdater(env, agent.members, agent.directory, agent.events)
	agent.members.versions = agent.configuration
	agent.members.register()
	agent.directory.register()
	agent.configuration.register()
	config.Hub.OnLinkLost(agent.handleLinkLost)
	return agent
}

// Run sends what is due until ctx ends. It returns once the last configuration that was fetched is no longer being applied.
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

// sendDue sends the shuffles, endpoint records and subscribe requests that are due, and notifies subscribers of changes.
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
	peers         []string // addresses to send the shuffle to
	shuffle       *membership.Shuffle
	records       []discovery.Announcement
	subscriptions []discovery.SubscribeRequest
}

// takeDue advances the parts of the agent to the present time, and returns what they have to send.
func (a *Agent) takeDue() dueMessages {
	now := a.now()
	a.mu.Lock()
	defer a.mu.Unlock()
	var due dueMessages
	due.peers, due.shuffle = a.members.tickLocked(now)
	if a.members.takeViewChangeLocked() {
		a.publisher.updateOwnersLocked()
		a.directory.updateOwnersLocked()
		a.members.reportSidecarCountLocked()
	}
	due.records = a.publisher.tickLocked(now)
	due.subscriptions = a.directory.tickLocked(now)
	return due
}

// handleLinkLost informs the parts of the agent that the link to an address has ended: the process there may have ended too.
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

// Members returns the processes that run, as far as this one knows, itself included, ordered by address.
func (a *Agent) Members() []membership.Member { return a.members.all() }

// CoreAddresses returns the control addresses of the core processes among the members. All machines have the same ports.
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

// ApplyCommitted applies a committed configuration in this process, and announces its version to peers. The caller guarantees that a
// majority of the voters has the configuration on disk. The agent also applies those that it fetches from a peer that has applied them.
// A version that is not above the applied one changes nothing. A text that can't be parsed, or that names another version, is logged and
// not applied.
func (a *Agent) ApplyCommitted(version uint64, text []byte) { a.configuration.apply(version, text) }

// Configuration returns the version and the text of the configuration that is applied in this process; version 0 if there is none.
func (a *Agent) Configuration() (version uint64, text []byte) { return a.configuration.applied() }

// Publish publishes the endpoint beside this process as it is now. It only queues the record, which Run sends. It may therefore be
// called with locks held that OnEndpointLeaving or OnEndpointsChanged takes: where this process is a registry owner of the service, the
// record leads to these callbacks.
func (a *Agent) Publish(e discovery.Endpoint) { a.publisher.set(e) }

// PublishEnd publishes that an endpoint that was beside this process has ended, as Crashed or Deregistered. Like Publish it only queues
// the record.
func (a *Agent) PublishEnd(id string, s discovery.State) { a.publisher.end(id, s) }

// ApplyRecord applies a record of an endpoint to this process's registry, as if a sidecar had published it to this process. It is for
// tests of the programs.
func (a *Agent) ApplyRecord(e discovery.Endpoint) { a.directory.applyAsOwner(e) }

// Refresh requests the complete endpoint list of a service from its registry owners. It does not wait for the answers.
func (a *Agent) Refresh(service string) { a.directory.refresh(service) }

// EventsHandler returns the handler that serves the feed of events to tools (package eventfeed). It is for core processes only: a
// sidecar records no events.
func (a *Agent) EventsHandler() http.Handler { return eventfeed.Handler(a.events) }

// KeepaliveHandler returns the handler of endpoints' calls over HTTP: POST /endpoints/{id}/keepalive and POST /endpoints/{id}/deregister.
// local is the endpoint beside this process, nil if there is none; keepalives that other processes forward are delivered to it too.
func (a *Agent) KeepaliveHandler(local LocalEndpoint) http.Handler {
	k := &keepaliveServer{
		environment: a.environment,
		members:     a.members,
		directory:   a.directory,
		publisher:   a.publisher,
		local:       local,
	}
	if local != nil {
		transport.Handle(a.hub, methodKeepalive, k.handleForwarded)
	}
	return k.handler()
}
