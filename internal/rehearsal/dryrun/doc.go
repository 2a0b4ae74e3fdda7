// Package dryrun simulates a scenario in virtual time: callers, servers on the models of package emulator, discovery, and instances of
// the decision module, without sockets. It does no I/O. The same plan gives exactly the same events on any machine. The auditor that
// judges rehearsals on sockets also judges these runs.
//
//	callers ─► instance (decision module) ─► server (emulator) ─► the instance beside it ─► the next tier
//	                 ▲
//	             discovery
//
// Events are functions in a queue ordered by time, which run one after another. A run doesn't model the cost of connections (a server
// that is up accepts any call), the processing time of the sidecar, faulty callers and SIGHUP.
package dryrun
