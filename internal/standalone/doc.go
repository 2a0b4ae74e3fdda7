// Package standalone runs the load balancer (package balancer) on real sockets, as the sidecar of one application without a control
// plane. Callers connect over HTTP/1.1 or HTTP/3, attempts are sent to endpoints, and discovery or Consul lists the endpoints. The
// Balancer makes all decisions: which endpoint gets a request, whether it is retried, and when it is rejected.
//
// # Goroutines and ownership
//
// One goroutine, the loop, owns the Balancer and all state that goes with it: the requests in flight, the table of endpoints, the
// transports, the watch on discovery, and the records on disk (memory). All other goroutines post events to it and never access that
// state:
//
//	caller ──▶ front ──▶ server.ServeHTTP ──post──▶ loop ──▶ Balancer
//	                         ▲                       │  ▲        │
//	                         └────── answer ─────────┘  │        ▼ Host (host.go)
//	                                                    │     dispatch ──▶ Transport.Run ──▶ endpoint
//	discovery, Consul ──▶ watcher, Follower ──post──────┤                      │
//	                                                    └──────── post ────────┘
//
// A handler waits for its answer; the loop never blocks. The goroutine of an attempt ends with the attempt, and the goroutine of the
// watcher when the watcher is stopped or replaced. The loop runs until the process ends: Run returns when all fronts have stopped.
//
// # The states of a request
//
//	arrived ─┬─▶ rejected (id taken, too many, route full, disk failing)
//	         └─▶ with the Balancer ──▶ attempt in flight ─┬─▶ answered ──▶ deleted; its id is stored for recentIDRetention
//	                   ▲                                  │
//	                   └────────── retry ─────────────────┘
//
// The Balancer handles a hedged request (hedging.go) as two separate requests. This package links them: the caller gets the first
// answer.
//
// # Units
//
// Times for the Balancer and its modules are on the event clock: durations since 24 hours before the start of the process
// (clockStart). Sizes are in bytes, limits.memory_mb in MiB.
//
// # What it does not do
//
// The package makes no balancing decisions. It does not parse the product's file, which package product does through Product, and
// does not communicate with other sidecars, which the implementation of Peers does.
package standalone
