// Package consul is a stand-in for a Consul agent, written from the public pages of Consul's HTTP API (Health, Catalog, Blocking
// Queries, Consistency Modes). It serves two reads over loopback and injects faults on demand. It is for tests and for people to
// try; no Consul is involved.
//
//	GET /v1/health/service/NAME    instances with their checks
//	GET /v1/catalog/service/NAME   instances alone
//
// Both block on index (or hash) and wait, as Consul does. It does not serve anything else, and does not check who asks beyond a
// token.
package consul
