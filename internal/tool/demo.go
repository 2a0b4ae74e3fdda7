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

// demoCommand declares demo.
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

// servingLine is the sidecar's line that tells where it listens.
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

// showDemo waits until the sidecar serves, says how to try it, and waits for the end.
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

// demoSidecar is a sidecar's process. It belongs to who started it, who stops it.
type demoSidecar struct {
	process *exec.Cmd
	address chan string   // where it listens, once it says so
	ended   chan struct{} // closed when it has ended
	err     error         // of its end; to be read after ended
}

// errEndedByItself is the result of a sidecar that ended without an error, though nobody asked it to.
var errEndedByItself = errors.New("by itself, without an error")

// startDemoSidecar starts a sidecar and passes its log on.
func startDemoSidecar(ctx context.Context, program, file string, log printer) (*demoSidecar, error) {
	// It outlives the context: stop ends it in order.
	process := exec.CommandContext(context.WithoutCancel(ctx), program, "-config", file)
	// Without a platform's configuration, and not in this process's group: Ctrl-C is for this one to pass on.
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

// passLog passes the sidecar's log on until its end, and finds where it listens.
func (s *demoSidecar) passLog(logs io.Reader, log printer) {
	lines := bufio.NewScanner(logs)
	for lines.Scan() {
		log.println("sidecar: " + lines.Text())
		if m := servingLine.FindStringSubmatch(lines.Text()); m != nil {
			select {
			case s.address <- m[1]:
			default: // it is known already
			}
		}
	}
	// Behind a line that is too long to show the log goes on; it has to be read for the sidecar to go on. An error is its end.
	_, _ = io.Copy(io.Discard, logs)
}

// result is the error of a sidecar that has ended.
func (s *demoSidecar) result() error {
	if s.err == nil {
		return errEndedByItself
	}
	return s.err
}

// stop ends the sidecar and waits for it. It is killed, which is an error, where it takes longer than demoStopTimeout.
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

// unlessCancelled is nil where the demonstration was ended before it had begun.
func unlessCancelled(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// waitUntilReady waits until a sidecar has a list of endpoints.
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

// curlCommand is a command line that books a trip: each time with an id of its own, as the protocol asks for.
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
