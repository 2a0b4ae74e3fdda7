// Package inbound is the way to the endpoint beside a sidecar. Every request to the endpoint comes here: from the peer sidecars, by
// the call MethodForward, and from the clients of this machine, by Proxy.Forward. It waits until the admission controller admits it,
// and goes out as HTTP/1.1 on a connection that carries one request at a time.
//
//	Forward ---> queued ---> running ---> finished: done(ForwardResponse)
//	               |            |
//	               +- cancel ---+         not executed, or it may have been
//
// The package establishes which requests may have been executed and which were surely not. It accepts an answer only if it is
// complete, bears the request's attempt ID and, for a status of 2xx, the endpoint's seal: an endpoint may send answers twice, late
// and cut short, and they come in the place of the next one. What an endpoint rejects is taken for not executed only where the
// rejection can't belong to another attempt.
//
// Times are durations on the clock that New is given; those of messages are what is left of them.
//
// The package makes no retries and holds no queue of its own; the sidecar beside the client decides on retries, and package
// admission on the order. The goroutines of a request end by its deadline; Pending tells the process that shuts down how many
// requests are left.
package inbound
