// Package admission decides which requests are sent to an endpoint, and when. Requests are queued at the endpoint's own sidecar until one
// of the endpoint's slots is free; none reaches the endpoint otherwise. Since the Controller knows the endpoint's identity, its slots and
// since when it drains, a request that it rejects was certainly not executed.
//
// To admit a request means just this, in all of the data plane: to let it occupy a slot. That a client's sidecar accepts a request is
// package outbound's concern.
//
// The states of an endpoint, and what happens to requests in each:
//
//	Unknown ----> Serving ----> Draining ----> Terminated
//	rejected      admitted      admitted       rejected
//	              or queued     for a grace
//	                            period, then
//	                            rejected
//
// An endpoint ID never goes back to an earlier state. An endpoint with another ID, which is a later start of the process, begins in
// the state in which it is reported; the requests that are queued for its predecessor are rejected.
//
// The queue is ordered by nested calls first, then by priority, then by arrival. A request that is not expected to start in time, by the
// mean service time, is shed at once; one whose deadline passes while it is queued is rejected by Expire.
//
// Times are durations on a monotonic clock of the caller's choice, which passes the time to each method. The package does no I/O, starts
// no goroutines and takes no locks.
package admission
