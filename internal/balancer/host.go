package balancer

import "time"

// Host carries out the actions of a Balancer. The Balancer calls it only from within its event methods. The Host must not call
// back into the Balancer.
type Host interface {
	// Send sends an attempt of a request to an endpoint. The end of the attempt is passed to HandleOutcome. With a timeout of 0,
	// the attempt may last until the client's deadline.
	Send(id RequestID, to EndpointID, timeout time.Duration)
	// Reject ends a request with the answer that a retry is harmless, and should be made after the given time. A time of 0 means
	// that no time is given to the client.
	Reject(id RequestID, retryAfter time.Duration)
	// Fail ends a request with the answer that the request may or may not have run.
	Fail(id RequestID)
	// Cancel cancels an attempt that is in flight. The end of the attempt is still passed to HandleOutcome.
	Cancel(id RequestID, attempt int)
	// SetTimer calls HandleTimer with the token after the given time.
	SetTimer(token uint64, after time.Duration)
	// HealthCheck checks an endpoint's health. The result is passed to HandleHealthCheck.
	HealthCheck(to EndpointID)
	// SendToPeer sends data to another instance of the tier, or to all of them if peer is -1.
	SendToPeer(peer int, data []byte)
	// WatchEndpoints starts or ends the subscription to changes of the endpoint list.
	WatchEndpoints(on bool)
	// FetchEndpoints requests the endpoint list once.
	FetchEndpoints()
	// CloseIdleConnections closes the connections to an endpoint that carry no request at present.
	CloseIdleConnections(to EndpointID)
	// Log writes a message for operators.
	Log(text string)
}
