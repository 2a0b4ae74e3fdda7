// Package http3 implements HTTP/3 (RFC 9114) over QUIC (RFC 9000) for the standalone sidecar, with quic-go: a Front serves callers, a
// Transport makes attempts at endpoints.
//
// # Callers' connections
//
//	Initial ── handshake, at most MaxHandshakes ──▶ fresh ── first request ──▶ active ◀── request ── idle
//	                                                  │                          └── last one ends ──▶ │
//	                                                  └── RequestTimeout ──▶ closed ◀── IdleTimeout ────┘
//
// From half of MaxHandshakes on, an address has to be validated by a Retry. When all connections are in use, a new one replaces the one
// that has been fresh for the longest, else the one that has been idle for the longest; if there is none, the new one is closed with
// H3_EXCESSIVE_LOAD.
//
// # Early data
//
// Requests may come before the handshake is complete (RFC 8470). Until then they may be a replay of another caller's;
// requestStream.Confirm waits for the end of the handshake.
//
// # Attempts
//
// Several attempts share a connection, each on a stream of its own. A request is written once: an attempt goes to a second
// connection only if nothing was sent on the first. isNeverSent and isRejected report when that is certain; after any other error the
// request may have run.
//
// # What it does not do
//
// It decides neither which endpoints are used over HTTP/3 nor how long HTTP/3 pauses after a failure: internal/modules/protocolfallback
// does.
package http3
