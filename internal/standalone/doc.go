// Package standalone runs the load balancer (package balancer) on real sockets, as the sidecar of one application that needs no
// control plane: callers come in over HTTP/1.1 or HTTP/3, attempts go out to endpoints, and discovery or Consul says which those
// are. It makes no decisions of its own: which endpoint gets a request, whether it is sent again and when it is rejected is the
// Balancer's to say.
//
// # Goroutines and who owns what
//
// One goroutine, the loop, owns the Balancer and everything that goes with it: requests in flight, the table of endpoints, the
// transports, the watch on discovery, what is remembered on the disk. All others post events to it and never touch that state:
//
//	caller ──▶ front ──▶ server.ServeHTTP ──post──▶ loop ──▶ Balancer
//	                         ▲                       │  ▲        │
//	                         └────── answer ─────────┘  │        ▼ Host (host.go)
//	                                                    │     dispatch ──▶ Transport.Run ──▶ endpoint
//	discovery, Consul ──▶ watcher, Follower ──post──────┤                      │
//	                                                    └──────── post ────────┘
//
// A handler waits for its answer; the loop waits for nothing. An attempt's goroutine ends with the attempt, the watcher's when it
// is stopped or replaced. The loop itself ends with the process: Run returns when all fronts have stopped.
//
// # The states of a request
//
//	arrived ─┬─▶ rejected (id taken, too many, route full, disk failing)
//	         └─▶ with the Balancer ──▶ attempt in flight ─┬─▶ answered ──▶ forgotten, its id kept for recentIDRetention
//	                   ▲                                  │
//	                   └────────── retry ─────────────────┘
//
// A hedged request (hedging.go) is two requests to the Balancer, tied together here: the first answer of either is the caller's.
//
// # Units
//
// Times that the Balancer and its modules take are on the event clock: durations since 24 hours before the start of the process
// (clockStart). Sizes are in bytes, limits.memory_mb in MiB.
//
// # What it does not do
//
// It does not decide, does not parse the product's file (package product wires that in by Product) and does not speak with other
// sidecars itself (Peers does).
package standalone
