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

// program is the sidecar's program, with the folder for its files and logs.
type program struct {
	path string
	dir  string
	env  []string // environment variables added to those of this process
	// starter runs functions on one thread that lives as long as the program is used. Pdeathsig kills a child when the thread that
	// started it ends, so no sidecar outlives this process, however it ends.
	starter chan func()
}

// newProgram returns a program and starts its thread, which ends when starter is closed.
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

// command returns the command of a sidecar process, not started. The process exits by itself or by a signal and not with a context,
// because its exit is part of the rehearsal.
func (p *program) command(config string, args []string, output io.Writer) *exec.Cmd {
	cmd := exec.CommandContext(context.Background(), p.path, args...)
	cmd.Env = append(os.Environ(), "BALANCER_CONFIG="+config, "BALANCER_NAME=", "BALANCER_LISTEN=", "BALANCER_DISCOVERY=")
	cmd.Env = append(cmd.Env, p.env...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	cmd.Stdout = output
	cmd.Stderr = output
	return cmd
}

// start starts a process on the starter thread.
func (p *program) start(cmd *exec.Cmd) error {
	started := make(chan error, 1)
	p.starter <- func() { started <- cmd.Start() }
	return <-started
}

// copyLog copies the process's output to its log file, and stores the last line that is not empty.
func (s *sidecar) copyLog(output io.Reader, logs io.WriteCloser) {
	defer func() { _ = logs.Close() }() // errors are ignored: the verdict does not depend on the log
	for lines := bufio.NewReader(output); ; {
		line, err := lines.ReadString('\n')
		_, _ = io.WriteString(logs, line) // ignored for the same reason
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

// lastLogLine returns the last line that the process wrote and that is not empty.
func (s *sidecar) lastLogLine() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastLine
}
