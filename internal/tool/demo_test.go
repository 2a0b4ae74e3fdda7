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

// syncBuffer is a buffer that is read while others write to it.
type syncBuffer struct {
	mu    sync.Mutex
	text  bytes.Buffer
	wrote chan struct{} // signals a write
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

// The command line that demo prints works, and nothing is left after its end: no goroutine, no process, no file.
func TestDemo(t *testing.T) {
	defer goleak.VerifyNone(t)
	program := filepath.Join(t.TempDir(), "quincegap")
	build := exec.CommandContext(t.Context(), "go", "build", "-buildvcs=false", "-o", program, "quincegap/cmd/quincegap")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	temp := t.TempDir()
	t.Setenv("TMPDIR", temp)
	out, errs := &syncBuffer{wrote: make(chan struct{}, 1)}, &syncBuffer{wrote: make(chan struct{}, 1)}
	c := &command{out: printer{out}, errOut: printer{errs}, disk: atomicfile.Disk{}}
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
			t.Fatalf("%v\n%s", err, errs)
		case <-time.After(30 * time.Second):
			t.Fatalf("no line:\n%s%s", out, errs)
		}
	}
	// The request that curl would send; not every machine has curl.
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
			t.Errorf("got %d %q", res.StatusCode, body)
		}
	}
	cancel()
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(30 * time.Second):
		t.Fatal("it does not end")
	}
	if left, _ := os.ReadDir(temp); len(left) > 0 {
		t.Errorf("left over: %v", left)
	}
	client.CloseIdleConnections()
}

func TestDemoWithoutASidecar(t *testing.T) {
	defer goleak.VerifyNone(t)
	c := &command{out: printer{io.Discard}, errOut: printer{io.Discard}, disk: atomicfile.Disk{}}
	if err := c.runDemo(context.Background(), "/nowhere/quincegap"); err == nil || !strings.Contains(err.Error(), "make builds it") {
		t.Error(err)
	}
	if err := c.runDemo(context.Background(), "/bin/false"); err == nil || !strings.Contains(err.Error(), "ended at once") {
		t.Error(err)
	}
}
