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

// tickInterval is the interval at which Agent.Run sends due messages. A wakeup makes it send them earlier.
const tickInterval = 100 * time.Millisecond

// Agent connects one process to the control plane. Its methods are safe for concurrent use.
type Agent struct {
	*environment
	members       *memberTracker
	directory     *endpointDirectory
	publisher     *recordPublisher
	configuration *configurationUpdater
	events        *eventRecorder // nil on sidecars
}

// New returns an Agent, and registers its methods with the hub, which may already be serving. From then on, the agent answers requests
// of peers. It sends no messages on its own initiative before Run is called.
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

// Run sends due messages until ctx ends. Before it returns, it waits until a fetched configuration that is being applied has been
// applied.
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

// sendDue sends the due shuffles, endpoint records and subscribe requests, and notifies subscribers of changes.
func (a *Agent) sendDue() {
	a.configuration.finishPoll()
	due := a.takeDue()
	a.members.sendShuffles(due.peers, due.shuffle)
	a.publisher.sendRecords(due.records)
	a.directory.sendSubscriptions(due.subscriptions)
	a.directory.notifyChanges()
}

// dueMessages holds the messages to send now. shuffle is nil if none is due.
type dueMessages struct {
	peers         []string // internal addresses of the recipients of shuffle
	shuffle       *membership.Shuffle
	records       []discovery.Announcement
	subscriptions []discovery.SubscribeRequest
}

// takeDue advances the parts of the agent to the current time, and returns the messages that they have to send.
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

// handleLinkLost informs the parts of the agent that the link to an address has been lost. The process there may have ended as well.
func (a *Agent) handleLinkLost(address, _ string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	a.members.linkLostLocked(now, address)
	a.directory.linkLostLocked(now, address)
	a.publisher.linkLostLocked(address)
}

// SetSeeds replaces the internal addresses of the seeds, for example after the settings have been reloaded.
func (a *Agent) SetSeeds(addresses []string) { a.members.setSeeds(addresses) }

// Members returns the running processes known to this process, including itself, ordered by address.
func (a *Agent) Members() []membership.Member { return a.members.all() }

// CoreAddresses returns the control addresses of the core processes among the members. They are built from the members' IP addresses and
// this process's control port, as all machines use the same ports.
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
// majority of the voters has the configuration on disk. (Run also applies configurations that it fetches from peers that have applied
// them.) A version that is not higher than the applied one is ignored. A text that can't be parsed, or that names another version, is
// logged as an error and not applied.
func (a *Agent) ApplyCommitted(version uint64, text []byte) { a.configuration.apply(version, text) }

// Configuration returns the version and the text of the configuration applied in this process. The version is 0 if none is applied.
func (a *Agent) Configuration() (version uint64, text []byte) { return a.configuration.applied() }

// Publish publishes the current record of the local endpoint. It only queues the record; Run sends it. Publish may therefore be called
// while holding locks that OnEndpointLeaving or OnEndpointsChanged acquires, although the record triggers these callbacks if this process
// is a registry owner of the service.
func (a *Agent) Publish(e discovery.Endpoint) { a.publisher.publish(e) }

// PublishEnd publishes the final state of a former local endpoint: Crashed or Deregistered. Like Publish, it only queues the record.
func (a *Agent) PublishEnd(id string, s discovery.State) { a.publisher.publishEnd(id, s) }

// ApplyRecord applies an endpoint record to this process's registry, as if a sidecar had published it to this process. It is intended
// for tests of the programs.
func (a *Agent) ApplyRecord(e discovery.Endpoint) { a.directory.applyAsOwner(e) }

// Refresh requests the complete endpoint list of a service from its registry owners in this process's zone. It does not wait for the
// replies.
func (a *Agent) Refresh(service string) { a.directory.refresh(service) }

// EventsHandler returns the HTTP handler that serves the event feed to tools (package eventfeed). It must be called in core processes
// only, as a sidecar records no events.
func (a *Agent) EventsHandler() http.Handler { return eventfeed.Handler(a.events) }

// KeepaliveHandler returns the HTTP handler of the endpoints' calls: POST /endpoints/{id}/keepalive and POST /endpoints/{id}/deregister.
// local is the local endpoint, or nil if there is none. Keepalives forwarded by other processes are delivered to it as well.
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
