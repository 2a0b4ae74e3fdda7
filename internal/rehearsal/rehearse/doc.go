// Package rehearse plays a scenario on sockets: servers on the models of package emulator, callers, discovery, and real sidecars as
// processes of their own. What crosses a socket is recorded as events, which package audit judges.
//
//	callers ─► sidecar (process) ─► server (emulator) ─► the sidecar beside it ─► the next tier
//	              ▲
//	          discovery of the platform, or a Consul agent
//
// Everything stays on loopback: a rehearsal takes one network 127.A.0.0/16 for itself, so that each server has an address of its own
// and two rehearsals on one machine do not meet. When Run returns, all processes that it has started have ended.
//
// A server is down, up or silent. Each start and each stop is a new incarnation; connections, timers and attempts of an earlier one are
// void.
//
//	down ─ start ─► up ─ silence ─► silent
//	 ▲               │                 │
//	 └───── stop ────┴────── stop ─────┘
//
// The package does not judge (package audit does), does not decide what happens when (the scenario's plan does), and does not drop single
// packets except between sidecars.
package rehearse
