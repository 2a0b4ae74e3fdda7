package inbound

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"quincegap/internal/mesh/dataplane/admission"
	"quincegap/internal/mesh/dataplane/outcome"
	"quincegap/internal/mesh/transport/membudget"
)

// answerBytes is the size of the endpoint's answers in the tests of memory.
const answerBytes = 300_000

// startAnswers starts a proxy whose endpoint sends large answers, and returns it with the pool of its answers.
func startAnswers(t *testing.T, sized bool, limit int64) (*Proxy, *membudget.Pool) {
	t.Helper()
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(HeaderAttemptID, r.Header.Get(HeaderAttemptID))
		w.Header().Set(HeaderEndpointSeal, "seal")
		if sized {
			w.Header().Set("Content-Length", fmt.Sprint(answerBytes))
		}
		_, _ = w.Write(make([]byte, answerBytes)) // fails if the proxy has closed the connection
	}))
	t.Cleanup(endpoint.Close)
	log := logrus.New()
	log.SetOutput(io.Discard)
	start := time.Now()
	proxy := New(endpoint.Listener.Addr().String(), func() time.Duration { return time.Since(start) }, log, nil)
	answers := membudget.NewPool(limit)
	proxy.SetAnswerMemory(answers)
	proxy.UpdateEndpoint(admission.Endpoint{ID: "s-1", Service: "s", Slots: 8}, admission.Serving)
	return proxy, answers
}

// forwardLarge forwards a request, and returns its response. The response's memory is reserved until release is called.
func forwardLarge(proxy *Proxy, timeout time.Duration) (response *ForwardResponse, release func()) {
	request := &ForwardRequest{EndpointID: "s-1", Service: "s", Method: http.MethodGet, URI: "/", Host: "h", AttemptID: "a"}
	responses, released := make(chan *ForwardResponse), make(chan struct{})
	deadline := proxy.now() + timeout
	proxy.Forward(request, deadline, deadline, func(r *ForwardResponse) {
		responses <- r
		<-released
	})
	return <-responses, func() { close(released) }
}

// Answers had no bound on their memory. An answer that does not fit waits until another one is delivered.
func TestAnswerWaitsForMemory(t *testing.T) {
	proxy, answers := startAnswers(t, true, answerBytes*3/2)
	first, release := forwardLarge(proxy, 20*time.Second)
	qt.Assert(t, first.Kind, qt.Equals, outcome.Answered)
	second := make(chan *ForwardResponse, 1)
	go func() {
		response, release := forwardLarge(proxy, 20*time.Second)
		release()
		second <- response
	}()
	release()
	qt.Assert(t, (<-second).Kind, qt.Equals, outcome.Answered)
	waitReleased(t, answers)
}

// A request whose answer finds no memory until its deadline may have been executed, and the slot is free again.
func TestAnswerWithoutMemoryEndsAtTheDeadline(t *testing.T) {
	for _, sized := range []bool{true, false} {
		proxy, answers := startAnswers(t, sized, answerBytes)
		answers.Charge(1)
		response, release := forwardLarge(proxy, 300*time.Millisecond)
		release()
		answers.Release(1)
		qt.Assert(t, response.Kind, qt.Equals, outcome.InvalidResponse)
		qt.Assert(t, response.ReachedEndpoint, qt.IsTrue)
		qt.Assert(t, proxy.Pending(), qt.Equals, 0)
		waitReleased(t, answers)
	}
}

// waitReleased waits until a pool is empty: the memory of an answer is released after done has returned.
func waitReleased(t *testing.T, pool *membudget.Pool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); pool.Used() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes are still reserved", pool.Used())
		}
	}
}
