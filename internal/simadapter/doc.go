// Package simadapter runs the load balancer on the simulator's text protocol: it reads batches of events, hands each to the
// Balancer of the instance that it concerns, and writes the actions that those take. It makes no decisions.
//
// A batch is lines of words between begin_batch, which sets the clock, and over_to_you; its reply is lines of actions that end
// with eor:
//
//	begin_batch TS            ──▶ clock, in microseconds
//	new_instance N SEED JSON  ──▶ a Balancer with those settings
//	ledger B ROWS, item ...   ──▶ list number B, for the targets that follow
//	targets, knock, ...       ──▶ events of instance N
//	halt N                    ──▶ instance N is gone
//	over_to_you               ──▶ reply: actions, eor
//
// Times are in microseconds, a value that is absent is a dash. What is not known is noted once and passed over; what is malformed
// ends the run with an error that names line and field. An instance whose Balancer panics is reported by a crash line and gets
// no further events.
package simadapter
