// Package http1 implements HTTP/1.1 for the standalone sidecar: a Front serves callers, a Transport makes attempts at endpoints.
//
// # Callers' connections
//
// Connections are accepted without delay, because a connection in the backlog may already have sent a request. When the limit on
// connections is reached, a new connection replaces one whose caller loses no response. Each connection is in one of four stages:
//
//	       bytes are received           headers and body are read
//	New ───────────────────▶ Reading ────────────────────────▶ Serving
//	                            ▲                                 │ answered
//	                            └───────────── Idle ◀─────────────┘
//
// New connections that have sent nothing are closed first. Idle ones follow: if the client sends a request while the connection is being
// closed, it repeats the request on another connection. The last are those that have been reading a request for longer than
// slowRequestAfter. If there are none of these, the new connection is accepted above the limit, and its request is rejected.
//
// # Attempts
//
// An attempt writes the request once on one connection and reads the response. net/http's Transport is not used: it may repeat a request
// on its own, and does not report whether the last byte was written. HTTP/1.1 has nothing that ties a response to its request, so a
// connection is reused only if the response ended at its declared length and no bytes followed it within reuseDelay.
//
// If a connection breaks while a response is awaited, checkEndpoint determines whether the endpoint failed too.
//
// # What it does not do
//
// The package does not choose endpoints or retry requests. The handler makes the checks that all protocols have in common.
package http1
