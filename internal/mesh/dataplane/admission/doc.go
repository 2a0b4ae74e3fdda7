// Package admission decides which requests are sent to an endpoint, and when. Requests are queued at the endpoint's own sidecar until one
// of the endpoint's slots is free; a request reaches the endpoint only through this queue. The Controller knows the endpoint's identity,
// its slots and the start of its drain, so a request that it rejects was certainly not executed.
//
// Throughout the data plane, admitting a request means letting it occupy a slot. Whether a client's sidecar accepts the request in the
// first place is decided by package outbound.
//
// The states of an endpoint, and what happens to requests in each:
//
//	Unknown ----> Serving ----> Draining ----> Terminated
//	rejected      admitted      admitted       rejected
//	              or queued     for a grace
//	                            period, then
//	                            rejected
//
// An endpoint ID never returns to an earlier state. An endpoint with another ID, which is a later start of the process, begins in the
// state in which it is first reported; the requests queued for its predecessor are rejected.
//
// The queue is ordered by nested calls first, then by priority, then by arrival. A request that is not expected to start in time, given the
// mean service time, is shed at once; a request whose deadline passes while it is queued is rejected by Expire.
//
// Times are durations on a monotonic clock that the caller chooses; the caller passes the current time to each method. The package does no
// I/O, starts no goroutines and takes no locks.
package admission
