// Package http3 implements HTTP/3 (RFC 9114) over QUIC (RFC 9000) for the standalone sidecar, with quic-go: a Front serves callers, a
// Transport makes attempts at endpoints.
//
// # Callers' connections
//
//	Initial ── handshake, at most MaxHandshakes ──▶ fresh ── first request ──▶ active ◀── request ── idle
//	                                                  │                        └─ last request ends ─▶ │
//	                                                  └── RequestTimeout ──▶ closed ◀── IdleTimeout ────┘
//
// A fresh connection has had no request yet. While at least half of MaxHandshakes are in progress, a caller's address must be validated by
// a Retry. When the limit on connections is reached, a new connection replaces the one that has been fresh the longest or, if none is
// fresh, the one that has been idle the longest. If all are active, the new connection is closed with H3_EXCESSIVE_LOAD.
//
// # Early data
//
// Requests may arrive before the handshake is complete (RFC 8470). Until then they may be a replay of another connection's early data;
// requestStream.Confirm waits until the handshake is complete.
//
// # Attempts
//
// Several attempts share a connection, each on a separate stream. A request is written once: an attempt uses a second connection only if
// nothing was sent on the first. isNeverSent reports that the request was not sent, and isRejected that the endpoint did not process it;
// after any other error the request may have been executed.
//
// # What it does not do
//
// The package does not decide which endpoints are used over HTTP/3, nor how long HTTP/3 is paused after a failure. These decisions are in
// internal/modules/protocolfallback.
package http3
