// Package admission decides which requests go on to an endpoint, and when. Requests wait in a queue at the endpoint's own sidecar,
// and none reaches the endpoint without passing it. The Controller alone knows the endpoint's identity, its slots and since when it
// drains, so a request that it rejects has surely not been executed.
//
// The states of an endpoint, and what each means for requests:
//
//	Unknown ----> Serving ----> Draining ----> Terminated
//	rejected      admitted      admitted       rejected
//	              or queued     for a grace
//	                            period, then
//	                            rejected
//
// A state is never taken back for one endpoint ID: one that drains does not serve again, and one that is terminated is over. An
// endpoint with another ID, which is a new start of the process, begins in whatever state it is reported in; whatever waits for its
// predecessor is rejected.
//
// A request is queued while all slots are taken: nested calls first, then by priority, then by arrival. Those that are not expected
// to begin in time are shed at once, by the mean service time; those whose deadline comes while they wait are rejected by Expire.
//
// Times are durations on a steady clock of the caller's choice, which it passes to every call. The package does no I/O, starts no
// goroutine and takes no lock: its caller calls it under one.
package admission
