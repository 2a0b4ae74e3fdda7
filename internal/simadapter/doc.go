// Package simadapter connects the load balancer to the simulator's text protocol. It reads batches of events, delivers each event
// to the Balancer of its instance, and writes the actions of the Balancers. It makes no decisions and reads no clock.
//
// A batch begins with begin_batch, which sets the time, and ends with over_to_you. The reply has one line for each action, and
// ends with the line eor:
//
//	begin_batch TS            ──▶ sets the time, in microseconds
//	new_instance N SEED JSON  ──▶ creates instance N: a Balancer with these settings
//	ledger B ROWS, item ...   ──▶ defines endpoint list B, to which later targets events refer
//	targets, knock, ...       ──▶ events of instance N
//	halt N                    ──▶ removes instance N
//	over_to_you               ──▶ requests the reply: actions, eor
//
// All times are in microseconds. A dash stands for an absent value. An unknown event or settings key is reported once in a
// diagnostic message, and ignored. A malformed line ends the run with an error that names the line and the field. If a Balancer
// panics, the reply has a crash line, and the instance gets no further events.
package simadapter
