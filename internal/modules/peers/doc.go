// Package peers keeps a standalone sidecar's view of the other sidecars of its application: which there are, in which state, and how
// far that view can be relied on.
//
// It does no I/O and reads no clock. A source of records (internal/network/gossip) passes them with the time, which is counted from an
// arbitrary start that is the same for all calls of one View. None of its types is safe for concurrent use.
//
// # Records
//
// A Record is a claim of one member about another, or about itself: the process, its incarnation and its state. Of two records of one
// process the one with the higher incarnation wins, then the one with the later state. So the order in which records arrive, and how
// often, does not matter, and an old record changes nothing. Only a process itself raises its incarnation, to refute that it is
// suspected or gone. A sidecar that restarts is another process with the same name.
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
// MarkUnreachable moves a member from any state to Gone. A record of a higher incarnation moves it from any state to that of the
// record. A Gone member is kept as a tombstone for Options.ForgetAfter, so that no old record brings it back.
//
// # Claims and reachability
//
// Records alone change no group. A member counts as present only while this process's own source reaches it, so that a replayed or
// false record makes no member. A member that is claimed to be gone while it is reached stays present for Options.SuspicionTimeout,
// in which it can refute the claim.
//
// # The group
//
// The group is the names that were present when the view last became stable. Other packages use the group. See Confidence and Share.
//
//	           a name appears or goes          quiet for Options.SettleAfter
//	Settled ──────────────────────▶ Changing ──────────────────────────────▶ Settled      more than half of the reference group
//	Partitioned ──────────────────▶    │ ──────────────────────────────────▶ Partitioned  half of it or less
//
// A name that appears and goes too often is damped: it counts as gone until it has been steady for Options.DampingWindow.
//
// # What it does not do
//
// It does not determine which members are reachable, exchanges no messages, writes nothing to disk, and reaches no agreement: two
// views may differ for a moment. What may exist only once must not be decided on a view that is not Settled.
package peers
