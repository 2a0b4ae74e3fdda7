package main

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestMain runs the program instead of the tests if EVENTLOG_TEST is set.
func TestMain(m *testing.M) {
	if os.Getenv("EVENTLOG_TEST") == "" {
		os.Exit(m.Run())
	}
	main()
}

// freeAddress returns a loopback address on which nothing listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, listener.Close(), qt.IsNil)
	return listener.Addr().String()
}

// startProgram starts the program and waits until it listens on address.
func startProgram(t *testing.T, address string) *exec.Cmd {
	t.Helper()
	program := exec.CommandContext(context.Background(), os.Args[0], "--core", "127.0.0.1:1", "--listen", address, "--folder", t.TempDir())
	program.Env = append(os.Environ(), "EVENTLOG_TEST=1")
	qt.Assert(t, program.Start(), qt.IsNil)
	t.Cleanup(func() { _ = program.Process.Kill() }) // an error means that it has ended already
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		conn, err := new(net.Dialer).DialContext(t.Context(), "tcp4", address)
		if err == nil {
			_ = conn.Close()
			return program
		}
		qt.Assert(t, time.Now().Before(deadline), qt.IsTrue, qt.Commentf("the program does not listen on %s: %v", address, err))
	}
}

// follow requests a stream of events and reads it to its end. It closes sent when the request has been sent.
func follow(ctx context.Context, address string, sent chan<- struct{}) error {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(httptrace.WroteRequestInfo) { close(sent) }})
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/events?follow=1", http.NoBody)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	if _, err := io.ReadAll(response.Body); err != nil {
		return err
	}
	return response.Body.Close()
}

// A client follows the log while the process gets signals. SIGHUP is ignored. After SIGTERM, which is sent twice and among other signals,
// the stream ends without an error and the process exits with status 0.
func TestSignals(t *testing.T) {
	c := qt.New(t)
	address := freeAddress(t)
	program := startProgram(t, address)
	c.Assert(program.Process.Signal(syscall.SIGHUP), qt.IsNil)
	sent, answered := make(chan struct{}), make(chan error, 1)
	go func() { answered <- follow(t.Context(), address, sent) }()
	<-sent
	time.Sleep(500 * time.Millisecond) // enough for the program to read the request, also on a busy machine
	for _, s := range []os.Signal{syscall.SIGHUP, syscall.SIGUSR1, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT} {
		_ = program.Process.Signal(s) // an error means that it has ended already
	}
	c.Assert(<-answered, qt.IsNil)
	c.Assert(program.Wait(), qt.IsNil)
}
