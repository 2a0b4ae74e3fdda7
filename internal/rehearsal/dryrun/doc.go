// Package dryrun plays a scenario in virtual time: callers, servers on the models of package emulator, discovery, and instances of
// the decision module, with no socket between them. It does no I/O; the same plan gives the same events, byte for byte, on any
// machine. It is judged by the same auditor as a rehearsal on sockets.
//
//	callers ─► instance (decision module) ─► server (emulator) ─► the instance beside it ─► the next tier
//	                 ▲
//	             discovery
//
// Events are functions in a queue by time, which run one after another. A run leaves out the cost of connections (a server that is up
// accepts any call), the sidecar's own time, faulty callers, and SIGHUP.
package dryrun
