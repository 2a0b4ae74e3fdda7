package rehearse

import (
	"bufio"
	"context"
	"io"
	"os"
	"os/exec"
	"runtime"
	"strings"
	"syscall"
)

// program is the sidecar's program, and where its files and logs go.
type program struct {
	path string
	dir  string
	env  []string // beside this process's own
	// starter runs functions on one thread that lives as long as the program is used: a child is killed when the thread that started
	// it ends, and so no sidecar outlives this process, however it ends.
	starter chan func()
}

// newProgram returns a program with its starter, which ends when its channel is closed.
func newProgram(path, dir string) *program {
	p := &program{path: path, dir: dir, starter: make(chan func())}
	go func() {
		runtime.LockOSThread()
		for f := range p.starter {
			f()
		}
	}()
	return p
}

// command returns the process of a sidecar, which is not started. It ends by itself or by signals, not with a context: its end is
// part of what is rehearsed.
func (p *program) command(config string, args []string, output io.Writer) *exec.Cmd {
	cmd := exec.CommandContext(context.Background(), p.path, args...)
	cmd.Env = append(os.Environ(), "BALANCER_CONFIG="+config, "BALANCER_NAME=", "BALANCER_LISTEN=", "BALANCER_DISCOVERY=")
	cmd.Env = append(cmd.Env, p.env...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	cmd.Stdout = output
	cmd.Stderr = output
	return cmd
}

// start starts a process on the thread of the starter.
func (p *program) start(cmd *exec.Cmd) error {
	started := make(chan error, 1)
	p.starter <- func() { started <- cmd.Start() }
	return <-started
}

// copyLog copies what the process writes to its log, and keeps the last line.
func (s *sidecar) copyLog(output io.Reader, logs io.WriteCloser) {
	defer func() { _ = logs.Close() }() // the log is for people; what is judged doesn't depend on it
	for lines := bufio.NewReader(output); ; {
		line, err := lines.ReadString('\n')
		_, _ = io.WriteString(logs, line) // likewise
		if line = strings.TrimSpace(line); line != "" {
			s.mu.Lock()
			s.lastLine = line
			s.mu.Unlock()
		}
		if err != nil {
			return
		}
	}
}

// lastLogLine returns the last line that the process has written.
func (s *sidecar) lastLogLine() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastLine
}
