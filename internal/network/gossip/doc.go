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
// All that members send one another is an envelope (see wire.go): in a node's metadata its own record, in broadcasts single
// records, in a full exchange all of them. The answer to each probe carries the digest of the sender's view; after a difference
// all is exchanged with that member.
//
// # What is rejected
//
// Whoever is of another application, or speaks another format, is rejected and counted by reason; whoever has another key can't
// be decrypted. Members are bounded by peers_most, connections from others by maxInboundStreams.
//
// # Goroutines
//
// Each Group has a loop that ticks and answers queries, which Close waits for, and one that announces new metadata. An attempt to
// join, an answer and the queries of Fleet have goroutines for themselves, because each may wait for a member that does not
// respond; they end within a few seconds of timeouts. Close does not wait for these: a sidecar that ends would be late.
//
// # What it does not do
//
// It decides nothing about what records mean: that is the view's. It keeps nothing on disk: OnSettled hands over what a later run
// should know.
package gossip
