// Package rehearse plays a scenario on sockets: servers that run the models of package emulator, callers, discovery, and real
// sidecars in separate processes. Traffic on the sockets is recorded as events, which package audit checks.
//
//	callers ─► sidecar (process) ─► server (emulator) ─► the server's sidecar ─► the next tier
//	              ▲
//	          the platform's discovery, or a Consul agent
//
// All traffic stays on loopback. Each rehearsal claims one network 127.A.0.0/16 exclusively, so that every server has a separate address
// and rehearsals on one machine do not interfere. When Run returns, all processes that it started have ended.
//
// A server is down, up or silent. Each start and each stop begins a new incarnation, and invalidates the connections, timers and attempts
// of the previous one.
//
//	down ─ start ─► up ─ silence ─► silent
//	 ▲               │                 │
//	 └───── stop ────┴────── stop ─────┘
//
// The package does not evaluate the results (package audit does) or schedule the events (the scenario's plan does). It drops single
// packets only between sidecars.
package rehearse
