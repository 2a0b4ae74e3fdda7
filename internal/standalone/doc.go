// Package standalone runs the load balancer (package balancer) on real sockets, as the sidecar of one application without a control
// plane. Callers connect over HTTP/1.1 or HTTP/3, attempts are sent to endpoints, and discovery or Consul lists the endpoints. The
// Balancer makes all decisions: which endpoint gets a request, whether it is retried, and when it is rejected.
//
// # Goroutines and who owns what
//
// One goroutine, the loop, owns the Balancer and all state that goes with it: the requests in flight, the table of endpoints, the
// transports, the watch on discovery, and the memory on the disk. All others post events to it and never access that state:
//
//	caller ──▶ front ──▶ server.ServeHTTP ──post──▶ loop ──▶ Balancer
//	                         ▲                       │  ▲        │
//	                         └────── answer ─────────┘  │        ▼ Host (host.go)
//	                                                    │     dispatch ──▶ Transport.Run ──▶ endpoint
//	discovery, Consul ──▶ watcher, Follower ──post──────┤                      │
//	                                                    └──────── post ────────┘
//
// A handler waits for its answer; the loop never blocks. The goroutine of an attempt ends with the attempt, that of the watcher when
// it is stopped or replaced. The loop itself ends with the process: Run returns when all fronts have stopped.
//
// # The states of a request
//
//	arrived ─┬─▶ rejected (id taken, too many, route full, disk failing)
//	         └─▶ with the Balancer ──▶ attempt in flight ─┬─▶ answered ──▶ forgotten, its id kept for recentIDRetention
//	                   ▲                                  │
//	                   └────────── retry ─────────────────┘
//
// A hedged request (hedging.go) is two requests to the Balancer, which are tied together here: the caller gets the first answer.
//
// # Units
//
// Times for the Balancer and its modules are on the event clock: durations since 24 hours before the start of the process
// (clockStart). Sizes are in bytes, limits.memory_mb in MiB.
//
// # What it does not do
//
// It makes no decisions, does not parse the product's file (package product does, by Product) and does not communicate with other
// sidecars itself (Peers does).
package standalone
