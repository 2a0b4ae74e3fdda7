// Package http1 speaks HTTP/1.1 for the standalone sidecar: a Front takes callers' requests, a Transport makes attempts at endpoints.
//
// # Callers' connections
//
// Accepting never waits: a connection in the backlog may already hold a request. When all connections are in use, the new one takes
// the place of another that loses nothing by it:
//
//	         some bytes come            headers and body are read
//	New ───────────────────▶ Reading ────────────────────────▶ Serving
//	                            ▲                                 │ answered
//	                            └───────────── Idle ◀─────────────┘
//
// New connections that have sent nothing go first, then idle ones, whose clients may send what crosses that on another, then those
// whose request takes longer than slowRequestAfter. If there are none, the new one is kept in excess of the bound, and its request
// rejected.
//
// # Attempts
//
// An attempt is one write on one connection, and the answer to it. net/http's Transport would send a request again by itself, and
// does not say whether its last byte was written; it is not used. Nothing in HTTP/1.1 ties an answer to its request, so a connection
// is used again only if its answer ended where it said, and nothing came after it within settleTime.
//
// A connection that breaks while an answer is awaited may be broken alone, or with its endpoint; checkEndpoint tells which.
//
// # What it does not do
//
// It chooses no endpoint, repeats no request, and checks nothing of a request that other protocols' fronts would have to check too.
package http1
