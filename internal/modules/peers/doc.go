// Package peers maintains a standalone sidecar's view of the other sidecars of its application: which exist, in which state they are, and
// how reliable that view is.
//
// It does no I/O and reads no clock. A source of records (internal/network/gossip) passes the records and the present time. The time is
// a duration since an arbitrary start, which must be the same for all calls of one View. None of its types is safe for concurrent use.
//
// # Records
//
// A Record is a claim of one member about another, or about itself: the process, its incarnation and its state. Of two records of one
// process, the one with the higher incarnation wins; of two with the same incarnation, the one with the later state. So it does not matter
// in which order and how often records arrive, and an old record has no effect. Only the process itself raises its incarnation, to refute
// the claim that it is suspect or gone. A sidecar that restarts is another process with the same name.
//
// # States
//
//	          SetState           MarkSuspect
//	Joining ───────────▶ Serving ───────────▶ Suspect
//	   │                    │ ▲                  │ │
//	   │                    │ └── refuted ───────┘ │ Options.SuspicionTimeout
//	   │      SetState      ▼     (incarnation+1)  ▼
//	   └───────────────▶ Leaving ───────────────▶ Gone ──▶ forgotten
//	                              MarkUnreachable      Options.ForgetAfter
//
// MarkUnreachable moves a member from any state to Gone. A record of a higher incarnation moves a member from any state to the state of
// the record. A Gone member is retained as a tombstone for Options.ForgetAfter, so that an old record cannot add it again.
//
// # Claims and reachability
//
// Records alone do not change the group. A member counts as present only while this process's own source reaches it, so that a replayed
// or false record adds no member. If a member is claimed to be gone while it is reached, it stays present for Options.SuspicionTimeout. In
// that time it can refute the claim.
//
// # The group
//
// The group is the set of names that were present when the view last became stable. Other packages use the group instead of the present
// members. A view is stable again when it has not changed for Options.SettleAfter. A stable view is either Settled or Partitioned. See
// Confidence and Share.
//
//	      a name appears or disappears    no change for Options.SettleAfter
//	Settled ──────────────────────▶ Changing ──────────────────────────────▶ Settled      more than half of the reference group
//	Partitioned ──────────────────▶    │ ──────────────────────────────────▶ Partitioned  half of it or less
//
// A name that flaps, which means that it appears and disappears too often, is damped: it counts as gone until it has neither appeared nor
// disappeared for Options.DampingWindow.
//
// # What it does not do
//
// The package does not determine which members are reachable, exchanges no messages and writes nothing to disk. It is no consensus
// protocol: two views may differ for a moment. Only a Settled view may be used to decide whether to create or use something
// that may exist only once.
package peers
