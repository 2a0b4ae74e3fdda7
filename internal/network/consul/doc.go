// Package consul reads the endpoints of a service from Consul's health API and catalogue over HTTP, by blocking queries through the
// official client. internal/modules/endpointsource decides which of the changes it applies.
//
//	Watcher ── /v1/health/service/X ──▶ answer ── diff to the previous ────▶ OnAnswer, or OnUnchanged
//	   │                                   │
//	   │                                   └─ lacks more than is accepted unconfirmed
//	   ▼                                                  ▼
//	next agent after a failure;        confirmation ── /v1/catalog/service/X, consistent ──▶ OnAnswer with ConfirmedMissing
//	back to the first a minute later
//
// OnAnswer receives the changes since the previous answer; the first time these are all instances. An answer is marked as untrusted if its
// server knows no leader, or has not heard from it for longer than longest_stale; in the latter case the next query goes to the leader.
//
// Find queries the addresses of a service's instances once.
//
// # Bounds
//
// An answer may have at most maxBodyBytes and maxInstances. Instances are decoded one by one, and other goroutines run in between: on one
// core, requests would otherwise wait while a large answer is decoded. After each answer the watcher pauses for restPerDecodeTime times
// as long as decoding took, and at least for the setting pace.
//
// # What it does not do
//
// It does not decide whether changes are applied: how many endpoints may disappear at once, and for how long changes in an untrusted answer
// are held back, is decided by endpointsource. It registers nothing in Consul.
package consul
