// Package inbound forwards requests to the endpoint beside a sidecar. All requests to the endpoint pass through its Proxy: requests from
// peer sidecars arrive through the method MethodForward, those from clients on this machine through Proxy.Forward. A request is queued
// until the admission controller admits it, and is then sent as HTTP/1.1 on a connection that carries one request at a time.
//
//	Forward ---> queued ---> running ---> finished: done(ForwardResponse)
//	               |            |
//	               +- cancel ---+         queued: not executed; running: may have been executed
//
// The package determines which requests may have been executed and which were certainly not. It accepts an answer only if the answer is
// complete, has the request's attempt ID and, if its status is 2xx, the endpoint's seal. These checks are needed because an endpoint may
// send an answer twice, late or truncated, and such an answer is then read in place of the next one. A rejection by the endpoint counts
// as not executed only if it can't belong to another attempt.
//
// An answer is read completely before it is passed on. SetAnswerMemory bounds the memory of all answers: one with a length waits, unread, until
// there is memory for it.
//
// Times are durations on the clock that is passed to New; messages contain the remaining time, as the clocks of two processes differ.
//
// The package does not retry or order requests: the client's sidecar decides on retries (package outbound), and package admission queues
// and orders the requests. The goroutines of a request end by its deadline; a process that shuts down waits until Pending is 0.
package inbound
