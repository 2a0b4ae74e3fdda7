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

// sidecarFile is the settings file of a sidecar, without the address of discovery. It listens on a port of the system's choice.
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

// process is a running sidecar.
type process struct {
	tb        testing.TB
	cmd       *exec.Cmd
	file      string // the path of its settings file
	url       string
	startLog  string            // what it logged until it served
	log       chan string       // the lines that it logs; closed when it has ended
	logEnded  chan struct{}     // closed when it has ended
	transport http.RoundTripper // what its callers use; nil for one of their own
}

// kill ends the program at once and waits until it has ended: until then its sockets are open, and another process cannot
// listen on their ports.
func (p *process) kill() {
	_ = p.cmd.Process.Kill() // it may have ended already
	<-p.logEnded
	_ = p.cmd.Wait() // it ends with an error
}

// launch starts the program with a settings file of the given text, and waits until it is ready.
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

// writeFile replaces the program's settings file atomically.
func (p *process) writeFile(text string) {
	p.tb.Helper()
	replaceFile(p.tb, p.file, text)
}

// awaitLog waits for a line of the log that contains a text, and returns the lines up to it.
func (p *process) awaitLog(word string) string {
	p.tb.Helper()
	timeout := time.After(testTimeout)
	var lines []string
	for {
		select {
		case line, ok := <-p.log:
			if lines = append(lines, line); strings.Contains(line, word) {
				return strings.Join(lines, "\n")
			}
			if !ok {
				p.tb.Fatalf("it ended before it logged %q:\n%s", word, strings.Join(lines, "\n"))
			}
		case <-timeout:
			p.tb.Fatalf("it never logged %q:\n%s", word, strings.Join(lines, "\n"))
		}
	}
}

func (p *process) signal(s syscall.Signal) {
	p.tb.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.tb.Fatal(err)
	}
}

// crash kills the program and waits until it has ended. It fails if the program has ended before.
func (p *process) crash() {
	p.tb.Helper()
	p.signal(syscall.SIGKILL)
	_ = p.cmd.Wait() // it ends with an error
}

// reload replaces the settings file, has the program read it, and returns what it logs up to a line that contains a text.
func (p *process) reload(text, word string) string {
	p.tb.Helper()
	p.writeFile(text)
	p.signal(syscall.SIGHUP)
	return p.awaitLog(word)
}

// checkEnds checks that the program ends by itself, with status 0, within a time.
func (p *process) checkEnds(within time.Duration) {
	p.tb.Helper()
	ended := make(chan error, 1)
	began := time.Now()
	go func() { ended <- p.cmd.Wait() }()
	select {
	case err := <-ended:
		if err != nil {
			p.tb.Errorf("it ended with %v", err)
		}
	case <-time.After(testTimeout):
		p.tb.Fatal("it does not end")
	}
	if took := time.Since(began); took > within {
		p.tb.Errorf("it took %v to end", took)
	}
}

// command returns a program that is not bound to the test's context, which ends before the callers do: they book until their
// cleanup. The program ends by itself, or its test kills it.
func command(program string, args ...string) *exec.Cmd {
	return exec.CommandContext(context.Background(), program, args...)
}

// ownProgram returns this test binary as the program, with the path of the platform's configuration, or "" for none.
func ownProgram(platform string, args ...string) *exec.Cmd {
	cmd := command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), "BE_QUINCEGAP=1", "BALANCER_CONFIG="+platform)
	return cmd
}

// killNow kills a program and waits until it has ended. That it was killed is reported as an error, which is ignored.
func killNow(cmd *exec.Cmd) {
	_ = cmd.Process.Kill() // it may have ended already
	_ = cmd.Wait()
}

// runUntilEnd runs the program with a settings file until it ends by itself, and returns what it printed.
func runUntilEnd(t *testing.T, text string) (string, error) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "sidecar.toml")
	writeFile(t, file, text)
	out, err := ownProgram("", "-config", file).CombinedOutput()
	return string(out), err
}

// runProgram starts a program on one core with a settings file, and waits until it is ready.
func runProgram(b *testing.B, program, text string) *process {
	b.Helper()
	address := freePort(b)
	file := filepath.Join(b.TempDir(), "sidecar.toml")
	writeFile(b, file, strings.Replace(text, "127.0.0.1:0", address, 1))
	p := &process{tb: b, url: "http://" + address}
	p.cmd = command(program, "-config", file)
	p.cmd.Env = append(os.Environ(), "BALANCER_CONFIG=", "GOMAXPROCS=1")
	if err := p.cmd.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { killNow(p.cmd) })
	awaitReady(b, http.DefaultClient, p.url, 5*time.Millisecond)
	return p
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

// kilobytes returns a field of a process's status, in KiB; 0 if it is missing.
func kilobytes(status, name string) (kb float64) {
	if _, rest, ok := strings.Cut(status, name); ok {
		_, _ = fmt.Sscan(rest, &kb) // 0 if it is no number
	}
	return kb
}

// cpuSeconds returns the CPU time that a process has used, in seconds.
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
