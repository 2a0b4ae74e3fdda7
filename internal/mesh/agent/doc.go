// Package agent connects a process of the mesh, sidecar or core process, to the control plane. An Agent knows the members of the mesh,
// the endpoints of the services that its process wants, and the committed configuration. It publishes the endpoint beside the process;
// a sidecar also requests tenants' tokens (QuotaClient), and a core process contends for singleton roles (SingletonRoles).
//
// The decisions are made by packages without I/O: discovery/membership (who runs), discovery (endpoint records), control/lease
// (singleton roles) and control/ratelimit (tokens). The agent adds the clock, the messages between processes, the callbacks and one lock.
//
// # Parts
//
//	Agent                    composes the parts, and runs their timers
//	├─ environment           settings, links, clock, random numbers, the lock
//	├─ memberTracker         the view of the members, and the registry owners that follow from it
//	├─ endpointDirectory     the endpoint records of this process, as a registry owner and as a subscriber
//	├─ recordPublisher       records of the endpoint beside this process, until the registry owners have acknowledged them
//	├─ configurationUpdater  the applied configuration: discovers newer versions, fetches, applies and announces them
//	├─ keepaliveServer       keepalives of endpoints over HTTP, and those that other processes forward
//	└─ eventRecorder         changes as events, for tools (core processes only)
//	QuotaClient              a sidecar's requests for tokens
//	SingletonRoles           a core process's leases, and the allocator of tokens while the process holds its lease
//
// # A configuration in a process
//
//	none ──peer's version──> version poll ──all answered, or 250 ms──> fetching ──text──> applied
//	                                                                      ^                  │
//	                                                                      └──newer version───┘
//
// Three words are kept apart:
//
//   - A configuration is committed once a majority of the voters has it on disk. control/controlplane decides that; the agent is only
//     ever given committed ones.
//   - It is applied in a process once OnConfiguration has returned and the tenants' limits are set. Only then may peers fetch it from
//     this process. The applied version only rises: a text whose version is not above it changes nothing.
//   - "In force" is the users' word for applied. It stays in the event configuration_in_force, which each core process records.
//
// Records of endpoints are applied, too, but to the registry of endpoints, and nobody commits them.
//
// # Units
//
// Times are durations on the hub's monotonic clock, which is 0 at the start of the process (initialStartGrace relies on it); only events
// carry wall-clock time (RFC 3339, UTC). Versions of the configuration are counted from 1; 0 is none. Incarnations are random, new at each
// start of a process, and never 0.
//
// # What it does not do
//
// The agent doesn't decide on a configuration (control/controlplane does, among the core processes), stores nothing on disk, and doesn't
// forward users' requests (dataplane).
package agent
