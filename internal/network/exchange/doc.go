// Package exchange is what callers' protocols, the loop and endpoints' protocols of the standalone sidecar hand one another:
// requests, answers, attempts and their outcomes.
//
//	caller ──▶ Front ──http.Request, Caller──▶ handler ──▶ loop ──Attempt──▶ Transport ──▶ endpoint
//	caller ◀── Front ◀──────── answer ──────── handler ◀── loop ◀──Result─── Transport ◀── endpoint
//
// A Front speaks a protocol with callers. It checks nothing of a request that the other fronts would have to check too; it hands
// an http.Request to the handler, with a Caller in its context that tells of the connection it came by. A Transport speaks a
// protocol with endpoints, and makes attempts. The loop between them knows neither protocol.
//
// Sizes are in bytes. A Budget counts what all bodies hold together; whoever takes an answer gives its bytes back.
package exchange
