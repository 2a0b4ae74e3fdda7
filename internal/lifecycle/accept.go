package lifecycle

import (
	"errors"
	"net"
	"time"
)

const (
	minAcceptBackoff = 5 * time.Millisecond   // delay after the first failure to accept a connection; it doubles with each further one
	maxAcceptBackoff = 500 * time.Millisecond // upper bound of the delay
)

// RetryAccept returns a listener whose Accept fails once the given listener is closed. After any other error it calls retry, and tries again
// after a delay if that returns true. Such errors pass: a lack of file descriptors or of the kernel's memory, or an error of the network on a
// connection that was not accepted yet (accept(2)). http.Server gives up on most of them.
func RetryAccept(listener net.Listener, retry func(error) bool) net.Listener {
	return &retryingListener{Listener: listener, retry: retry}
}

type retryingListener struct {
	net.Listener
	retry func(error) bool
}

// Accept implements net.Listener.
func (r *retryingListener) Accept() (net.Conn, error) {
	backoff := minAcceptBackoff
	for {
		conn, err := r.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) || !r.retry(err) {
			return conn, err
		}
		time.Sleep(backoff)
		backoff = min(2*backoff, maxAcceptBackoff)
	}
}
