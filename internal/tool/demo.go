package tool

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"quincegap/internal/config/doc"
	"quincegap/internal/files/atomicfile"
	"quincegap/internal/standin/booking"
)

const (
	demoEndpoints    = 3
	demoReadyTimeout = 10 * time.Second      // time limit for the sidecar to start and become ready
	demoStopTimeout  = 10 * time.Second      // time limit for the sidecar to exit after SIGTERM
	demoPollInterval = 20 * time.Millisecond // pause between requests for the sidecar's readiness
)

// demoCommand returns the command demo.
func (c *cli) demoCommand() *cobra.Command {
	var program string
	cmd := &cobra.Command{
		Use: "demo", Short: "Run a sidecar with a discovery and three endpoints on loopback", Args: cobra.NoArgs,
		Long: "demo starts a real sidecar on a free loopback port, with a discovery and three small endpoints inside\n" +
			"this process, prints a line to try it with, and ends all of it on Ctrl-C.",
		RunE: func(*cobra.Command, []string) error {
			ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			if program == "" {
				self, err := os.Executable()
				if err != nil {
					return runError{err}
				}
				program = filepath.Join(filepath.Dir(self), "quincegap")
			}
			if err := c.runDemo(ctx, program); err != nil {
				return runError{err}
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&program, "sidecar", "", "the sidecar's program (quincegap beside this one)")
	return cmd
}

// servingLine matches the sidecar's log line with the address that it listens on.
var servingLine = regexp.MustCompile(`serving on (127\.0\.0\.1:\d+)`)

// runDemo starts endpoints, a discovery server and a sidecar, and stops them when ctx is cancelled. It returns an error if one of them can't
// be started, or if the sidecar does not become ready or exits before ctx is cancelled.
func (c *cli) runDemo(ctx context.Context, program string) (err error) {
	var targets []booking.Target
	for i := range demoEndpoints {
		e, err := booking.StartEndpoint(fmt.Sprintf("box-%d", i+1), nil) //nolint:contextcheck // it runs until it is closed
		if err != nil {
			return err
		}
		defer e.Close()
		targets = append(targets, e.Target())
	}
	discovery, err := booking.StartDiscovery("", targets...) //nolint:contextcheck // it runs until it is closed
	if err != nil {
		return err
	}
	defer discovery.Close()

	dir, err := os.MkdirTemp("", "quincegap-demo-")
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(dir)) }()
	file := filepath.Join(dir, "demo.toml")
	text := fmt.Sprintf(demoConfig, doc.Quote(discovery.Address()))
	if err := atomicfile.Write(c.disk, atomicfile.File{Path: file, Content: []byte(text), Mode: fileMode}); err != nil {
		return err
	}
	sidecar, err := startDemoSidecar(ctx, program, file, c.errOut)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, sidecar.stop()) }()
	return c.showDemo(ctx, sidecar)
}

// showDemo waits until the sidecar is ready, prints a command line to try it with, and waits until ctx is cancelled or the sidecar exits.
func (c *cli) showDemo(ctx context.Context, sidecar *demoSidecar) error {
	ready, cancel := context.WithTimeout(ctx, demoReadyTimeout)
	defer cancel()
	var address string
	select {
	case address = <-sidecar.address:
	case <-sidecar.exited:
		return fmt.Errorf("the sidecar exited before it was listening: %w", sidecar.exitReason())
	case <-ready.Done():
		return ignoreIfCancelled(ctx, errors.New("the sidecar did not log its listen address in time"))
	}
	if err := waitUntilReady(ready, "http://"+address+"/ready"); err != nil {
		return ignoreIfCancelled(ctx, err)
	}
	c.out.printf("\nA sidecar serves on %s and balances over %d endpoints. Book a trip:\n\n  %s\n\nCtrl-C ends it.\n",
		address, demoEndpoints, curlCommand(address))
	select {
	case <-ctx.Done():
		c.out.println("\nending")
		return nil
	case <-sidecar.exited:
		return fmt.Errorf("the sidecar exited: %w", sidecar.exitReason())
	}
}

// demoSidecar is the process of a sidecar. The caller of startDemoSidecar has to call stop.
type demoSidecar struct {
	process *exec.Cmd
	address chan string   // receives the sidecar's listen address, read from its log
	exited  chan struct{} // closed after the process has exited
	waitErr error         // result of waiting for the process; valid after exited is closed
}

