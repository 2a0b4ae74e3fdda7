// Package consul reads the endpoints of a service from Consul's health and catalogue over its HTTP API, by blocking queries through
// the official client. What it reads is judged elsewhere, in internal/modules/endpointsource.
//
//	Watcher ── /v1/health/service/X ──▶ answer ── diff to the one before ──▶ OnAnswer, or OnUnchanged
//	   │                                   │
//	   │                                   └─ lacks more than is believed at once
//	   ▼                                                  ▼
//	next agent after a failure;        confirmation ── /v1/catalog/service/X, consistent ──▶ OnAnswer with ConfirmedMissing
//	back to the first a minute later
//
// An answer is what changed since the one before, so the first one has all instances. Answers of a server without a leader, or that
// has not heard of it for longer than longest_stale, are marked as untrusted, and the next query goes to the leader.
//
// Find asks once, for the addresses of another service.
//
// # Bounds
//
// An answer may have maxBodyBytes and maxInstances. It is decoded one instance after another, and others run in between: on one
// core, requests would wait for as long as a large answer takes. After each answer the watcher rests for restPerWork times as long as
// it took to read, and at least for the setting pace.
//
// # What it does not do
//
// It believes nothing and forgets nothing by itself: how many endpoints may disappear at once, and for how long an untrusted answer
// is doubted, is endpointsource's to decide. It registers nothing.
package consul
