// Package consul simulates a Consul agent, following the public documentation of Consul's HTTP API (Health, Catalog, Blocking
// Queries, Consistency Modes). It serves two read endpoints over loopback and injects faults on demand. It is for tests and for
// manual experiments; it does not use Consul itself.
//
//	GET /v1/health/service/NAME    instances with their checks
//	GET /v1/catalog/service/NAME   instances without their checks
//
// Both support blocking queries with the parameters index (or hash) and wait, as Consul does. Other paths return 404. The only
// access control is a single token.
package consul
