// Package balancer makes the decisions of a client-side load balancer: which endpoint gets a request, when an attempt is retried,
// when a request waits, is rejected or fails, and which of the listed endpoints an instance calls.
//
// Like the raft package of etcd, it does no input or output, reads no clock and starts no goroutine. The program that embeds it
// passes each event with its time, which is measured from an arbitrary start and never decreases, and carries out the actions that
// the Balancer requests through its Host, in the order of the requests. The same seed and the same events give the same actions.
//
// # The path of a request
//
//	HandleRequest ── quota.go ── shutdown.go ──┬─► Host.Reject, Host.Fail
//	      │                                    │
//	      ▼                                    │
//	 pending requests ── pending.go ───────────┤ too late, or too many pending
//	      │                                    │
//	   dispatch ── concurrency.go, pressure.go │ limits on attempts in flight and on the send rate
//	      │                                    │
//	     pick ── picking.go                    │
//	      │                                    │
//	  Host.Send                                │
//	      │                                    │
//	 HandleOutcome ── outlier.go ── retry.go ──┘ final answer, or pending again for a retry
//
// # The states of an endpoint
//
//	  listed as ready                slow start over
//	───────────────────► warmingUp ──────────────────► available ◄─── listed as ready, started long ago
//	  with a recent start    ▲                            │
//	                         │ a trial request succeeds   │ errors, broken connections, no response
//	                         │                            ▼
//	                         └───────────────────────  ejected
//
//	any state ── listed as draining or removed ──► draining ── listed as ready again ──► warmingUp or available, as above
//
// # Units
//
// Durations are time.Duration. The package's own averages of latencies are float64 in seconds, rates are per second, and ratios
// and shares have no unit. A time "in mean latencies" is a multiple of the mean latency of a request's class. Times in base or tail
// latencies are defined in the same way.
//
// # What it does not do
//
// A Balancer is not safe for concurrent use. It knows of other instances only what Settings and UpdateGroup state, and exchanges
// no messages with them: a limit that all instances share is divided by their number. It sends no health checks (outliers are
// detected by the outcomes of requests) and no hedged requests; a program that needs these sends them itself.
package balancer
