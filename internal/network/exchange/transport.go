package exchange

import "time"

// Conn is a connection to an endpoint. Its dynamic type is private to its Transport; nil means no connection.
type Conn any

// Transport makes attempts over one protocol. Run is called by several goroutines concurrently. The other methods are called by the loop
// only, and don't block.
type Transport interface {
	// Acquire reserves a connection to an endpoint for one attempt; if c is nil, Run makes the connection. It returns false if the
	// limit on connections is reached.
	Acquire(e *Endpoint, now time.Time) (c Conn, ok bool)
	// Run makes an attempt on the connection that Acquire returned. It writes the request at most once. When it returns, the attempt
	// is no longer in progress on this side; the endpoint may still be executing the request.
	Run(a *Attempt, c Conn) Result
	// Release ends the reservation that Acquire made. acquired is the Conn that Acquire returned, and reusable the Conn of Run's
	// result.
	Release(e *Endpoint, acquired, reusable Conn)
	// CloseIdle closes the connections to an endpoint that no attempt uses. If the endpoint is not Open, the remaining ones are closed
	// when their last attempt ends.
	CloseIdle(e *Endpoint)
	// Sweep closes the idle connections that have reached their idle timeout or are broken.
	Sweep(now time.Time)
	// Close closes the idle connections and releases the transport's resources. Acquire must not be called afterwards.
	Close()
}
