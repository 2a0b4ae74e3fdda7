package application

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"quincegap/internal/golden"
)

// Checks that heartbeats and responses have the format of the mesh's protocol.
func TestGoldenMessages(t *testing.T) {
	var text strings.Builder
	control := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		text.WriteString(r.Method + " " + r.URL.Path + " " + r.Header.Get("Content-Type") + " " + string(body) + "\n")
	}))
	defer control.Close()
	ctx, cancel := context.WithCancel(t.Context())
	endpoint := newEndpoint(ctx, cancel, Options{
		ID: "e1", Service: "trips", Zone: "z1", Address: "127.0.0.1:7", Control: []string{control.Listener.Addr().String()},
		Slots: 2, HeartbeatInterval: time.Second,
	})
	if !endpoint.sendHeartbeat(ctx) || !endpoint.Drain() || !endpoint.Deregister() {
		t.Error("heartbeat, drain or deregistration: not acknowledged by the control address, want all acknowledged")
	}
	for _, target := range []string{"e1", "e2"} {
		r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/book?bytes=3", strings.NewReader("four"))
		r.Header.Set("Attempt-Id", "a1")
		r.Header.Set("Target-Endpoint", target)
		answer := httptest.NewRecorder()
		endpoint.serve(answer, r)
		writeAnswer(t, &text, answer)
	}
	for range cap(endpoint.slots) {
		endpoint.slots <- struct{}{} // occupies all slots, so that the next request is rejected
	}
	answer := httptest.NewRecorder()
	endpoint.serve(answer, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/book", nil))
	rejected := answer.Result()
	text.WriteString(rejected.Status + "\n")
	if err := errors.Join(rejected.Header.Write(&text), rejected.Body.Close()); err != nil {
		t.Fatal(err)
	}
	golden.Text(t, "messages.txt", []byte(text.String()))
}

// writeAnswer appends the status, body and header of a response to text, with the zero bytes of the body written as dots.
func writeAnswer(t *testing.T, text *strings.Builder, answer *httptest.ResponseRecorder) {
	t.Helper()
	result := answer.Result()
	body, err := io.ReadAll(result.Body)
	if err = errors.Join(err, result.Body.Close()); err != nil {
		t.Fatal(err)
	}
	text.WriteString(result.Status + " " + strings.ReplaceAll(string(body), "\x00", ".") + "\n")
	if err := result.Header.Write(text); err != nil {
		t.Fatal(err)
	}
}
