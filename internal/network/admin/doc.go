// Package admin lets people look into a running standalone sidecar: a read-only listener on loopback or on a Unix socket, off by
// default, and the client that quincegapctl uses.
//
//	GET /members      Members as JSON; 503 if the sidecar does not answer
//	GET /peers        peers.FleetReport as JSON, of this sidecar alone; 404 if it looks for no others
//	GET /peers?all=1  likewise, with the others' reports
//
// A Unix socket is open to the process's user and group only; on loopback everybody on the machine can read the pages. Nothing can
// be changed by them.
package admin
