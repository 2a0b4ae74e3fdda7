package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"testing"
	"time"
)

// command is a program that ends by itself or is killed by its test, and not when the test's context ends: callers book until
// their cleanup.
func command(program string, args ...string) *exec.Cmd {
	return exec.CommandContext(context.Background(), program, args...)
}

// ownProgram is this build as the program, with a configuration of the platform or, where that is empty, none.
func ownProgram(platform string, args ...string) *exec.Cmd {
	cmd := command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), "BE_QUINCEGAP=1", "BALANCER_CONFIG="+platform)
	return cmd
}

// killNow kills a program at once and waits until it has ended, which it does with an error.
func killNow(cmd *exec.Cmd) {
	_ = cmd.Process.Kill() // it may have ended already
	_ = cmd.Wait()
}

// get asks for a path and returns the answer's status and headers; its body is passed over.
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

// awaitReady waits until a sidecar says that it is ready, looking so often.
func awaitReady(tb testing.TB, client *http.Client, url string, every time.Duration) {
	tb.Helper()
	for end := time.Now().Add(patience); ; time.Sleep(every) {
		if status, _, err := get(client, url+"/ready"); err == nil && status == http.StatusOK {
			return
		}
		if time.Now().After(end) {
			tb.Fatal("never ready")
		}
	}
}

// listen opens a TCP listener.
func listen(address string) (net.Listener, error) {
	var open net.ListenConfig
	return open.Listen(context.Background(), "tcp", address)
}

// putFile writes a file.
func putFile(tb testing.TB, path, text string) {
	tb.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		tb.Fatal(err)
	}
}

// write writes a part of an answer; one whom it does not reach has gone.
func write(w io.Writer, values ...any) { _, _ = fmt.Fprint(w, values...) }

// drain reads what is left of a body, as far as it comes.
func drain(body io.Reader) { _, _ = io.Copy(io.Discard, body) }

// closeNow closes what a test needs no more.
func closeNow(c io.Closer) { _ = c.Close() }

// answerOK is an endpoint that answers each request.
func answerOK(w http.ResponseWriter, r *http.Request) {
	drain(r.Body)
	write(w, "ok")
}
