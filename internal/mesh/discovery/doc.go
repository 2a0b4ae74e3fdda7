// Package discovery maintains the directory of endpoints: which endpoints exist, what states they are in, and which processes to notify of
// changes. Records of endpoints are soft state under leases; there is no consensus on them.
//
// # Parts
//
//	sidecar beside an endpoint          registry owners of its service         sidecar of a caller
//	┌───────────┐  announcements        ┌──────────┐  changes, notifications   ┌──────────┐
//	│ Publisher │ ────────────────────▶ │ Registry │ ────────────────────────▶ │ Registry │
//	└───────────┘ ◀──────────────────── └──────────┘                           └──────────┘
//	                 acknowledgements  ┌─────────────┐    subscribe requests  ┌──────────────┐
//	                                   │ Subscribers │ ◀───────────────────── │ Subscription │
//	                                   └─────────────┘                        └──────────────┘
//
// The Publisher announces the record of the endpoint beside a sidecar to the registry owners of its service, a few processes that are
// selected by rendezvous hashing (see membership.View.RegistryOwners). The owners store the record in a Registry under its lease, and the
// publisher renews the lease. A caller's Subscription polls the owners of the services that the caller uses. Each poll asks for the records
// that have changed since a version of the owner's registry. It also renews the caller's lease in the owner's Subscribers, whom the owner
// notifies of changes between polls.
//
// # States of an endpoint
//
//	          it is announced as draining
//	Serving ─────────────────────────────▶ Draining
//	 │   ▲                                  │   ▲
//	 │   │ it is renewed                    │   │ it is renewed
//	 ▼   │                                  ▼   │
//	Crashed                                Crashed
//
//	any state ──▶ Deregistered, permanently
//
// An endpoint is presumed crashed if its sidecar reports that, if its lease expires, or if it isn't renewed while another endpoint at its
// address is. It is deregistered if it reports its end itself, or if a later endpoint beside the same sidecar supersedes it.
//
// An endpoint ID identifies one run of an endpoint. A draining endpoint never returns to Serving: a record with that state is outdated, in
// whatever order the records arrive. Endpoints that ended are retained as tombstones, so that outdated records don't restore them.
//
// # Order of records
//
// Of two records of an endpoint, the one with the higher call sequence is newer. If the sequences are equal, the higher revision decides,
// and then the worse state. Registries to which the same records were applied, in any order and any number of times, have the same records
// apart from the leases.
//
// # Units and limits
//
// The package does no I/O, starts no goroutine and reads no clock. Time is an argument: a duration on a monotonic clock with an arbitrary
// start. Records carry the remaining time (of a lease, of a slow start) instead of points in time, because the clocks of processes differ.
// The types aren't safe for concurrent use.
//
// The package doesn't choose registry owners, doesn't send anything, and doesn't decide which endpoint gets a request.
package discovery
