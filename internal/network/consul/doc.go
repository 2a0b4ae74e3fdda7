// Package consul reads the endpoints of a service from Consul's health API and catalogue over HTTP, by blocking queries through the
// official client. internal/modules/endpointsource decides what to believe of it.
//
//	Watcher ── /v1/health/service/X ──▶ answer ── diff to the previous ────▶ OnAnswer, or OnUnchanged
//	   │                                   │
//	   │                                   └─ lacks more than is believed at once
//	   ▼                                                  ▼
//	next agent after a failure;        confirmation ── /v1/catalog/service/X, consistent ──▶ OnAnswer with ConfirmedMissing
//	back to the first a minute later
//
// OnAnswer gets the changes since the previous answer; the first time these are all instances. Answers of a server that has no leader, or
// has not heard of it for longer than longest_stale, are marked as untrusted, and the next query goes to the leader.
//
// Find queries the addresses of a service once.
//
// # Bounds
//
// An answer may have maxBodyBytes and maxInstances. Instances are decoded one after another, and other goroutines run in between: on one
// core, requests would otherwise wait while a large answer is decoded. After each answer the watcher rests for restPerWork times as long
// as decoding took, and at least for the setting pace.
//
// # What it does not do
//
// It does not decide what to believe: how many endpoints may disappear at once, and for how long an untrusted answer is doubted,
// is decided by endpointsource. It registers nothing.
package consul
