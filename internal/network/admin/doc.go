// Package admin shows operators the state of a running standalone sidecar: a read-only listener on loopback or on a Unix socket, off
// by default, and the client that quincegapctl uses.
//
//	GET /members      Members as JSON; 503 if the sidecar does not answer
//	GET /peers        peers.FleetReport as JSON, of this sidecar alone; 404 if it looks for no peers
//	GET /peers?all=1  likewise, with the peers' reports
//
// A Unix socket is open to the process's user and group only; on loopback everybody on the machine can read the pages. The pages
// change nothing.
package admin
