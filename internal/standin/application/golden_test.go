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

// A heartbeat and an answer have the form of the mesh's protocol.
func TestGoldenMessages(t *testing.T) {
	var text strings.Builder
	control := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		text.WriteString(r.Method + " " + r.URL.Path + " " + r.Header.Get("Content-Type") + " " + string(body) + "\n")
	}))
	defer control.Close()
	ctx, cancel := context.WithCancel(t.Context())
	e := newEndpoint(ctx, cancel, Options{
		ID: "e1", Service: "trips", Zone: "z1", Address: "127.0.0.1:7", Control: []string{control.Listener.Addr().String()},
		Slots: 2, HeartbeatInterval: time.Second,
	})
	if !e.sendHeartbeat(ctx) || !e.Drain() || !e.Deregister() {
		t.Error("nobody took a message")
	}
	for _, target := range []string{"e1", "e2"} {
		r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/book?bytes=3", strings.NewReader("four"))
		r.Header.Set("Attempt-Id", "a1")
		r.Header.Set("Target-Endpoint", target)
		answer := httptest.NewRecorder()
		e.serve(answer, r)
		writeAnswer(t, &text, answer)
	}
	for range cap(e.slots) {
		e.slots <- struct{}{} // all slots are taken
	}
	answer := httptest.NewRecorder()
	e.serve(answer, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/book", nil))
	rejected := answer.Result()
	text.WriteString(rejected.Status + "\n")
	if err := errors.Join(rejected.Header.Write(&text), rejected.Body.Close()); err != nil {
		t.Fatal(err)
	}
	golden.Text(t, "messages.txt", []byte(text.String()))
}

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
