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

// TestMain lets the test binary stand in for the program.
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

// A configuration that cannot be used is named in one line, and the exit status says that nothing runs.
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

// signalledProgram is the program, started for a test of signals, with what it logs.
type signalledProgram struct {
	*testing.T
	cmd    *exec.Cmd
	stderr io.ReadCloser
	lines  *bufio.Scanner
}

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
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
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

// awaitLog waits until the program has logged a word.
func (s *signalledProgram) awaitLog(word string) {
	s.Helper()
	for s.lines.Scan() {
		if strings.Contains(s.lines.Text(), word) {
			return
		}
	}
	s.Fatalf("it ended before it said %q", word)
}

func (s *signalledProgram) signal(signals ...os.Signal) {
	s.Helper()
	for _, x := range signals {
		if err := s.cmd.Process.Signal(x); err != nil {
			s.Fatal(err)
		}
	}
}

// SIGHUP makes the program read its file again; uncaught it would end it. After SIGTERM it ends by itself.
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

// Whoever reads the program's log goes away, and settings are read again, which is logged; then SIGTERM comes, and other signals while the
// program ends: it ends by itself all the same.
func TestSignalsWithoutAReaderOfTheLog(t *testing.T) {
	s := startSignalled(t)
	s.awaitLog("serving on")
	closeNow(s.stderr)
	s.signal(syscall.SIGHUP, syscall.SIGUSR1, syscall.SIGPIPE)
	time.Sleep(300 * time.Millisecond) // it is logged
	s.signal(syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGQUIT, syscall.SIGINT)
	if err := s.cmd.Wait(); err != nil {
		t.Errorf("after SIGTERM: %v", err)
	}
}
