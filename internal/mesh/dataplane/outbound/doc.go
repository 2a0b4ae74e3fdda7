// Package outbound is where clients come in: it takes their HTTP requests, finds the route, the tenant and the service by the
// configuration in force, and has the balancer of the service pick an endpoint for each attempt.
//
//	client --HTTP--> Proxy.serve: admit, read the body
//	                     |
//	                 dispatcher.submit ----> serviceBalancer ----> balancer.Balancer: which endpoint, when to retry
//	                     |                        |
//	                     |                    attempt: through inbound.Proxy, if the endpoint is beside this sidecar,
//	                     |                             or through transport.Hub to the endpoint's own sidecar
//	                     |                        |
//	                 await <---- result ------ attemptEnded: outcome.Kind.Next says what may follow
//	                     |
//	client <--HTTP-- writeAnswer, by the table of package outcome alone
//
// The states of a request, and what its client is answered:
//
//	under way --> answered    an attempt was served, or the endpoint's own failure is final
//	under way --> concluded   the balancer gives up; answered once no superseded attempt is left
//	under way --> expired     its deadline is near, its client has gone or the process ends: attempts are cancelled, and how far
//	                          they had come decides on the answer
//
// A request may have several attempts under way: when the balancer sends a hedged one, the attempt before is superseded but goes on,
// since its endpoint may be executing it; whichever is served first is the answer, and the others are cancelled then.
//
// A request that is not idempotent is never retried once an attempt may have been executed, and no answer promises that a request was
// not executed unless that is certain.
//
// One lock, the dispatcher's, guards all of a sidecar's choices; nothing that blocks is done under it. Times are durations on the
// hub's steady clock.
package outbound
