package exchange

import "time"

// Conn is a transport's connection, of a type of its own; nil for none.
type Conn any

// Transport makes attempts over one protocol. Run is called by several goroutines, the other methods by the loop alone; these don't
// block.
type Transport interface {
	// Acquire acquires a connection, or room for one that Run makes. It returns false if the bound on connections is reached.
	Acquire(e *Endpoint, now time.Time) (c Conn, ok bool)
	// Run makes an attempt; it writes the request once at most. When it returns, nothing of the attempt is in progress any more, as
	// far as this side can know.
	Run(a *Attempt, c Conn) Result
	// Release returns what Acquire acquired. left is the Conn of Run's result.
	Release(e *Endpoint, acquired, left Conn)
	// CloseIdle closes the connections to an endpoint that no attempt uses. If the endpoint is not Open, the others are closed when
	// their last attempt ends.
	CloseIdle(e *Endpoint)
	// Sweep closes connections that have been idle for too long or are broken.
	Sweep(now time.Time)
	// Close ends the transport.
	Close()
}
