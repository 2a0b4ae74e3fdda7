// Package membership is the view that each process of the mesh keeps of the others: which processes run, where, and when each was last
// known to be alive. Views are spread by gossip: every process exchanges shuffles, which are parts of its view, with a few peers.
//
// # States of a member
//
// A member is one incarnation, that is one run, of a process. Every view keeps a state of its own for each member:
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
// An unreachable member is contacted repeatedly, and peers are notified that this process can't reach it. A peer that can reach the member
// asks it to raise its heartbeat, which refutes the suspicion. After DisconnectGrace the member departs, and a tombstone notifies the
// others.
//
// A tombstone reports that an incarnation ended, and is valid up to a heartbeat. A member that still runs refutes it by raising its
// heartbeat above that one, and comes back. The address of a departed member is tried again for a while: the member may only have been
// partitioned from this process.
//
// # Partial views
//
// A view holds all members of its own zone and all core members, within bounds. Of each other zone it holds only the first few in the order
// of their incarnations' hashes, which are the same ones in every view. The registry owners of a service are chosen among these by
// rendezvous hashing, so that all views choose the same ones.
//
// # Quiet
//
// While nothing changes, shuffles carry no members, but two digests: of the members of the sender's zone, and of those that every view is
// to hold. A process whose digests are equal to those of a member of a zone takes all members of that zone for alive. This is sound
// because each member is monitored by a few others over connections that are kept open, and a process that loses such a connection
// reports that to its peers.
//
// # Units and limits
//
// The package does no I/O, starts no goroutine and reads no clock: time, randomness and messages are arguments. Time is that of a
// monotonic clock with any start. A View isn't safe for concurrent use. The same calls with the same random source give the same results.
//
// A heartbeat is a counter that its member raises at each gossip interval. Messages carry the ages of heartbeats instead of times, since
// the clocks of processes differ. The time that a message takes isn't added to an age, so that a heartbeat may seem newer than it is.
//
// The package doesn't keep connections, doesn't make processes agree on the members (see internal/mesh/control/consensus for
// agreement), and doesn't know endpoints (see internal/mesh/discovery).
package membership
