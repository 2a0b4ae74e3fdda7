package tool

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"quincegap/internal/files/atomicfile"
)

// syncBuffer is a buffer that may be read and written concurrently.
type syncBuffer struct {
	mu    sync.Mutex
	text  bytes.Buffer
	wrote chan struct{} // receives a value at a write; holds at most one
}

func (s *syncBuffer) Write(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case s.wrote <- struct{}{}:
	default:
	}
	return s.text.Write(b)
}

func (s *syncBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.String()
}

// The request in the command line that demo prints succeeds, and after demo has ended no goroutine, process or file remains.
func TestDemo(t *testing.T) {
	defer goleak.VerifyNone(t)
	program := filepath.Join(t.TempDir(), "quincegap")
	build := exec.CommandContext(t.Context(), "go", "build", "-buildvcs=false", "-o", program, "quincegap/cmd/quincegap")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build of the sidecar: %v: %s", err, out)
	}
	temp := t.TempDir()
	t.Setenv("TMPDIR", temp)
	out, errs := &syncBuffer{wrote: make(chan struct{}, 1)}, &syncBuffer{wrote: make(chan struct{}, 1)}
	c := &cli{out: printer{out}, errOut: printer{errs}, disk: atomicfile.Disk{}}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- c.runDemo(ctx, program) }()
	line := regexp.MustCompile(`(?m)^  (curl .*) http://(\S+)$`)
	var match []string
	for match == nil {
		select {
		case <-out.wrote:
			match = line.FindStringSubmatch(out.String())
		case err := <-ended:
			t.Fatalf("demo ended before it printed a command line: %v\n%s", err, errs)
		case <-time.After(30 * time.Second):
			t.Fatalf("demo printed no command line within 30 s:\n%s%s", out, errs)
		}
	}
	// The test sends the requests that curl would send, since not every machine has curl.
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for i := range 20 {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+match[2], strings.NewReader("trip=dialysis"))
		if err != nil {
			t.Fatal(err)
		}
		for _, h := range regexp.MustCompile(`-H ["']([\w-]+): ([^"']+)["']`).FindAllStringSubmatch(match[1], -1) {
			r.Header.Set(h[1], strings.ReplaceAll(h[2], "$RANDOM", fmt.Sprint(i)))
		}
		res, err := client.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(res.Body)
		if err := errors.Join(err, res.Body.Close()); err != nil {
			t.Fatal(err)
		}
		if res.StatusCode != http.StatusOK || !strings.Contains(string(body), "served POST /trips (13 bytes)") {
			t.Errorf("booking: got status %d and body %q, want 200 and the request echoed", res.StatusCode, body)
		}
	}
	cancel()
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("demo after its context was cancelled: %v", err)
		}
	case <-time.After(30 * time.Second):
		t.Fatal("demo did not end within 30 s after its context was cancelled")
	}
	if left, _ := os.ReadDir(temp); len(left) > 0 {
		t.Errorf("files remain in the temporary folder: %v", left)
	}
	client.CloseIdleConnections()
}

func TestDemoWithoutASidecar(t *testing.T) {
	defer goleak.VerifyNone(t)
	c := &cli{out: printer{io.Discard}, errOut: printer{io.Discard}, disk: atomicfile.Disk{}}
	if err := c.runDemo(context.Background(), "/nowhere/quincegap"); err == nil || !strings.Contains(err.Error(), "make builds it") {
		t.Errorf("demo with a missing sidecar program: got %v, want an error that says how to build it", err)
	}
	if err := c.runDemo(context.Background(), "/bin/false"); err == nil || !strings.Contains(err.Error(), "exited before it was listening") {
		t.Errorf("demo with a sidecar program that exits: got %v, want an error that says so", err)
	}
}
