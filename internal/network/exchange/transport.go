package exchange

import "time"

// Conn is what a transport acquires for an attempt, in a form of its own; nil is none.
type Conn any

// Transport makes attempts by one protocol. Run is called from goroutines, all else by the loop alone; none of
// that waits.
type Transport interface {
	// Acquire takes a connection, or room for one that Run makes. It is false when there may be no further.
	Acquire(e *Endpoint, now time.Time) (c Conn, ok bool)
	// Run makes an attempt: the request is written once at most. When it returns nothing of the attempt is under
	// way any more, as far as this side can tell.
	Run(a *Attempt, c Conn) Result
	// Release takes back what Acquire gave, as Run left it.
	Release(e *Endpoint, acquired, left Conn)
	// CloseIdle closes what no attempt uses; for an endpoint that is not Open that comes true for what is used
	// too, when its last attempt ends.
	CloseIdle(e *Endpoint)
	// Sweep closes what has been idle for too long or is of no more use.
	Sweep(now time.Time)
	// Close ends the transport.
	Close()
}
