// Package exchange has the types that callers' protocols, the loop and endpoints' protocols of the standalone sidecar exchange:
// requests, answers, attempts and their outcomes.
//
//	caller ──▶ Front ──http.Request, Caller──▶ handler ──▶ loop ──Attempt──▶ Transport ──▶ endpoint
//	caller ◀── Front ◀──────── answer ──────── handler ◀── loop ◀──Result─── Transport ◀── endpoint
//
// A Front speaks a protocol with callers. It hands an http.Request to the handler, with a Caller in its context that represents the
// connection. Checks that all protocols have in common are the handler's. A Transport speaks a protocol with endpoints, and makes
// attempts. The loop between them knows neither protocol.
//
// Sizes are in bytes. A Budget counts the bytes of all bodies; the receiver of an answer releases the answer's.
package exchange
