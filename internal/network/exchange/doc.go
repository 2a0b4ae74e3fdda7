// Package exchange defines the types that the caller protocols, the event loop and the endpoint protocols of the standalone sidecar pass
// to each other: requests, responses, attempts and their results.
//
//	caller ──▶ Front ──http.Request, Caller──▶ handler ──▶ loop ──Attempt──▶ Transport ──▶ endpoint
//	caller ◀── Front ◀─────── response ─────── handler ◀── loop ◀──Result─── Transport ◀── endpoint
//
// A Front serves callers over one protocol. It passes each http.Request to the handler, with a Caller in the request's context that
// represents the connection. The handler makes the checks that all protocols have in common. A Transport makes attempts at endpoints over
// one protocol. The loop between them is independent of both protocols.
//
// Sizes are in bytes. A Budget limits the memory of all bodies together; the receiver of a response releases the bytes of its body.
package exchange
