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

// outcome is an endpoint's behaviour in an attempt, and the expected status of the attempt.
type outcome struct {
	name    string
	handler http.HandlerFunc
	want    balancer.Status
}

// resetWith returns a handler that resets the request's stream with an error code. If part is not empty the handler first sends it as a
// part of a response, and code is not used.
func resetWith(code http3.ErrCode, part string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if part != "" {
			w.Header().Set("Content-Length", "100")
			reply(w, part)
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}
		h3.ResetStream(w, code)
	}
}

// dropWith returns a handler that closes the request's connection with an error code.
func dropWith(code http3.ErrCode) http.HandlerFunc {
	return func(_ http.ResponseWriter, r *http.Request) { h3.CloseConnection(r, code) }
}

// answerWith returns a handler that responds with a status, without a body, and with a header unless its name is empty.
func answerWith(code int, header, value string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if header != "" {
			w.Header().Set(header, value)
		}
		w.WriteHeader(code)
	}
}

// outcomes holds the cases of TestOutcomes.
var outcomes = []outcome{
	{"served", ok, balancer.StatusOK},
	{"rejected", resetWith(http3.ErrCodeRequestRejected, ""), balancer.StatusRejected},
	{"reset", resetWith(http3.ErrCodeInternalError, ""), balancer.StatusInvalidResponse},
	{"reset, no error", resetWith(http3.ErrCodeNoError, ""), balancer.StatusInvalidResponse},
	{"cancelled by the endpoint", resetWith(http3.ErrCodeRequestCanceled, ""), balancer.StatusInvalidResponse},
	{"reset during the response", resetWith(http3.ErrCodeInternalError, "half"), balancer.StatusInvalidResponse},
	{"connection closed", dropWith(http3.ErrCodeNoError), balancer.StatusInvalidResponse}, // the endpoint still accepts connections
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
	{"503 that is no rejection", answerWith(503, "", ""), balancer.StatusError},
	{"error", answerWith(500, "", ""), balancer.StatusError},
	{"request is invalid", answerWith(400, "", ""), balancer.StatusInvalidResponse},
	{"425 without early data", answerWith(425, "", ""), balancer.StatusInvalidResponse},
}

// After a reset, a closed connection or an invalid response the request may have been executed, unless the endpoint has rejected it.
func TestOutcomes(t *testing.T) {
	test := newTestTransport(t, nil)
	var handler atomic.Value
	test.serve("", h3.Options{}, func(w http.ResponseWriter, r *http.Request) {
		discardBody(r)
		handler.Load().(http.HandlerFunc)(w, r)
	})
	for _, testCase := range outcomes {
		handler.Store(testCase.handler)
		if res := test.attempt(nil, testTimeout, nil); res.Status != testCase.want {
			t.Errorf("%s: got status %v, want %v", testCase.name, res.Status, testCase.want)
		}
		handler.Store(http.HandlerFunc(ok))
		if res := test.attempt(nil, testTimeout, nil); res.Status != balancer.StatusOK {
			t.Errorf("next attempt after %s: got status %v, want %v", testCase.name, res.Status, balancer.StatusOK)
		}
	}
}
