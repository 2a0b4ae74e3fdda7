package consul

import (
	"encoding/pem"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"quincegap/internal/modules/endpointsource"
)

// The settings are sent as parameters of the queries, under the names in Consul's API.
func TestQueryParameters(t *testing.T) {
	asked := make(chan *http.Request, 100)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Consul-Index", "7")
		w.Header().Set("X-Consul-KnownLeader", "true")
		select {
		case asked <- r.Clone(r.Context()):
		default:
		}
		if r.URL.Query().Get("index") != "" {
			<-r.Context().Done()
		}
		_, _ = w.Write([]byte("[]")) // the watcher may be gone
	}))
	t.Cleanup(server.Close)
	token := filepath.Join(t.TempDir(), "token")
	if err := os.WriteFile(token, []byte("s3cret"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		consistency Consistency
		want        string
	}{
		{Stale, `dc=east&filter="v2" in Service.Tags&ns=transport&partition=south&stale=`},
		{Default, `dc=east&filter="v2" in Service.Tags&ns=transport&partition=south`},
		{Consistent, `consistent=&dc=east&filter="v2" in Service.Tags&ns=transport&partition=south`},
	} {
		for len(asked) > 0 {
			<-asked
		}
		watcher := startWatcher(t, func(s *Settings) {
			s.Agents = server.Listener.Addr().String()
			s.Tag = "v2"
			s.Datacenter = "east"
			s.Namespace = "transport"
			s.Partition = "south"
			s.Consistency = test.consistency
			s.TokenFile = token
		})
		first, second := <-asked, <-asked
		query, _ := url.QueryUnescape(first.URL.RawQuery)
		if first.URL.Path != "/v1/health/service/x" || query != test.want || first.Header.Get("X-Consul-Token") != "s3cret" {
			t.Errorf("the first query is %s?%s, want parameters %s; token %q, want s3cret",
				first.URL.Path, query, test.want, first.Header.Get("X-Consul-Token"))
		}
		q := second.URL.Query()
		wait, err := time.ParseDuration(q.Get("wait"))
		if q.Get("index") != "7" || err != nil || wait <= 800*time.Millisecond || wait > time.Second {
			t.Errorf("the parameters of the second query are %s, want index=7 and a wait of 0.8 to 1 s", second.URL.RawQuery)
		}
		watcher.stop()
	}
}

// The token is read again before each query, from the file and not from the environment, and is never logged.
func TestTokenIsReadAgain(t *testing.T) {
	agent := startAgent(t, "a")
	agent.SetToken("one")
	file := filepath.Join(t.TempDir(), "token")
	writeToken := func(token string) {
		t.Helper()
		if err := os.WriteFile(file+".new", []byte(token+"\n"), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(file+".new", file); err != nil {
			t.Fatal(err)
		}
	}
	writeToken("one")
	t.Setenv("CONSUL_HTTP_TOKEN", "of the environment")
	var logged lockedText
	log.SetOutput(&logged)
	defer log.SetOutput(os.Stderr)
	watcher := startWatcher(t, func(s *Settings) { s.TokenFile = file }, agent)
	watcher.awaitReady("a")
	agent.SetToken("two") // revoked
	agent.SetStatus("a", "critical")
	writeToken("two")
	watcher.awaitReady()
	watcher.stop()
	if strings.Contains(logged.String(), "one") || strings.Contains(logged.String(), "two") || !strings.Contains(logged.String(), "answers") {
		t.Errorf("the log is %q, want a line about the answer and no token", logged.String())
	}
}

func TestTLS(t *testing.T) {
	agent := startAgent(t, "a")
	tlsServer := httptest.NewTLSServer(agent)
	defer tlsServer.Close()
	ca := filepath.Join(t.TempDir(), "ca.pem")
	text := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: tlsServer.Certificate().Raw})
	if err := os.WriteFile(ca, text, 0o600); err != nil {
		t.Fatal(err)
	}
	configureTLS := func(name string) func(s *Settings) {
		return func(s *Settings) {
			s.TLS = true
			s.CAFile = ca
			s.ServerName = name
			s.Agents = tlsServer.Listener.Addr().String()
		}
	}
	watcher := startWatcher(t, configureTLS("example.com"), agent)
	watcher.awaitReady("a")
	watcher.stop()
	var logged lockedText
	log.SetOutput(&logged)
	defer log.SetOutput(os.Stderr)
	mismatched := startWatcher(t, configureTLS("another.example"), startAgent(t, "a"))
	mismatched.waitFor("the rejection of the server's certificate", func() bool {
		return strings.Contains(logged.String(), "certificate is valid for example.com")
	})
	mismatched.stop()
	if len(mismatched.answers) > 0 {
		t.Error("the watcher accepted an answer of a server with another name in its certificate")
	}
	s := *Table.Default()
	s.Agents = "127.0.0.1:1"
	s.TLS = true
	s.CAFile = filepath.Join(t.TempDir(), "none")
	if _, err := New(s, endpointsource.ModeConsul, samePath); err == nil {
		t.Error("New with a missing CA file did not fail")
	}
}

// Agents that refuse connections or do not speak HTTP are skipped.
func TestUnusableAgents(t *testing.T) {
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var acceptLoop sync.WaitGroup
	acceptLoop.Go(func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = c.Write([]byte("\x00\x01\x02\r\n\r\n")) // the watcher may have closed it
			_ = c.Close()
		}
	})
	defer func() {
		if err := listener.Close(); err != nil {
			t.Error(err)
		}
		acceptLoop.Wait()
	}()
	agent := startAgent(t, "a")
	watcher := startWatcher(t, func(s *Settings) {
		s.Agents = "127.0.0.1:1," + listener.Addr().String() + "," + agent.Address()
	}, agent)
	watcher.awaitReady("a")
}
