// Package inbound forwards requests to the endpoint beside a sidecar. All requests to the endpoint pass through its Proxy: those of peer
// sidecars, by the method MethodForward, and those of clients on this machine, by Proxy.Forward. A request is queued until the admission
// controller admits it, and is then sent as HTTP/1.1 on a connection that carries one request at a time.
//
//	Forward ---> queued ---> running ---> finished: done(ForwardResponse)
//	               |            |
//	               +- cancel ---+         queued: not executed; running: it may have been
//
// The package determines which requests may have been executed and which were certainly not. It accepts an answer only if the answer is
// complete, has the request's attempt ID and, with a status of 2xx, the endpoint's seal: an endpoint may send answers twice, late or
// truncated, and these are then read in place of the next answer. A rejection by the endpoint counts as not executed only if it can't
// belong to another attempt.
//
// Times are durations on the clock that New gets; messages have the time that remains, as the clocks of two processes differ.
//
// The package does not retry, and has no queue of its own: the client's sidecar decides on retries (package outbound), and package
// admission on the order. The goroutines of a request end by its deadline; a process that shuts down waits until Pending is 0.
package inbound
