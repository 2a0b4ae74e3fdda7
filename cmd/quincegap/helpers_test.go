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

// testTimeout limits each wait for something that has to happen. It is far longer than such a wait takes, also on a busy machine.
const testTimeout = 30 * time.Second

// get requests a URL and returns the status and the headers of the response. It ignores the body.
func get(client *http.Client, url string) (status int, header http.Header, err error) {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, nil)
	if err != nil {
		return 0, nil, err
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer closeNow(response.Body)
	return response.StatusCode, response.Header, nil
}

// awaitReady polls a sidecar at the given interval until it reports that it is ready. It fails the test after testTimeout.
func awaitReady(tb testing.TB, client *http.Client, url string, interval time.Duration) {
	tb.Helper()
	for deadline := time.Now().Add(testTimeout); ; time.Sleep(interval) {
		if status, _, err := get(client, url+"/ready"); err == nil && status == http.StatusOK {
			return
		}
		if time.Now().After(deadline) {
			tb.Fatalf("the sidecar at %s was not ready within %v", url, testTimeout)
		}
	}
}

// listen opens a TCP listener on an address.
func listen(address string) (net.Listener, error) {
	var config net.ListenConfig
	return config.Listen(context.Background(), "tcp", address)
}

// freePort returns a loopback address, with a port on which nothing listens.
func freePort(tb testing.TB) string {
	tb.Helper()
	l, err := listen("127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	defer closeNow(l)
	return l.Addr().String()
}

// writeFile creates or overwrites a file. It fails the test on an error.
func writeFile(tb testing.TB, path, text string) {
	tb.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		tb.Fatal(err)
	}
}

// replaceFile replaces a file atomically, so that a program that reads it at the same time gets either the old or the new text.
func replaceFile(tb testing.TB, path, text string) {
	tb.Helper()
	writeFile(tb, path+".new", text)
	if err := os.Rename(path+".new", path); err != nil {
		tb.Fatal(err)
	}
}

// write writes a part of a response. It ignores errors, which mean that the client has disconnected.
func write(w io.Writer, values ...any) { _, _ = fmt.Fprint(w, values...) }

// drain reads the rest of a body. It ignores errors, which mean that the sender has disconnected.
func drain(body io.Reader) { _, _ = io.Copy(io.Discard, body) }

// closeNow closes what a test no longer needs, and ignores the error.
func closeNow(c io.Closer) { _ = c.Close() }
