package lifecycle_test

import (
	"net"
	"net/http"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"

	"quincegap/internal/lifecycle"
)

// failingListener fails with each of its errors before it accepts connections.
type failingListener struct {
	net.Listener
	errors []error
}

func (f *failingListener) Accept() (net.Conn, error) {
	if len(f.errors) == 0 {
		return f.Listener.Accept()
	}
	err := f.errors[0]
	f.errors = f.errors[1:]
	return nil, &net.OpError{Op: "accept", Net: "tcp", Err: err}
}

// A server whose listener failed once, for example for lack of the kernel's memory, ended, and its process with it.
func TestServerOutlivesErrorsOfItsListener(t *testing.T) {
	c := qt.New(t)
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	failures := []error{syscall.ENOBUFS, syscall.EMFILE, syscall.EPROTO, syscall.ENOMEM}
	reported := 0
	retrying := lifecycle.RetryAccept(&failingListener{listener, failures}, func(error) bool {
		reported++
		return true
	})
	server := &http.Server{Handler: http.NotFoundHandler()} //nolint:gosec // the client is the test
	served := make(chan error, 1)
	go func() { served <- server.Serve(retrying) }()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+listener.Addr().String(), nil)
	c.Assert(err, qt.IsNil)
	response, err := http.DefaultClient.Do(request)
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusNotFound)
	c.Assert(response.Body.Close(), qt.IsNil)
	c.Assert(server.Shutdown(t.Context()), qt.IsNil)
	c.Assert(<-served, qt.ErrorIs, http.ErrServerClosed)
	c.Assert(reported, qt.Equals, len(failures))
}
