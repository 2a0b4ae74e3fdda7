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
	demoReadyTimeout = 10 * time.Second // for the sidecar to serve
	demoStopTimeout  = 10 * time.Second // for it to end after it was told to
)

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
		e, err := booking.StartEndpoint(fmt.Sprintf("box-%d", i+1), nil)
		if err != nil {
			return err
		}
		defer e.Close()
		targets = append(targets, e.Target())
	}
	discovery, err := booking.StartDiscovery("", targets...)
	if err != nil {
		return err
	}
	defer discovery.Close()

	dir, err := os.MkdirTemp("", "quincegap-demo-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	file := filepath.Join(dir, "demo.toml")
	text := fmt.Sprintf(demoFile, doc.Quote(discovery.Address()))
	if err := atomicfile.Write(c.disk, atomicfile.File{Path: file, Content: []byte(text), Mode: fileMode}); err != nil {
		return err
	}

	sidecar := exec.Command(program, "-config", file)
	// Without a platform's configuration, and not in this process's group: Ctrl-C is for this one to pass on.
	sidecar.Env = append(os.Environ(), "BALANCER_CONFIG=", "BALANCER_NAME=", "BALANCER_LISTEN=", "BALANCER_DISCOVERY=")
	sidecar.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	logs, err := sidecar.StderrPipe()
	if err != nil {
		return err
	}
	if err := sidecar.Start(); err != nil {
		return fmt.Errorf("the sidecar cannot be started (make builds it): %w", err)
	}
	address := make(chan string, 1)
	ended := make(chan error, 1)
	go func() {
		lines := bufio.NewScanner(logs)
		for lines.Scan() {
			fmt.Fprintln(c.errOut, "sidecar: "+lines.Text())
			if m := servingLine.FindStringSubmatch(lines.Text()); m != nil {
				select {
				case address <- m[1]:
				default:
				}
			}
		}
		io.Copy(io.Discard, logs) // a line too long to show
		ended <- sidecar.Wait()
	}()
	defer func() {
		select {
		case <-ended:
			return
		default:
		}
		sidecar.Process.Signal(syscall.SIGTERM)
		late := time.NewTimer(demoStopTimeout)
		defer late.Stop()
		select {
		case <-ended:
		case <-late.C:
			sidecar.Process.Kill()
			<-ended
			err = errors.Join(err, errors.New("the sidecar did not end by itself"))
		}
	}()

	ready, cancel := context.WithTimeout(ctx, demoReadyTimeout)
	defer cancel()
	var at string
	select {
	case at = <-address:
	case err := <-ended:
		ended <- err
		return fmt.Errorf("the sidecar ended at once: %v", err)
	case <-ready.Done():
		return unlessCancelled(ctx, errors.New("the sidecar did not come up"))
	}
	if err := waitUntilReady(ready, "http://"+at+"/ready"); err != nil {
		return unlessCancelled(ctx, err)
	}
	fmt.Fprintf(c.out, "\nA sidecar serves on %s and balances over %d endpoints. Book a trip:\n\n  %s\n\nCtrl-C ends it.\n", at, demoEndpoints, curlCommand(at))
	select {
	case <-ctx.Done():
		fmt.Fprintln(c.out, "\nending")
		return nil
	case err := <-ended:
		ended <- err
		return fmt.Errorf("the sidecar ended: %v", err)
	}
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
		if res, err := client.Do(r); err == nil {
			res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return errors.New("the sidecar did not become ready")
		case <-time.After(20 * time.Millisecond):
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
