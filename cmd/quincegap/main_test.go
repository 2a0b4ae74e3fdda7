package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// TestMain runs the test binary as the program, or as the proxy that benchmarks compare it with, if the environment says so.
func TestMain(m *testing.M) {
	if os.Getenv("BE_QUINCEGAP") == "1" {
		main()
		return
	}
	if os.Getenv("BE_PROXY") != "" {
		beProxy()
		return
	}
	os.Exit(m.Run())
}

// A configuration that cannot be used is named in one line, and the program ends with an error.
func TestBadConfigurationEndsTheProgram(t *testing.T) {
	for _, config := range []string{"", "/nowhere/config.json"} {
		cmd := ownProgram(config)
		var stderr bytes.Buffer
		cmd.Stderr = &stderr
		err := cmd.Run()
		var exit *exec.ExitError
		if !errors.As(err, &exit) || exit.ExitCode() <= 0 {
			t.Errorf("config %q: ended with %v", config, err)
		}
		text := stderr.String()
		if !strings.HasPrefix(text, "quincegap: BALANCER_CONFIG: ") || strings.Count(text, "\n") != 1 {
			t.Errorf("config %q: stderr %q", config, text)
		}
	}
}

// signalledProgram is the program with a configuration of the platform, which names a discovery without endpoints.
type signalledProgram struct {
	*testing.T
	cmd    *exec.Cmd
	stderr io.ReadCloser
	lines  *bufio.Scanner
}

// startSignalled starts the program.
func startSignalled(t *testing.T) *signalledProgram {
	t.Helper()
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		write(w, `{"rev":1,"all":true,"targets":[]}`+"\n")
		_ = http.NewResponseController(w).Flush()
		if r.URL.Query().Has("follow") {
			<-r.Context().Done()
		}
	}))
	t.Cleanup(discovery.Close)
	t.Cleanup(discovery.CloseClientConnections)
	file := filepath.Join(t.TempDir(), "config.json")
	text := fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"a1",
		"limits":{"cores":1,"memory_mb":64,"sockets":256},"settings":{"allowed":{"connectTimeout":2000000},
		"discovery":"push","instances":1,"services":[{"name":"read","aim":1000000,"deadline":1000000,
		"effect":"read_like","gain":1}],"tiers":["front"],"zones":["z"],"models":["m"]}}`, discovery.Listener.Addr())
	writeFile(t, file, text)
	cmd := ownProgram(file)
	stderr, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = cmd.Process.Kill() }) // it may have ended already
	return &signalledProgram{T: t, cmd: cmd, stderr: stderr, lines: bufio.NewScanner(stderr)}
}

// awaitLog waits until the program has logged a line that contains a text.
func (s *signalledProgram) awaitLog(text string) {
	s.Helper()
	for s.lines.Scan() {
		if strings.Contains(s.lines.Text(), text) {
			return
		}
	}
	s.Fatalf("it ended before it logged %q", text)
}

// signal sends signals, one after the other.
func (s *signalledProgram) signal(signals ...os.Signal) {
	s.Helper()
	for _, x := range signals {
		if err := s.cmd.Process.Signal(x); err != nil {
			s.Fatal(err)
		}
	}
}

// After SIGHUP, which ends a program that does not handle it, the program reads its file again. After SIGTERM it ends by itself.
func TestSignals(t *testing.T) {
	s := startSignalled(t)
	s.awaitLog("serving on")
	s.signal(syscall.SIGHUP)
	s.awaitLog("reload: discovery is")
	s.signal(syscall.SIGHUP)
	s.awaitLog("reload: discovery is")
	s.signal(syscall.SIGTERM)
	for s.lines.Scan() {
	}
	if err := s.cmd.Wait(); err != nil {
		t.Errorf("after SIGTERM: %v", err)
	}
}

// The reader of the program's log has gone when the program logs that it reads its settings again. Then SIGTERM comes, and other signals
// while the program ends: it ends by itself all the same.
func TestSignalsWithoutAReaderOfTheLog(t *testing.T) {
	s := startSignalled(t)
	s.awaitLog("serving on")
	closeNow(s.stderr)
	s.signal(syscall.SIGHUP, syscall.SIGUSR1, syscall.SIGPIPE)
	time.Sleep(300 * time.Millisecond) // until it has logged
	s.signal(syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGQUIT, syscall.SIGINT)
	if err := s.cmd.Wait(); err != nil {
		t.Errorf("after SIGTERM: %v", err)
	}
}
