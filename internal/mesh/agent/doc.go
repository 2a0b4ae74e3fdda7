// Package agent is the part that each process of the mesh, sidecar or core process, takes in the control plane. It knows the members
// of the mesh, the endpoints of the services that it wants and the committed configuration; it publishes the endpoint beside it,
// requests tenants' tokens (sidecars) and contends for singleton roles (core processes).
//
// What decides is pure and lies in packages of its own: discovery/membership (who runs), discovery (endpoint records), control/lease
// (singleton roles), control/ratelimit (tokens). The agent adds the clock, the messages between processes, the callbacks and one lock.
//
// # Parts
//
//	Agent                 composes the parts, and runs their timers
//	├─ environment        settings, links, clock, random numbers, the lock
//	├─ memberTracker      the view of the members; owners of services in it
//	├─ endpointDirectory  the endpoint records of this process, as a registry owner and as a subscriber
//	├─ recordPublisher    records of the endpoint beside this process, on their way to the registry owners
//	├─ configurationUpdater  the committed configuration: learns of versions, fetches, applies and announces them
//	├─ keepaliveServer    keepalives of endpoints over HTTP, and those that other processes forward
//	└─ eventRecorder      what has changed, for tools (core processes only)
//	QuotaClient           a sidecar's requests for tokens
//	SingletonRoles        a core process's leases, and the allocator of tokens while it holds that lease
//
// # A configuration in a process
//
//	none ──peer's version──> version poll ──all answered, or 250 ms──> fetching ──text──> applied
//	                                                                      ^                  │
//	                                                                      └──newer version───┘
//
// Versions only rise: a text that is not newer than the applied one changes nothing.
//
// # Units
//
// Times are durations on the hub's steady clock, with any start; only events carry wall-clock time (RFC 3339, UTC). Versions of the
// configuration are counted from 1; 0 is none. Incarnations are random, new at each start of a process, and never 0.
//
// # Not here
//
// The agent neither decides on a configuration (control/controlplane does, among the core processes) nor stores anything on disk, and
// does not carry users' requests (dataplane).
package agent
