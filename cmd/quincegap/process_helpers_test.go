package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"
)

// sidecarFile is the settings file of a sidecar that listens on a free port. The address of the discovery service is filled in.
const sidecarFile = `[sidecar]
application = "booking-front.example.org"
listen = "127.0.0.1:0"

[discovery]
address = %q

[class.book-trip]
aim = "2500ms"
deadline = "6s"
effect = "keyed"
key_scope = "cell"
key_window = "10s"

[class.find-trip]
aim = "2s"
deadline = "6s"
effect = "safe"
`

// process is a sidecar that runs, or another program that takes bookings, as its callers use it.
type process struct {
	tb        testing.TB
	cmd       *exec.Cmd
	file      string            // the path of its settings file
	url       string            // the URL for callers, without a path
	startLog  string            // the lines that it logged until it served
	log       chan string       // the lines that it logged later; closed at the end of the log
	logEnded  chan struct{}     // closed at the end of the log
	transport http.RoundTripper // the transport that callers have to use; nil if each uses its own client
}

// kill kills the program and waits until it has ended. Until then its sockets are open, and no other process can listen on their ports.
func (p *process) kill() {
	_ = p.cmd.Process.Kill() // an error means that it has ended already
	<-p.logEnded
	_ = p.cmd.Wait() // always returns an error after a kill
}

// launch starts the program with a settings file of the given text and further environment variables, and waits until it is ready.
func launch(tb testing.TB, text string, env ...string) *process {
	tb.Helper()
	sidecar := &process{
		tb:       tb,
		file:     filepath.Join(tb.TempDir(), "sidecar.toml"),
		log:      make(chan string, 10000),
		logEnded: make(chan struct{}),
	}
	sidecar.writeFile(text)
	sidecar.cmd = command(os.Args[0], "-config", sidecar.file)
	sidecar.cmd.Env = append(append(os.Environ(), "BE_QUINCEGAP=1"), env...)
	stderr, err := sidecar.cmd.StderrPipe()
	if err != nil {
		tb.Fatal(err)
	}
	if err := sidecar.cmd.Start(); err != nil {
		tb.Fatal(err)
	}
	go func() {
		defer close(sidecar.logEnded)
		for lines := bufio.NewScanner(stderr); lines.Scan(); {
			sidecar.log <- lines.Text()
		}
		close(sidecar.log)
	}()
	tb.Cleanup(sidecar.kill)
	sidecar.startLog = sidecar.awaitLog("serving on")
	sidecar.url = "http://" + regexp.MustCompile(`serving on (127\.0\.0\.1:\d+)`).FindStringSubmatch(sidecar.startLog)[1]
	awaitReady(tb, http.DefaultClient, sidecar.url, 2*time.Millisecond)
	return sidecar
}

// writeFile replaces the program's settings file atomically by one of the given text.
func (p *process) writeFile(text string) {
	p.tb.Helper()
	replaceFile(p.tb, p.file, text)
}

// awaitLog waits for a line of the log that contains a text, and returns the lines up to it. It fails the test if the program ends before,
// or after testTimeout.
func (p *process) awaitLog(text string) string {
	p.tb.Helper()
	timeout := time.After(testTimeout)
	var lines []string
	for {
		select {
		case line, ok := <-p.log:
			if lines = append(lines, line); strings.Contains(line, text) {
				return strings.Join(lines, "\n")
			}
			if !ok {
				p.tb.Fatalf("the program ended before it logged %q; it logged:\n%s", text, strings.Join(lines, "\n"))
			}
		case <-timeout:
			p.tb.Fatalf("the program did not log %q in time; it logged:\n%s", text, strings.Join(lines, "\n"))
		}
	}
}

// signal sends a signal to the program. It fails the test if the program has ended.
func (p *process) signal(s syscall.Signal) {
	p.tb.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.tb.Fatal(err)
	}
}

