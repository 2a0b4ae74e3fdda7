// Package discovery is the directory of endpoints: which endpoints there are, in what states, and which processes are to be notified of
// changes. Records of endpoints are soft state under leases; they are not agreed on by consensus.
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
// selected by rendezvous hashing (see membership.View.RegistryOwners). The owners keep the record in a Registry under its lease, and the
// publisher renews the lease. A caller's Subscription polls the owners of the services that it wants for the records that have changed
// since a version of the owner's registry. Each poll renews the caller's lease among the owner's Subscribers, which the owner notifies
// of changes between the polls.
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
//	any state ──▶ Deregistered, for good
//
// An endpoint is taken for crashed when its sidecar reports that, when its lease expires, and when it isn't renewed while another endpoint
// at its address is. It is deregistered when it has reported that itself, and when a later endpoint beside the same sidecar has
// superseded it.
//
// An endpoint ID stands for one run of an endpoint. A draining endpoint never serves again: a record that has it serving is outdated,
// whatever the order in which the records arrive. Endpoints that ended are remembered as tombstones, so that outdated records don't
// bring them back.
//
// # Order of records
//
// Of two records of an endpoint the one with the higher call sequence is newer; if these are equal, the one with the higher revision,
// and then the one in the worse state. Registries to which the same records were applied, in any order and any number of times, agree
// on everything but the leases.
//
// # Units and limits
//
// The package does no I/O, starts no goroutine and reads no clock. Time is an argument: a duration on a monotonic clock with any start.
// Records carry the time that is left (of a lease, of a slow start) instead of points in time, since the clocks of processes differ. The
// types aren't safe for concurrent use.
//
// The package doesn't choose registry owners, doesn't send anything, and doesn't decide which endpoint gets a request.
package discovery
