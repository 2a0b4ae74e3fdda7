package http3

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/quic-go/quic-go/http3"

	"quincegap/internal/balancer"
	"quincegap/internal/network/exchange"
	"quincegap/internal/standin/h3"
)

// outcome is an endpoint's behaviour in an attempt, and the status that it is to have.
type outcome struct {
	name string
	play http.HandlerFunc
	want balancer.Status
}

// resetWith returns a handler that resets the request's stream, after a part of an answer unless after is empty.
func resetWith(code http3.ErrCode, after string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if after != "" {
			w.Header().Set("Content-Length", "100")
			reply(w, after)
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}
		h3.ResetStream(w, code)
	}
}

// dropWith returns a handler that closes the request's connection.
func dropWith(code http3.ErrCode) http.HandlerFunc {
	return func(_ http.ResponseWriter, r *http.Request) { h3.CloseConnection(r, code) }
}

// answerWith returns a handler that answers without a body, and with a header unless its name is empty.
func answerWith(code int, header, value string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if header != "" {
			w.Header().Set(header, value)
		}
		w.WriteHeader(code)
	}
}

var outcomes = []outcome{
	{"served", ok, balancer.StatusOK},
	{"rejected", resetWith(http3.ErrCodeRequestRejected, ""), balancer.StatusRejected},
	{"reset", resetWith(http3.ErrCodeInternalError, ""), balancer.StatusInvalidResponse},
	{"reset, no error", resetWith(http3.ErrCodeNoError, ""), balancer.StatusInvalidResponse},
	{"cancelled by the endpoint", resetWith(http3.ErrCodeRequestCanceled, ""), balancer.StatusInvalidResponse},
	{"reset amid the answer", resetWith(http3.ErrCodeInternalError, "half"), balancer.StatusInvalidResponse},
	{"connection closed", dropWith(http3.ErrCodeNoError), balancer.StatusInvalidResponse}, // the endpoint still takes connections
	{"connection closed, rejected", dropWith(http3.ErrCodeRequestRejected), balancer.StatusInvalidResponse},
	{"short answer", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		reply(w, "half")
	}, balancer.StatusInvalidResponse},
	{"large answer", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, exchange.MaxBody+1))
	}, balancer.StatusInvalidResponse},
	{"large headers", answerWith(200, "X-Large", strings.Repeat("x", 2*maxHeadBytes)), balancer.StatusInvalidResponse},
	{"rejected by status", answerWith(503, "X-Turned-Away", "1"), balancer.StatusRejected},
	{"not said to be rejected", answerWith(503, "", ""), balancer.StatusError},
	{"error", answerWith(500, "", ""), balancer.StatusError},
	{"request at fault", answerWith(400, "", ""), balancer.StatusInvalidResponse},
	{"too early, though it was not", answerWith(425, "", ""), balancer.StatusInvalidResponse},
}

// A reset, a close or a bad answer counts as a request that may have run, unless the endpoint has rejected it.
func TestOutcomes(t *testing.T) {
	test := newTestTransport(t, nil)
	var play atomic.Value
	test.serve("", h3.Options{}, func(w http.ResponseWriter, r *http.Request) {
		discardBody(r)
		play.Load().(http.HandlerFunc)(w, r)
	})
	for _, c := range outcomes {
		play.Store(c.play)
		if res := test.attempt(nil, testTimeout, nil); res.Status != c.want {
			t.Errorf("%s: %v, want %v", c.name, res.Status, c.want)
		}
		play.Store(http.HandlerFunc(ok))
		if res := test.attempt(nil, testTimeout, nil); res.Status != balancer.StatusOK {
			t.Errorf("after %s: %v", c.name, res.Status)
		}
	}
}
