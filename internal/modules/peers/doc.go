// Package peers keeps a standalone sidecar's view of the other sidecars of its application: who is there, in which state, and how
// far that view can be relied on.
//
// It does no I/O and reads no clock. A source of records (internal/network/gossip) hands them over with the time, which is counted
// from an arbitrary start that is the same for all calls of one View. None of its types is safe for concurrent use.
//
// # Records
//
// A Record is what one member says of another, or of itself: the process, its incarnation and its state. Two records of one
// process are merged by the higher incarnation, then by the later state. So the order in which records arrive, and how often, does
// not matter, and an old record changes nothing. A process alone raises its own incarnation, to refute that it is suspected or
// gone. A process that is restarted is another process under the same name.
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
// MarkUnreachable takes a member from any state to Gone. A record of a higher incarnation takes it from any state to the one that
// the record has. Gone is remembered as a tombstone for Options.ForgetAfter, so that no old record brings the member back.
//
// # Claims and reachability
//
// Records alone change no group. A member counts as present only while this process's own source reaches it: a replayed record,
// or a false one, makes no member. One that is said to be gone while it is reached stays present for Options.SuspicionTimeout, in
// which it learns of that and refutes it.
//
// # The group
//
// Others build on the group: the names that were present when the view last became stable. See Confidence and Share.
//
//	           a name appears or goes          quiet for Options.SettleAfter
//	Settled ──────────────────────▶ Changing ──────────────────────────────▶ Settled      more than half of the reference group
//	Partitioned ──────────────────▶    │ ──────────────────────────────────▶ Partitioned  half of it or less
//
// A name that appears and goes too often is damped: it counts as gone until it has been steady for Options.DampingWindow.
//
// # What it does not do
//
// It finds out by itself neither who is reachable nor what others know, keeps nothing on disk, and agrees on nothing: two views
// may differ for a moment. What may exist only once must not be decided on a view that is not Settled.
package peers
