// Package membership maintains each process's view of the mesh: which processes run, where they run, and when each was last known to be
// alive. Views spread by gossip: every process exchanges shuffles, which are parts of its view, with a few peers.
//
// # States of a member
//
// A member is one incarnation of a process, which is one run of it. Each view holds its own state for each member:
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
// This process keeps contacting an unreachable member, and notifies its peers that it can't reach the member. A peer that can reach the
// member asks it to raise its heartbeat, which refutes the suspicion. Otherwise the member departs after DisconnectGrace, and a tombstone
// notifies the other processes.
//
// A tombstone reports that an incarnation ended, and covers its heartbeats up to a given one. A member that still runs refutes the
// tombstone by raising its heartbeat above that one, and is added to the view again. This process keeps trying to connect to the address of
// a departed member for some time, because the member may only have been partitioned from it.
//
// # Partial views
//
// A view holds all members of its own zone and all core members, up to configured limits. Of each other zone it holds only the first few
// members in the order of their incarnations' hashes, which are the same members in every view. The registry owners of a service are chosen
// among these by rendezvous hashing, so that all views choose the same owners.
//
// # Quiet views
//
// While nothing changes, shuffles carry no members, only two digests: one of the members of the sender's zone, and one of the members that
// every view must hold. If a process has the same digests as a member of a zone, it considers all members of that zone alive. This is safe
// because a few other processes monitor each member over connections that stay open, and a process that loses such a connection reports
// that to its peers.
//
// # Units and limits
//
// The package does no I/O, starts no goroutine and reads no clock: time, randomness and messages are arguments. Time is a duration on a
// monotonic clock with an arbitrary start. A View isn't safe for concurrent use. The same calls with the same random source give the same
// results.
//
// A heartbeat is a counter that a member raises at each gossip interval. Messages carry the ages of heartbeats instead of times, because
// the clocks of processes differ. The transit time of a message isn't added to an age, so a heartbeat may seem newer than it is.
//
// The package doesn't manage connections, doesn't provide consensus on the set of members (see internal/mesh/control/consensus), and
// doesn't handle endpoints (see internal/mesh/discovery).
package membership
