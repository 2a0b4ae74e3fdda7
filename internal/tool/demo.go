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
	demoReadyTimeout = 10 * time.Second      // for the sidecar to serve
	demoStopTimeout  = 10 * time.Second      // for it to end after SIGTERM
	demoPollInterval = 20 * time.Millisecond // of its readiness
)

// demoCommand declares the command demo.
func (c *command) demoCommand() *cobra.Command {
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

// runDemo runs the demonstration until the context ends.
func (c *command) runDemo(ctx context.Context, program string) (err error) {
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
	text := fmt.Sprintf(demoFile, doc.Quote(discovery.Address()))
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

// showDemo waits until the sidecar serves, prints how to try it, and waits until the context or the sidecar ends.
func (c *command) showDemo(ctx context.Context, sidecar *demoSidecar) error {
	ready, cancel := context.WithTimeout(ctx, demoReadyTimeout)
	defer cancel()
	var address string
	select {
	case address = <-sidecar.address:
	case <-sidecar.ended:
		return fmt.Errorf("the sidecar ended at once: %w", sidecar.result())
	case <-ready.Done():
		return unlessCancelled(ctx, errors.New("the sidecar did not come up"))
	}
	if err := waitUntilReady(ready, "http://"+address+"/ready"); err != nil {
		return unlessCancelled(ctx, err)
	}
	c.out.printf("\nA sidecar serves on %s and balances over %d endpoints. Book a trip:\n\n  %s\n\nCtrl-C ends it.\n",
		address, demoEndpoints, curlCommand(address))
	select {
	case <-ctx.Done():
		c.out.println("\nending")
		return nil
	case <-sidecar.ended:
		return fmt.Errorf("the sidecar ended: %w", sidecar.result())
	}
}

// demoSidecar is a sidecar's process. Whoever starts it has to call stop.
type demoSidecar struct {
	process *exec.Cmd
	address chan string   // gets the address that it listens on, from its log
	ended   chan struct{} // closed after the process has ended
	err     error         // of the process; valid after ended is closed
}

// errEndedByItself is the result of a sidecar that ended without an error and without a signal to do so.
var errEndedByItself = errors.New("by itself, without an error")

// startDemoSidecar starts a sidecar whose log is copied to log.
func startDemoSidecar(ctx context.Context, program, file string, log printer) (*demoSidecar, error) {
	// The process outlives the context: stop ends it gracefully.
	process := exec.CommandContext(context.WithoutCancel(ctx), program, "-config", file)
	// It has no platform's configuration. It is in a process group of its own, so that Ctrl-C reaches this process alone.
	process.Env = append(os.Environ(), "BALANCER_CONFIG=", "BALANCER_NAME=", "BALANCER_LISTEN=", "BALANCER_DISCOVERY=")
	process.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	logs, err := process.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := process.Start(); err != nil {
		return nil, fmt.Errorf("the sidecar cannot be started (make builds it): %w", err)
	}
	s := &demoSidecar{process: process, address: make(chan string, 1), ended: make(chan struct{})}
	go func() {
		defer close(s.ended)
		s.passLog(logs, log)
		s.err = process.Wait()
	}()
	return s, nil
}

// passLog copies the sidecar's log until its end, and sends the address that the sidecar listens on.
func (s *demoSidecar) passLog(logs io.Reader, log printer) {
	lines := bufio.NewScanner(logs)
	for lines.Scan() {
		log.println("sidecar: " + lines.Text())
		if m := servingLine.FindStringSubmatch(lines.Text()); m != nil {
			select {
			case s.address <- m[1]:
			default: // the address has been sent already
			}
		}
	}
	// The scanner stops at a line that is too long. The rest has to be read, or the sidecar would block on its log.
	_, _ = io.Copy(io.Discard, logs)
}

// result returns why the sidecar has ended; never nil.
func (s *demoSidecar) result() error {
	if s.err == nil {
		return errEndedByItself
	}
	return s.err
}

// stop ends the sidecar and waits for it. After demoStopTimeout it kills the sidecar and returns an error.
func (s *demoSidecar) stop() error {
	select {
	case <-s.ended:
		return nil
	default:
	}
	if err := s.process.Process.Signal(syscall.SIGTERM); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	late := time.NewTimer(demoStopTimeout)
	defer late.Stop()
	select {
	case <-s.ended:
		return nil
	case <-late.C:
	}
	err := s.process.Process.Kill()
	<-s.ended
	return errors.Join(errors.New("the sidecar did not end by itself"), err)
}

// unlessCancelled returns err, or nil if the user ended the demonstration meanwhile.
func unlessCancelled(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// waitUntilReady polls the sidecar's readiness until it has a list of endpoints.
func waitUntilReady(ctx context.Context, url string) error {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return err
		}
		if answer, err := client.Do(r); err == nil {
			if err := answer.Body.Close(); err == nil && answer.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return errors.New("the sidecar did not become ready")
		case <-time.After(demoPollInterval):
		}
	}
}

// curlCommand returns a command line that books a trip, with a new transaction ID and key each time that a shell runs it.
func curlCommand(address string) string {
	return `curl -i -d 'trip=dialysis' -H "X-Txn: $RANDOM$RANDOM" -H 'X-Lane: book-trip' -H 'X-Remaining: 6000m' ` +
		`-H "Idempotency-Key: $RANDOM" http://` + address + `/trips`
}

const demoFile = `[sidecar]
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
