// Package http1 implements HTTP/1.1 for the standalone sidecar: a Front serves callers, a Transport makes attempts at endpoints.
//
// # Callers' connections
//
// Accepting never waits, because a connection in the backlog may already have sent a request. When all connections are in use, a new one
// replaces one whose caller loses nothing:
//
//	       bytes are received           headers and body are read
//	New ───────────────────▶ Reading ────────────────────────▶ Serving
//	                            ▲                                 │ answered
//	                            └───────────── Idle ◀─────────────┘
//
// New connections that have sent nothing are closed first, then idle ones, whose clients repeat on another connection a request that
// crosses the close, then those whose request has taken longer than slowRequestAfter. If there are none, the new connection is accepted
// in excess of the bound, and its request is rejected.
//
// # Attempts
//
// An attempt is one write on one connection, and the answer to it. net/http's Transport is not used: it may send a request again by
// itself, and does not report whether the last byte was written. Nothing in HTTP/1.1 ties an answer to its request, so a connection
// is used again only if its answer ended at its declared length, and nothing came after it within settleTime.
//
// A connection that breaks while an answer is awaited may have broken alone or with its endpoint; checkEndpoint finds out.
//
// # What it does not do
//
// It chooses no endpoint, retries no request, and leaves the checks that all protocols' fronts have in common to the handler.
package http1
