// Package balancer makes the decisions of a client-side load balancer: which endpoint gets a request, when an attempt is retried,
// when a request waits, is rejected or fails, and which of the listed endpoints an instance calls.
//
// Like the raft package of etcd it does no input or output, reads no clock and starts no goroutine. The program that embeds it
// hands over each event with its time, counted from an arbitrary start that never goes back, and carries out the actions that the
// Balancer asks for through its Host, in that order. The same seed and the same events give the same actions.
//
// # The way of a request
//
//	HandleRequest ── quota.go ── shutdown.go ──┬─► Host.Reject, Host.Fail
//	      │                                    │
//	      ▼                                    │
//	 pending requests ── pending.go ───────────┤ too late, too many
//	      │                                    │
//	   dispatch ── concurrency.go, pressure.go │ limits on what is in flight
//	      │                                    │
//	     pick ── picking.go                    │
//	      │                                    │
//	  Host.Send                                │
//	      │                                    │
//	 HandleOutcome ── outlier.go ── retry.go ──┘ or pending once more
//
// # The states of an endpoint
//
//	  listed as ready                slow start over
//	───────────────────► warmingUp ──────────────────► available ◄─── listed as ready, started long ago
//	  with a recent start    ▲                            │
//	                         │ a trial request is served  │ errors, broken connections, no response
//	                         │                            ▼
//	                         └───────────────────────  ejected
//
//	any of them ── listed as draining or removed ──► draining ── listed as ready again ──► as above
//
// # Units
//
// Durations are time.Duration; the package's own averages of latencies are float64 in seconds, rates are per second, and ratios
// and shares have no unit. "Mean latencies" as a unit are multiples of the mean latency of a request's class.
//
// # What it does not do
//
// A Balancer is not safe for concurrent use. It learns of other instances only what Settings and UpdateGroup say, and exchanges
// no messages with them: limits that all instances share are divided by their number. It sends no health checks of its own
// (outliers are found by the outcomes of requests) and no hedged requests; a program that sends these does so itself.
package balancer
