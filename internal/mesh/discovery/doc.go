// Package discovery is the directory of endpoints: which there are, in what states, and who is to be notified of changes. Records of
// endpoints are soft state under leases, and nobody votes on them.
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
// The Publisher announces the record of the endpoint beside a sidecar to the registry owners of its service, a few processes that
// rendezvous hashing selects (see membership.View.RegistryOwners). The owners keep it in a Registry under its lease, and the
// publisher renews it. A caller's Subscription polls the owners of the services that it wants for what changed since a version of their
// registries. Each request renews its lease among the Subscribers, whom the owner notifies of changes in between.
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
// It is taken for crashed when its sidecar saw it crash, when its lease runs out, and when it isn't renewed while another endpoint at
// its address is. It is deregistered when it said so, and when a later endpoint beside the same sidecar superseded it.
//
// An endpoint ID stands for one run of an endpoint. Draining is never left for Serving: a record that says so is outdated, whatever the
// order in which records arrive. Endpoints that ended are remembered as tombstones, so that outdated records don't bring them back.
//
// # Order of records
//
// Of two records of an endpoint the one with the higher call sequence is newer, then the one with the higher revision, then the one
// in the worse state. Registries that took the same records, in any order and any number of times, agree on all but leases.
//
// # Units and limits
//
// The package does no I/O, starts no goroutine and reads no clock. Time is an argument, on a steady clock with any start. What is sent
// between processes is time left, not points in time. Its types aren't safe for concurrent use.
//
// It doesn't choose registry owners, send anything, or decide which endpoint gets a request.
package discovery
