package application

import (
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
	e := &Endpoint{
		options: Options{
			ID: "e1", Service: "trips", Zone: "z1", Address: "127.0.0.1:7", Control: []string{control.Listener.Addr().String()},
			Slots: 2, HeartbeatInterval: time.Second,
		},
		executions: map[string]int{}, slots: make(chan struct{}, 1), stopped: make(chan struct{}), server: &http.Server{},
	}
	if !e.sendHeartbeat() || !e.Drain() || !e.Deregister() {
		t.Error("nobody took a message")
	}
	for _, target := range []string{"e1", "e2"} {
		r := httptest.NewRequest(http.MethodPost, "/book?bytes=3", strings.NewReader("four"))
		r.Header.Set("Attempt-Id", "a1")
		r.Header.Set("Target-Endpoint", target)
		answer := httptest.NewRecorder()
		e.serve(answer, r)
		result := answer.Result()
		defer result.Body.Close()
		body, _ := io.ReadAll(result.Body)
		text.WriteString(result.Status + " " + strings.ReplaceAll(string(body), "\x00", ".") + "\n")
		if err := result.Header.Write(&text); err != nil {
			t.Fatal(err)
		}
	}
	e.slots <- struct{}{} // all slots are taken
	answer := httptest.NewRecorder()
	e.serve(answer, httptest.NewRequest(http.MethodGet, "/book", nil))
	text.WriteString(answer.Result().Status + "\n")
	if err := answer.Result().Header.Write(&text); err != nil {
		t.Fatal(err)
	}
	golden.Text(t, "messages.txt", []byte(text.String()))
}
