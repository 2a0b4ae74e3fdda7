// Package gossip spreads a standalone sidecar's view of its peers (internal/modules/peers) over memberlist. memberlist detects which
// members are reachable (SWIM with Lifeguard); its broadcasts and full exchanges (push/pull) carry the records of the view.
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
// Members send one another envelopes (see wire.go). A node's metadata contains its own record, a broadcast contains one record, and
// a full exchange contains all records. The answer to a probe carries the digest of the sender's view; if it differs from the digest
// of the prober's view, the two members run a full exchange.
//
// # What is rejected
//
// Messages of another application or in another format are rejected and counted by reason; messages that are encrypted with an unknown
// key can't be decrypted. peers_most bounds the number of members, maxInboundStreams the number of inbound connections.
//
// # Goroutines
//
// Each Group has two long-running goroutines: one ticks and answers queries, and Close waits for it; the other announces new metadata.
// Attempts to join, answers and the queries of Fleet run in separate goroutines, because each may wait for a member that does not
// respond. They end when their timeouts expire, within a few seconds. Close does not wait for them, since that would delay the
// sidecar's shutdown.
//
// # What it does not do
//
// It does not interpret records; the view does. It writes nothing to disk; OnSettled passes the caller the names and addresses that a
// later run starts with.
package gossip
