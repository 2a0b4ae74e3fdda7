package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"
)

// testTimeout bounds each wait for something that has to happen: far above what it takes, also on a busy machine.
const testTimeout = 30 * time.Second

// get requests a URL and returns the status and the headers of the response. Its body is ignored.
func get(client *http.Client, url string) (status int, header http.Header, err error) {
	r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, nil)
	if err != nil {
		return 0, nil, err
	}
	res, err := client.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer closeNow(res.Body)
	return res.StatusCode, res.Header, nil
}

// awaitReady waits until a sidecar reports that it is ready. It polls the sidecar at the given interval.
func awaitReady(tb testing.TB, client *http.Client, url string, interval time.Duration) {
	tb.Helper()
	for deadline := time.Now().Add(testTimeout); ; time.Sleep(interval) {
		if status, _, err := get(client, url+"/ready"); err == nil && status == http.StatusOK {
			return
		}
		if time.Now().After(deadline) {
			tb.Fatal("never ready")
		}
	}
}

// listen opens a TCP listener.
func listen(address string) (net.Listener, error) {
	var open net.ListenConfig
	return open.Listen(context.Background(), "tcp", address)
}

// freePort returns a loopback address that nobody listens on.
func freePort(tb testing.TB) string {
	tb.Helper()
	l, err := listen("127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	defer closeNow(l)
	return l.Addr().String()
}

// writeFile writes a file.
func writeFile(tb testing.TB, path, text string) {
	tb.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		tb.Fatal(err)
	}
}

// replaceFile replaces a file atomically, as an operator does while the program may read it.
func replaceFile(tb testing.TB, path, text string) {
	tb.Helper()
	writeFile(tb, path+".new", text)
	if err := os.Rename(path+".new", path); err != nil {
		tb.Fatal(err)
	}
}

// write writes a part of a response. An error means that the client has gone, and is ignored.
func write(w io.Writer, values ...any) { _, _ = fmt.Fprint(w, values...) }

// drain reads the rest of a body. An error means that the sender has gone, and is ignored.
func drain(body io.Reader) { _, _ = io.Copy(io.Discard, body) }

// closeNow closes what a test no longer needs, and ignores the error.
func closeNow(c io.Closer) { _ = c.Close() }
