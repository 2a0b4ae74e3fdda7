// Package http3 speaks HTTP/3 (RFC 9114) over QUIC (RFC 9000) for the standalone sidecar, on quic-go: a Front takes callers'
// requests, a Transport makes attempts at endpoints.
//
// # Callers' connections
//
//	Initial ── handshake, at most MaxHandshakes ──▶ fresh ── first request ──▶ active ◀── request ── idle
//	                                                  │                          └── last one ends ──▶ │
//	                                                  └── RequestTimeout ──▶ closed ◀── IdleTimeout ────┘
//
// From half of MaxHandshakes on an address has to prove itself by a Retry. When all connections are in use, a new one takes the
// place of the one that has been fresh for the longest, else of the one that has been idle for the longest; if there is none, it is
// closed with H3_EXCESSIVE_LOAD.
//
// # Early data
//
// Requests may come before the handshake is complete (RFC 8470). Whoever sends them may be replaying what another has sent, until
// the handshake ends; requestStream.Confirm waits for that.
//
// # Attempts
//
// Several attempts share a connection, each on a stream of its own. A request is written once: an attempt goes to a second
// connection only if nothing was sent on the first. isNeverSent and isRejected say when that is certain; all else may have run.
//
// # What it does not do
//
// It decides neither which endpoints are spoken to over HTTP/3 nor how long one is left alone after a failure: that is
// internal/modules/protocolfallback's.
package http3
