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

// stream sends a status at once, and the reason in the body when the context of the request ends.
func stream(w http.ResponseWriter, r *http.Request) {
	w.WriteHeader(http.StatusOK)
	if err := http.NewResponseController(w).Flush(); err != nil {
		panic(err)
	}
	<-r.Context().Done()
	_, _ = io.WriteString(w, "ended: "+r.Context().Err().Error()) // an error means that the client has disconnected
}

// The context of a request ends when ending is done, whether that happens before the request or while it is served.
func TestCancelRequestsOnDone(t *testing.T) {
	for _, test := range []struct {
		name  string
		ended bool // whether ending is done before the request
	}{{"while the request is served", false}, {"before the request", true}} {
		t.Run(test.name, func(t *testing.T) {
			ending, end := context.WithCancel(t.Context())
			defer end()
			if test.ended {
				end()
			}
			server := httptest.NewServer(lifecycle.CancelRequestsOnDone(ending, http.HandlerFunc(stream)))
			defer server.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			request, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL, nil)
			qt.Assert(t, err, qt.IsNil)
			response, err := server.Client().Do(request)
			qt.Assert(t, err, qt.IsNil)
			end() // the handler has sent its status and waits
			body, err := io.ReadAll(response.Body)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, response.Body.Close(), qt.IsNil)
			qt.Assert(t, string(body), qt.Equals, "ended: context canceled")
		})
	}
}

// The context of a request still ends when its client disconnects, and a handler that does not wait for it can respond.
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

// A server that shuts down ends a stream that would go on until its client disconnects.
func ExampleCancelRequestsOnDone() {
	ending, end := context.WithCancel(context.Background())
	defer end()
	server := httptest.NewServer(lifecycle.CancelRequestsOnDone(ending, http.HandlerFunc(stream)))
	defer server.Close()
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, server.URL, nil)
	if err != nil {
		fmt.Println(err)
		return
	}
	response, err := server.Client().Do(request)
	if err != nil {
		fmt.Println(err)
		return
	}
	end()
	body, err := io.ReadAll(response.Body)
	fmt.Println(string(body), err, response.Body.Close())
	// Output: ended: context canceled <nil> <nil>
}