// errUnexpectedExit is the reason for the exit of a sidecar that exited with status 0 without having been told to.
var errUnexpectedExit = errors.New("status 0, without a signal to stop")

// startDemoSidecar starts a sidecar with a configuration file, and copies its log to log.
func startDemoSidecar(ctx context.Context, program, file string, log printer) (*demoSidecar, error) {
	// Cancelling ctx must not kill the process, since stop shuts it down gracefully.
	process := exec.CommandContext(context.WithoutCancel(ctx), program, "-config", file)
	// The empty variables keep a platform's configuration in this environment from the sidecar. The sidecar has its own process group, so
	// that Ctrl-C signals only this process, which then stops the sidecar.
	process.Env = append(os.Environ(), "BALANCER_CONFIG=", "BALANCER_NAME=", "BALANCER_LISTEN=", "BALANCER_DISCOVERY=")
	process.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	logs, err := process.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := process.Start(); err != nil {
		return nil, fmt.Errorf("start the sidecar (make builds it): %w", err)
	}
	s := &demoSidecar{process: process, address: make(chan string, 1), exited: make(chan struct{})}
	go func() {
		defer close(s.exited)
		s.forwardLog(logs, log)
		s.waitErr = process.Wait()
	}()
	return s, nil
}

// forwardLog copies the sidecar's log to log until the sidecar closes it, and sends the listen address in it to the channel address.
func (s *demoSidecar) forwardLog(logs io.Reader, log printer) {
	lines := bufio.NewScanner(logs)
	for lines.Scan() {
		log.println("sidecar: " + lines.Text())
		if m := servingLine.FindStringSubmatch(lines.Text()); m != nil {
			select {
			case s.address <- m[1]:
			default: // the buffer still holds an earlier address
			}
		}
	}
	// The scanner stops at a line that is too long. The rest of the log still has to be read, or the sidecar would block when the pipe is full.
	_, _ = io.Copy(io.Discard, logs)
}

// exitReason returns why the sidecar has exited. It never returns nil, and may be called only after exited is closed.
func (s *demoSidecar) exitReason() error {
	if s.waitErr == nil {
		return errUnexpectedExit
	}
	return s.waitErr
}

// stop sends SIGTERM to the sidecar and waits for its exit. After demoStopTimeout it kills the sidecar and returns an error.
func (s *demoSidecar) stop() error {
	select {
	case <-s.exited:
		return nil
	default:
	}
	if err := s.process.Process.Signal(syscall.SIGTERM); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	timeout := time.NewTimer(demoStopTimeout)
	defer timeout.Stop()
	select {
	case <-s.exited:
		return nil
	case <-timeout.C:
	}
	err := s.process.Process.Kill()
	<-s.exited
	return errors.Join(errors.New("the sidecar did not exit after SIGTERM and was killed"), err)
}

// ignoreIfCancelled returns nil if ctx is cancelled, since errors are expected after the user has stopped the demonstration, and else err.
func ignoreIfCancelled(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// waitUntilReady polls the sidecar's readiness URL until it answers 200, which means that the sidecar has a list of endpoints. It returns an
// error if ctx ends first.
func waitUntilReady(ctx context.Context, url string) error {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return err
		}
		if response, err := client.Do(request); err == nil {
			if err := response.Body.Close(); err == nil && response.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return errors.New("the sidecar did not become ready in time")
		case <-time.After(demoPollInterval):
		}
	}
}

// curlCommand returns a shell command line that books a trip, with a new transaction ID and idempotency key in each run.
func curlCommand(address string) string {
	return `curl -i -d 'trip=dialysis' -H "X-Txn: $RANDOM$RANDOM" -H 'X-Lane: book-trip' -H 'X-Remaining: 6000m' ` +
		`-H "Idempotency-Key: $RANDOM" http://` + address + `/trips`
}

// demoConfig is the format of the demo sidecar's configuration file; its argument is the quoted address of the discovery server.
const demoConfig = `[sidecar]
application = "booking-front.example.org"
listen = "127.0.0.1:0"

[discovery]
address = %s

[limits]
memory = "64MiB"
sockets = 512

[class.book-trip]
aim = "2500ms"
deadline = "6s"
effect = "keyed"
key_scope = "cell"
key_window = "10s"

[class.find-trip]
aim = "1s"
deadline = "3s"
effect = "safe"
`
