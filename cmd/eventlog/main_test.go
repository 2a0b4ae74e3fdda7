package main

import (
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

// The test program is also the program that it tests.
func TestMain(m *testing.M) {
	if os.Getenv("EVENTLOG_TEST") == "" {
		os.Exit(m.Run())
	}
	main()
}

// A reader follows the log as its process gets signals: a change of settings is nothing to it, and after SIGTERM, which comes twice and
// with others, the stream ends whole and the process in order.
func TestSignals(t *testing.T) {
	c := qt.New(t)
	free, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	address := free.Addr().String()
	free.Close()
	program := exec.Command(os.Args[0], "--core", "127.0.0.1:1", "--listen", address, "--folder", t.TempDir())
	program.Env = append(os.Environ(), "EVENTLOG_TEST=1")
	c.Assert(program.Start(), qt.IsNil)
	t.Cleanup(func() { _ = program.Process.Kill() })
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		conn, err := net.Dial("tcp4", address)
		if err == nil {
			conn.Close()
			break
		}
		c.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("%v", err))
	}
	c.Assert(program.Process.Signal(syscall.SIGHUP), qt.IsNil)
	sent, answered := make(chan struct{}), make(chan error, 1)
	go func() {
		q, _ := http.NewRequest(http.MethodGet, "http://"+address+"/events?follow=1", nil)
		trace := &httptrace.ClientTrace{WroteRequest: func(httptrace.WroteRequestInfo) { close(sent) }}
		r, err := http.DefaultClient.Do(q.WithContext(httptrace.WithClientTrace(q.Context(), trace)))
		if err == nil {
			_, err = io.ReadAll(r.Body)
			r.Body.Close()
		}
		answered <- err
	}()
	<-sent
	time.Sleep(500 * time.Millisecond) // it is read, also on a busy machine
	for _, s := range []os.Signal{syscall.SIGHUP, syscall.SIGUSR1, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT} {
		_ = program.Process.Signal(s) // one that has ended is found by Wait
	}
	c.Assert(<-answered, qt.IsNil)
	c.Assert(program.Wait(), qt.IsNil)
}
