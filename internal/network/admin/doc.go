// Package admin shows operators the state of a running standalone sidecar. It has a read-only HTTP server on loopback or on a Unix socket,
// disabled by default, and the client that quincegapctl uses.
//
//	GET /members      Members as JSON; 503 if the sidecar does not answer
//	GET /peers        peers.FleetReport as JSON, of this sidecar alone; 404 if its view of peers is disabled
//	GET /peers?all=1  likewise, including the peers' reports
//
// A Unix socket can be used only by the process's user and group; on loopback all users of the machine can read the pages. No page
// changes the state of the sidecar.
package admin
