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

// TestMain runs the program instead of the tests if BE_QUINCEGAP is 1, and the proxy that benchmarks compare it with if BE_PROXY is set.
func TestMain(m *testing.M) {
	if os.Getenv("BE_QUINCEGAP") == "1" {
		main()
		return
	}
	if os.Getenv("BE_PROXY") != "" {
		runReverseProxy()
		return
	}
	os.Exit(m.Run())
}

// A configuration that cannot be used is reported in one line, and the program exits with an error.
func TestBadConfigurationEndsTheProgram(t *testing.T) {
	for _, config := range []string{"", "/nowhere/config.json"} {
		cmd := ownProgram(config)
		var stderr bytes.Buffer
		cmd.Stderr = &stderr
		err := cmd.Run()
		var exit *exec.ExitError
		if !errors.As(err, &exit) || exit.ExitCode() <= 0 {
			t.Errorf("config %q: the program ended with %v, want an exit status above 0", config, err)
		}
		text := stderr.String()
		if !strings.HasPrefix(text, "quincegap: BALANCER_CONFIG: ") || strings.Count(text, "\n") != 1 {
			t.Errorf("config %q: standard error is %q, want one line that begins with \"quincegap: BALANCER_CONFIG: \"", config, text)
		}
	}
}

// signalledProgram is the program as a process that gets signals. Its configuration is the platform's and names a discovery service that lists
// no endpoints.
type signalledProgram struct {
	*testing.T
	cmd    *exec.Cmd
	stderr io.ReadCloser
	lines  *bufio.Scanner
}

// startSignalled starts the program, which is killed at the end of the test.
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
	t.Cleanup(func() { _ = cmd.Process.Kill() }) // an error means that it has ended already
	return &signalledProgram{T: t, cmd: cmd, stderr: stderr, lines: bufio.NewScanner(stderr)}
}

// awaitLog waits until the program logs a line that contains a text. It fails the test if the program ends before.
func (s *signalledProgram) awaitLog(text string) {
	s.Helper()
	for s.lines.Scan() {
		if strings.Contains(s.lines.Text(), text) {
			return
		}
	}
	s.Fatalf("the program ended before it logged %q", text)
}

// signal sends signals to the program, one after the other.
func (s *signalledProgram) signal(signals ...os.Signal) {
	s.Helper()
	for _, sig := range signals {
		if err := s.cmd.Process.Signal(sig); err != nil {
			s.Fatal(err)
		}
	}
}

// The program reads its file again on each SIGHUP, which would end a program that does not handle it. After SIGTERM it exits by itself.
func TestSignals(t *testing.T) {
	program := startSignalled(t)
	program.awaitLog("serving on")
	program.signal(syscall.SIGHUP)
	program.awaitLog("reload: discovery is")
	program.signal(syscall.SIGHUP)
	program.awaitLog("reload: discovery is")
	program.signal(syscall.SIGTERM)
	for program.lines.Scan() {
	}
	if err := program.cmd.Wait(); err != nil {
		t.Errorf("after SIGTERM the program ended with %v, want status 0", err)
	}
}

// Nobody reads the program's log any more when it logs that it reads its settings again. Then it gets SIGTERM, and other signals during the
// shutdown. It still exits by itself.
func TestSignalsWithoutAReaderOfTheLog(t *testing.T) {
	program := startSignalled(t)
	program.awaitLog("serving on")
	closeNow(program.stderr)
	program.signal(syscall.SIGHUP, syscall.SIGUSR1, syscall.SIGPIPE)
	time.Sleep(300 * time.Millisecond) // enough for the program to write to its log
	program.signal(syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGQUIT, syscall.SIGINT)
	if err := program.cmd.Wait(); err != nil {
		t.Errorf("after SIGTERM the program ended with %v, want status 0", err)
	}
}
