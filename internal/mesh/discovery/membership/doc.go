// Package membership is the view that each process of the mesh keeps of the other processes: who runs, where, and how lately it
// was known to be alive. Views are spread by gossip: every process exchanges shuffles, excerpts of its view, with a few peers.
//
// # States of a member
//
// A member is one incarnation of a process, which is to say one run of it. Every view keeps a state of its own for each member:
//
//	                   its heartbeat is older              its heartbeat is older
//	  a record         than SuspicionTimeout               than FailureTimeout
//	───────────▶ alive ──────────────────────▶ suspected ──────────────────────▶ departed
//	              │ ▲  ◀────────────────────────   │                               ▲
//	              │ │       a newer heartbeat      │ a connection                  │
//	 a connection │ │                              │ to it breaks                  │
//	 to it breaks ▼ │ a newer heartbeat            ▼                               │
//	          unreachable ◀────────────────────────┘                               │
//	              └────────────────────────────────────────────────────────────────┘
//	                                DisconnectGrace, with a tombstone
//
// An unreachable member is asked again and again, and peers are told that this process can't reach it: one that can has it raise
// its heartbeat, which refutes the suspicion. After DisconnectGrace it departs, and a tombstone notifies the others.
//
// A tombstone says that an incarnation ended, and holds up to a heartbeat. The member that it is about, if it runs after all, raises
// its heartbeat above that and comes back. The address of a departed member is tried again for a while: it may only have been
// partitioned from this process.
//
// # Partial views
//
// A view holds all members of the own zone and all core members, within bounds, but of each other zone only the first few by a hash of
// their incarnations, the same ones in every view. They are enough for the registry owners of a service, who are chosen by
// rendezvous hashing among them.
//
// # Quiet
//
// While nothing changes, shuffles carry no members but two digests: of the members of the own zone, and of those that every view is to
// hold. A process that agrees with a member of a zone takes that zone's members for alive. This is sound as each member is monitored
// by a few others over connections that are kept, and one that loses such a connection spreads that.
//
// # Units and limits
//
// The package does no I/O, starts no goroutine and reads no clock: time, randomness and messages are arguments. Time is that of a
// steady clock with any start. A View isn't safe for concurrent use. The same calls with the same random source give the same results.
//
// Heartbeats count gossip intervals of their member. Ages are sent instead of times, since clocks differ; the time on the way isn't
// added, so that a heartbeat may seem newer than it is by as much.
//
// It doesn't keep connections, agree on anything (see internal/mesh/control/consensus), or know endpoints (see
// internal/mesh/discovery).
package membership
