// Package rehearse plays a scenario on sockets: servers on the models of package emulator, callers, discovery, and real sidecars as
// processes of their own. All that crosses a socket is noted, and judged by package audit.
//
//	callers ─► sidecar (process) ─► server (emulator) ─► the sidecar beside it ─► the next tier
//	              ▲
//	          discovery of the platform, or a Consul agent
//
// Everything stays on loopback: a rehearsal takes one network 127.A.0.0/16 for itself, so that each server has an address of its own
// and two rehearsals on one machine do not meet. When Run returns, all processes that it has started have ended.
package rehearse
