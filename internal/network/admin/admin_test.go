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

// testMembers returns the content of the page /members with one endpoint.
func testMembers() (Members, bool) {
	return Members{Name: "front", Source: "consul", Endpoints: []endpointsource.Row{{UID: "a", State: "ready", Weight: 1}}}, true
}

// freeAddress returns an address on loopback that no process listens on.
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

// dial connects to a Unix socket. The connection is closed at the end of the test.
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
			t.Errorf("AskMembers(%s) returned %+v, %v; want the members of front with endpoint a", address, m, err)
		}
		stop()
		if _, err := AskMembers(t.Context(), address); err == nil {
			t.Errorf("the server at %s answers after it was stopped", address)
		}
	}
}

// The pages accept no writes. The response has status 503 if the sidecar does not answer.
func TestReadOnly(t *testing.T) {
	address := "unix:" + filepath.Join(t.TempDir(), "s")
	stop, err := Serve(address, Views{Members: func() (Members, bool) { return Members{}, false }})
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	if _, err := AskMembers(t.Context(), address); err == nil || !strings.Contains(err.Error(), "503") {
		t.Errorf("AskMembers of a sidecar that does not answer returned error %v, want status 503", err)
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
		t.Errorf("the response to POST is %.80q, want status 405", answer)
	}
}

// The socket that a killed process has left behind is replaced. The socket of a running process and a file are not.
func TestExistingSocketPath(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Serve("unix:"+path, Views{Members: testMembers}); err == nil || !strings.Contains(err.Error(), "another process") {
		t.Errorf("Serve on the socket of a running process returned error %v, want one about another process", err)
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
		t.Errorf("the socket has mode %v, error %v; want permissions 0660", info.Mode(), err)
	}
	stop()
	file := filepath.Join(t.TempDir(), "f")
	if err := os.WriteFile(file, []byte("x"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Serve("unix:"+file, Views{Members: testMembers}); err == nil {
		t.Error("Serve on the path of a file did not fail")
	}
	if text, _ := os.ReadFile(file); string(text) != "x" {
		t.Error("Serve changed or removed the file at its path")
	}
}

// Clients that keep connections open without sending a request delay other clients only for a limited time.
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
		t.Errorf("got status %s after %v, want 200 within 20 s", res.Status, took)
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
				t.Errorf("badAddress(%q) is %q; want the address to be accepted: %v", address, badAddress(address), ok)
			}
		})
	}
}
