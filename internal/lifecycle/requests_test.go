package lifecycle_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"quincegap/internal/lifecycle"
)

// stream answers until its request's context ends.
func stream(w http.ResponseWriter, r *http.Request) {
	w.WriteHeader(http.StatusOK)
	if err := http.NewResponseController(w).Flush(); err != nil {
		panic(err)
	}
	<-r.Context().Done()
	_, _ = io.WriteString(w, "ended: "+r.Context().Err().Error()) // the client may have gone
}

// A request's context ends when ending does, whether before the request or while it is served.
func TestCancelRequestsOnDone(t *testing.T) {
	for _, x := range []struct {
		name  string
		ended bool // before the request
	}{{"while the request is served", false}, {"before the request", true}} {
		t.Run(x.name, func(t *testing.T) {
			ending, end := context.WithCancel(t.Context())
			defer end()
			if x.ended {
				end()
			}
			server := httptest.NewServer(lifecycle.CancelRequestsOnDone(ending, http.HandlerFunc(stream)))
			defer server.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			q, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL, nil)
			qt.Assert(t, err, qt.IsNil)
			r, err := server.Client().Do(q)
			qt.Assert(t, err, qt.IsNil)
			end() // the answer has begun
			body, err := io.ReadAll(r.Body)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, r.Body.Close(), qt.IsNil)
			qt.Assert(t, string(body), qt.Equals, "ended: context canceled")
		})
	}
}

// A request ends with its client as well, and a handler that does not wait is not disturbed.
func TestRequestsKeepTheirOwnContext(t *testing.T) {
	handler := lifecycle.CancelRequestsOnDone(t.Context(), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		qt.Check(t, r.Context().Err(), qt.ErrorIs, context.Canceled)
		w.WriteHeader(http.StatusNoContent)
	}))
	disconnected, disconnect := context.WithCancel(t.Context())
	disconnect()
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, httptest.NewRequestWithContext(disconnected, http.MethodGet, "/", nil))
	qt.Assert(t, w.Code, qt.Equals, http.StatusNoContent)
}

// A server shuts down while a stream has no end of its own.
func ExampleCancelRequestsOnDone() {
	ending, end := context.WithCancel(context.Background())
	defer end()
	server := httptest.NewServer(lifecycle.CancelRequestsOnDone(ending, http.HandlerFunc(stream)))
	defer server.Close()
	q, err := http.NewRequestWithContext(context.Background(), http.MethodGet, server.URL, nil)
	if err != nil {
		fmt.Println(err)
		return
	}
	r, err := server.Client().Do(q)
	if err != nil {
		fmt.Println(err)
		return
	}
	end()
	body, err := io.ReadAll(r.Body)
	fmt.Println(string(body), err, r.Body.Close())
	// Output: ended: context canceled <nil> <nil>
}
