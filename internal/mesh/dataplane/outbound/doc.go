// Package outbound serves the HTTP requests of clients. It finds each request's route, tenant and service in the active configuration, and
// lets the balancer of that service pick an endpoint for each attempt.
//
//	client --HTTP--> Proxy.serve: accept, read the body
//	                     |
//	                 dispatcher.submit ----> serviceBalancer ----> balancer.Balancer: which endpoint, when to retry
//	                     |                        |
//	                     |                    attempt: through inbound.Proxy, if the endpoint is beside this sidecar,
//	                     |                             or through transport.Hub to the endpoint's own sidecar
//	                     |                        |
//	                 await <---- result ------ attemptEnded: outcome.Kind.Next decides what may follow
//	                     |
//	client <--HTTP-- writeAnswer, by the table of package outcome alone
//
// The states of a request:
//
//	in flight --> answered    an attempt was served, or the endpoint's own failure is final
//	in flight --> concluded   the balancer has given up; the request is answered once no superseded attempt is outstanding
//	in flight --> expired     the deadline is near, the client has disconnected or the process shuts down: the attempts are cancelled,
//	                          and the answer depends on whether any of them may have been executed
//
// A request may have several attempts in flight. When the balancer cancels an attempt in order to retry, the attempt is superseded but not
// cancelled, since its endpoint may be executing it. The client gets the answer of the first attempt to be served, and the other attempts
// are then cancelled.
//
// A request that is not idempotent is never retried once an attempt may have been executed. An answer states that a request was not
// executed only if that is certain.
//
// One lock, the dispatcher's, guards the state of all requests, attempts and balancers; nothing blocks while it is held. Times are
// durations on the hub's monotonic clock.
//
// The package does not choose endpoints (package balancer does), does not queue requests for an endpoint's slots (package admission does,
// at the endpoint's sidecar), and does not communicate with endpoints (package inbound does).
package outbound
