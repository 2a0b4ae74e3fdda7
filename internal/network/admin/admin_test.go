package admin

import (
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"quincegap/internal/modules/endpointsource"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testMembers returns a page with one endpoint.
func testMembers() (Members, bool) {
	return Members{Name: "front", Source: "consul", Endpoints: []endpointsource.Row{{UID: "a", State: "ready", Weight: 1}}}, true
}

// freeAddress returns an address on loopback that nothing listens on.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	return l.Addr().String()
}

// dial connects to a Unix socket; the test's end closes the connection.
func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := (&net.Dialer{}).DialContext(t.Context(), "unix", strings.TrimPrefix(address, unixPrefix))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := c.Close(); err != nil {
			t.Error(err)
		}
	})
	return c
}

func TestServeAndAsk(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	for _, address := range []string{"unix:" + path, "127.0.0.1:0"} {
		if address == "127.0.0.1:0" {
			address = freeAddress(t)
		}
		stop, err := Serve(address, Views{Members: testMembers})
		if err != nil {
			t.Fatal(err)
		}
		m, err := AskMembers(t.Context(), address)
		if err != nil || m.Name != "front" || len(m.Endpoints) != 1 || m.Endpoints[0].UID != "a" {
			t.Errorf("%s: %+v, %v", address, m, err)
		}
		stop()
		if _, err := AskMembers(t.Context(), address); err == nil {
			t.Errorf("%s answers after its end", address)
		}
	}
}

// The pages can't be written to. The answer is 503 if the sidecar does not answer.
func TestReadOnly(t *testing.T) {
	address := "unix:" + filepath.Join(t.TempDir(), "s")
	stop, err := Serve(address, Views{Members: func() (Members, bool) { return Members{}, false }})
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	if _, err := AskMembers(t.Context(), address); err == nil || !strings.Contains(err.Error(), "503") {
		t.Error(err)
	}
	c := dial(t, address)
	if _, err := io.WriteString(c, "POST /members HTTP/1.0\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	answer, err := io.ReadAll(c)
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(answer), "405") {
		t.Errorf("%.80s", answer)
	}
}

// A socket that a killed process left is replaced; the socket of a running process and a file are not.
func TestExistingSocketPath(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Serve("unix:"+path, Views{Members: testMembers}); err == nil || !strings.Contains(err.Error(), "another process") {
		t.Error(err)
	}
	l.SetUnlinkOnClose(false)
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	stop, err := Serve("unix:"+path, Views{Members: testMembers})
	if err != nil {
		t.Fatal(err)
	}
	if info, err := os.Stat(path); err != nil || info.Mode().Perm() != 0o660 {
		t.Errorf("%v, %v", info.Mode(), err)
	}
	stop()
	file := filepath.Join(t.TempDir(), "f")
	if err := os.WriteFile(file, []byte("x"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Serve("unix:"+file, Views{Members: testMembers}); err == nil {
		t.Error("a file was taken for a socket")
	}
	if text, _ := os.ReadFile(file); string(text) != "x" {
		t.Error("the file is gone")
	}
}

// Clients that keep connections open without a request delay others for a limited time only.
func TestClientsWithoutRequest(t *testing.T) {
	address := "unix:" + filepath.Join(t.TempDir(), "s")
	stop, err := Serve(address, Views{Members: testMembers})
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	for range 3 * maxConns {
		dial(t, address)
	}
	began := time.Now()
	client := &http.Client{Transport: newTransport(address)}
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://sidecar/members", nil)
	if err != nil {
		t.Fatal(err)
	}
	res, err := client.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	if err := res.Body.Close(); err != nil {
		t.Error(err)
	}
	if took := time.Since(began); res.StatusCode != http.StatusOK || took > 20*time.Second {
		t.Errorf("%s after %v", res.Status, took)
	}
}

func TestBadAddress(t *testing.T) {
	for address, ok := range map[string]bool{
		"unix:/run/x":     true,
		"127.0.0.1:80":    true,
		"[::1]:80":        true,
		"0.0.0.0:80":      false,
		":80":             false,
		"10.0.0.1:80":     false,
		"unix:":           false,
		"localhost":       false,
		"host.example:80": false,
		"127.0.0.1:":      false,

		"unix:" + strings.Repeat("x", 200): false,
	} {
		t.Run(address, func(t *testing.T) {
			if got := badAddress(address) == ""; got != ok {
				t.Errorf("%q", badAddress(address))
			}
		})
	}
}
