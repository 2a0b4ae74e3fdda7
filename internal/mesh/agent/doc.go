// Package agent connects a process of the mesh, sidecar or core process, to the control plane. An Agent tracks the members of the mesh,
// the endpoints of the services that its process subscribes to, and the committed configuration. It publishes the local endpoint, which
// is the application instance on the same machine. A sidecar also requests tokens of the tenants' rate limits (QuotaClient); a core
// process also contends for singleton roles (SingletonRoles).
//
// The protocols are implemented by packages without I/O: discovery/membership (which processes run), discovery (endpoint records),
// control/lease (singleton roles) and control/ratelimit (tokens). The agent adds the clock, the messages between processes, the callbacks
// and one lock.
//
// # Parts
//
//	Agent                    composes the parts and runs their timers
//	├─ environment           settings, links, clock, random numbers, the lock
//	├─ memberTracker         the view of the members, and the registry owners computed from it
//	├─ endpointDirectory     the endpoint records known to this process, as a registry owner and as a subscriber
//	├─ recordPublisher       records of the local endpoint, sent until the registry owners have acknowledged them
//	├─ configurationUpdater  the applied configuration: discovers newer versions, fetches, applies and announces them
//	├─ keepaliveServer       keepalives of endpoints, received over HTTP or forwarded by other processes
//	└─ eventRecorder         changes recorded as events, for tools (core processes only)
//	QuotaClient              a sidecar's requests for tokens
//	SingletonRoles           a core process's leases, and the token allocator while the process holds the allocator's lease
//
// # Configuration states in a process
//
//	none ──peer's version──> version poll ──all answered, or 250 ms──> fetching ──text──> applied
//	                                                                      ^                  │
//	                                                                      └──newer version───┘
//
// Terms:
//
//   - A configuration is committed once a majority of the voters has it on disk. control/controlplane determines that; the agent
//     receives committed configurations only.
//   - A configuration is applied in a process once OnConfiguration has returned and the tenants' limits are set. Only then can peers
//     fetch it from this process. The applied version never decreases: a text with the same or a lower version is ignored.
//   - "In force" is the term for applied in texts for users. The event configuration_in_force, which each core process records, uses it.
//
// Endpoint records are applied as well, but to the endpoint registry; they are never committed.
//
// # Units
//
// Times are durations on the hub's monotonic clock, which is 0 at the start of the process (initialStartGrace relies on this). Only
// events have wall-clock times (RFC 3339, UTC). Configuration versions are counted from 1; 0 means no configuration. An incarnation is a
// random number other than 0, chosen anew at each start of a process.
//
// # Limits
//
// The agent doesn't commit configurations (control/controlplane does so among the core processes), stores nothing on disk, and doesn't
// forward users' requests (package dataplane does).
package agent
