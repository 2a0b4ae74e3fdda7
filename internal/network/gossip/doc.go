// Package gossip spreads a standalone sidecar's view of the others (internal/modules/peers) over memberlist: SWIM with Lifeguard
// finds out who is reachable, and its broadcasts and full exchanges carry the view's records.
//
//	            ┌──────────────────────── Group ───────────────────────┐
//	settings ──▶│ loop ── tick ──▶ peers.View ──▶ Share ──▶ OnShare     │
//	            │                    ▲     │                           │
//	            │          Merge     │     │ records                   │
//	            │               delegate   ▼                           │
//	            │                    ▲   queue                         │
//	            └────────────────────│─────│───────────────────────────┘
//	                             memberlist  ⇄  UDP and TCP, peers_listen
//
// # Messages
//
// Members send one another envelopes (see wire.go). A node's metadata holds its own record, a broadcast one record, a full exchange
// all records. The answer to a probe carries the digest of the sender's view; if the digests differ, the two members make a full
// exchange.
//
// # What is rejected
//
// Messages of another application or in another format are rejected and counted by reason; messages under another key can't be
// decrypted. peers_most bounds the members, maxInboundStreams the connections from others.
//
// # Goroutines
//
// Each Group has a loop that ticks and answers queries, which Close waits for, and one that announces new metadata. An attempt to
// join, an answer and the queries of Fleet have goroutines of their own, because each may wait for a member that does not
// respond. They end with their timeouts, within a few seconds. Close does not wait for them: the sidecar's shutdown would be late.
//
// # What it does not do
//
// It does not interpret records: the view does. It keeps nothing on disk: OnSettled passes on what a later run starts with.
package gossip
