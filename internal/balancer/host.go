package balancer

import "time"

// Host carries out a Balancer's actions. It is called only from within the Balancer's event methods, and must not call back
// into the Balancer.
type Host interface {
	// Send makes an attempt, and HandleOutcome reports its end. A timeout of 0 lasts until the client's deadline.
	Send(id RequestID, to EndpointID, timeout time.Duration)
	// Reject ends a request with the answer that a retry is harmless, after a time; 0 gives no advice.
	Reject(id RequestID, retryAfter time.Duration)
	// Fail ends a request with the answer that it may or may not have run.
	Fail(id RequestID)
	// Cancel cancels an attempt that is in flight. Its outcome is reported all the same.
	Cancel(id RequestID, attempt int)
	// SetTimer has HandleTimer called with the token once the time has passed.
	SetTimer(token uint64, after time.Duration)
	// HealthCheck checks an endpoint's health, and HandleHealthCheck reports the result.
	HealthCheck(to EndpointID)
	// SendToPeer sends bytes to another instance of the tier, -1 for all of them.
	SendToPeer(peer int, data []byte)
	// WatchEndpoints begins or ends the subscription to changes of the endpoint list.
	WatchEndpoints(on bool)
	// FetchEndpoints asks for the endpoint list once.
	FetchEndpoints()
	// CloseIdleConnections closes the connections to an endpoint that carry no request.
	CloseIdleConnections(to EndpointID)
	// Log reports what people should know.
	Log(text string)
}