// crash kills the program and waits until it has ended. It fails the test if the program has ended before.
func (p *process) crash() {
	p.tb.Helper()
	p.signal(syscall.SIGKILL)
	_ = p.cmd.Wait() // always returns an error after a kill
}

// reload replaces the settings file, has the program read it, and returns the lines that it logs up to one that contains logText.
func (p *process) reload(text, logText string) string {
	p.tb.Helper()
	p.writeFile(text)
	p.signal(syscall.SIGHUP)
	return p.awaitLog(logText)
}

// checkEnds checks that the program exits by itself, with status 0, within a time.
func (p *process) checkEnds(within time.Duration) {
	p.tb.Helper()
	ended := make(chan error, 1)
	began := time.Now()
	go func() { ended <- p.cmd.Wait() }()
	select {
	case err := <-ended:
		if err != nil {
			p.tb.Errorf("the program ended with %v, want status 0", err)
		}
	case <-time.After(testTimeout):
		p.tb.Fatalf("the program did not end within %v", testTimeout)
	}
	if took := time.Since(began); took > within {
		p.tb.Errorf("the program took %v to end, want at most %v", took, within)
	}
}

// command returns a program that is not bound to the test's context. That context ends before the cleanup of the test stops the callers,
// which need the program until then. The program ends by itself, or the test kills it.
func command(program string, args ...string) *exec.Cmd {
	return exec.CommandContext(context.Background(), program, args...)
}

// ownProgram returns the test binary as the program, with the path of the platform's configuration, or "" for none.
func ownProgram(platform string, args ...string) *exec.Cmd {
	cmd := command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), "BE_QUINCEGAP=1", "BALANCER_CONFIG="+platform)
	return cmd
}

// killNow kills a program and waits until it has ended. It ignores the error that reports the kill.
func killNow(cmd *exec.Cmd) {
	_ = cmd.Process.Kill() // an error means that it has ended already
	_ = cmd.Wait()
}

// runUntilEnd runs the program with a settings file of the given text until it exits by itself. It returns what the program printed, and an
// error if its status was not 0.
func runUntilEnd(t *testing.T, text string) (string, error) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "sidecar.toml")
	writeFile(t, file, text)
	out, err := ownProgram("", "-config", file).CombinedOutput()
	return string(out), err
}

// runProgram starts a program on one core with a settings file of the given text, and waits until it is ready.
func runProgram(b *testing.B, program, text string) *process {
	b.Helper()
	address := freePort(b)
	file := filepath.Join(b.TempDir(), "sidecar.toml")
	writeFile(b, file, strings.Replace(text, "127.0.0.1:0", address, 1))
	sidecar := &process{tb: b, url: "http://" + address}
	sidecar.cmd = command(program, "-config", file)
	sidecar.cmd.Env = append(os.Environ(), "BALANCER_CONFIG=", "GOMAXPROCS=1")
	if err := sidecar.cmd.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { killNow(sidecar.cmd) })
	awaitReady(b, http.DefaultClient, sidecar.url, 5*time.Millisecond)
	return sidecar
}

// processStatus returns the status of a process as the kernel reports it; see proc_pid_status(5).
func processStatus(tb testing.TB, pid int) string {
	tb.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		tb.Fatal(err)
	}
	return string(status)
}

// kilobytes returns a field of a process's status, in KiB; 0 if the field is missing.
func kilobytes(status, name string) (kb float64) {
	if _, rest, ok := strings.Cut(status, name); ok {
		_, _ = fmt.Sscan(rest, &kb) // leaves 0 if the field is not a number
	}
	return kb
}

// cpuSeconds returns the CPU time that a process has used, in seconds; see proc_pid_stat(5).
func cpuSeconds(tb testing.TB, pid int) float64 {
	tb.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		tb.Fatal(err)
	}
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	var user, system float64
	if _, err := fmt.Sscan(fields[11]+" "+fields[12], &user, &system); err != nil {
		tb.Fatal(err)
	}
	return (user + system) / 100
}
