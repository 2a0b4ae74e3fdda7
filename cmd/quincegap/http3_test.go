package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"quincegap/internal/standin/authority"
	"quincegap/internal/standin/booking"
	"quincegap/internal/standin/h3"
	"quincegap/internal/standin/udp"
)

const http3File = `
[http3]
http3_listen = %q
http3_cert_file = %q
http3_key_file = %q
http3_secret_file = %q
early_data = "safe"
alt_svc = "1h"
`

// desk is a clinic's: callers over HTTP/3 of a sidecar.
type desk struct {
	t         testing.TB
	ca        *authority.Authority
	dir       string
	cert, key string
	secret    string
	seen      sync.Map // names of certificates that were shown
}

func newDesk(t testing.TB) *desk {
	d := &desk{t: t, ca: trust(t), dir: t.TempDir()}
	d.secret = d.put("secret", []byte(strings.Repeat("s3cret", 6)))
	d.renew("front.example.org")
	return d
}

func (d *desk) put(name string, text []byte) string {
	d.t.Helper()
	at := filepath.Join(d.dir, name)
	if err := os.WriteFile(at+".new", text, 0o600); err != nil {
		d.t.Fatal(err)
	}
	if err := os.Rename(at+".new", at); err != nil {
		d.t.Fatal(err)
	}
	return at
}

// renew puts a new certificate in the place of the one before.
func (d *desk) renew(name string) {
	cert, key := issue(d.t, d.ca, name)
	d.key = d.put("key.pem", key)
	d.cert = d.put("cert.pem", cert)
}

func (d *desk) text(discovery, listen string) string {
	return fmt.Sprintf(goodFile, discovery) + fmt.Sprintf(http3File, listen, d.cert, d.key, d.secret)
}

// udpOf is the UDP address that a sidecar has said it listens at.
func udpOf(p *process) string {
	return regexp.MustCompile(`HTTP/3 on (127\.0\.0\.1:\d+)`).FindStringSubmatch(p.start)[1]
}

// caller is a client over HTTP/3; it takes any name that the authority has signed.
func (d *desk) caller(cache tls.ClientSessionCache) *http3.Transport {
	conf := &tls.Config{
		InsecureSkipVerify: true, ClientSessionCache: cache, ServerName: "front.example.org",
		VerifyConnection: func(s tls.ConnectionState) error {
			d.seen.Store(s.PeerCertificates[0].Subject.CommonName, true)
			_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: d.ca.Pool()})
			return err
		},
	}
	c := &http3.Transport{TLSClientConfig: conf, QUICConfig: &quic.Config{MaxIdleTimeout: 10 * time.Second, KeepAlivePeriod: 200 * time.Millisecond}}
	d.t.Cleanup(func() { c.Close() })
	return c
}

func (d *desk) shown(name string) bool {
	_, ok := d.seen.Load(name)
	return ok
}

// over makes the process's callers book over HTTP/3.
func (p *process) over(c *http3.Transport, address string) *process {
	return &process{t: p.t, cmd: p.cmd, file: p.file, log: p.log, url: "https://" + address, by: c}
}

// All day long: bookings over HTTP/3 and HTTP/1.1, a certificate that is replaced, SIGHUP, and SIGTERM at the end. Nothing
// is lost.
func TestHTTP3Day(t *testing.T) {
	t.Parallel()
	d := newDesk(t)
	s := site(t, 3)
	p := launch(t, d.text(s.Address(), "127.0.0.1:0"))
	at := udpOf(p)
	var served, plain atomic.Int64
	calm := p.over(d.caller(nil), at).callers(4, &served)
	calmPlain := p.callers(2, &plain)
	reach := func(n *atomic.Int64, more int64) {
		t.Helper()
		want := n.Load() + more
		for end := time.Now().Add(patience); n.Load() < want; time.Sleep(2 * time.Millisecond) {
			if t.Failed() || time.Now().After(end) {
				t.Fatal("bookings do not go on")
			}
		}
	}
	reach(&served, 100)
	reach(&plain, 100)
	res, err := http.Get(p.url + "/nothing")
	if err != nil {
		t.Fatal(err)
	}
	res.Body.Close()
	_, port, _ := net.SplitHostPort(at)
	if got, want := res.Header.Get("Alt-Svc"), fmt.Sprintf(`h3=":%s"; ma=3600`, port); res.StatusCode == 400 && got != want && got != "" {
		t.Errorf("Alt-Svc: %q, want %q", got, want)
	}
	d.renew("second.example.org")
	time.Sleep(1100 * time.Millisecond) // the files are looked at once a second
	for end := time.Now().Add(patience); !d.shown("second.example.org"); {
		if status, err := p.over(d.caller(nil), at).book(nil, "trip"); err != nil || status != 200 {
			t.Fatalf("a new caller: %d, %v", status, err)
		}
		if time.Now().After(end) {
			t.Fatal("the old certificate is shown still")
		}
	}
	p.signal(syscall.SIGHUP)
	p.said("reload: discovery is")
	reach(&served, 100)
	// A change of what takes effect at a start only is refused.
	p.put(strings.Replace(d.text(s.Address(), "127.0.0.1:0"), `"safe"`, `"never"`, 1))
	p.signal(syscall.SIGHUP)
	p.said("reload: refused")
	reach(&served, 100)
	calm()
	calmPlain()
}

// The sidecar is killed and starts again at the same address: callers' old connections end at once, and their
// tickets hold.
func TestHTTP3Killed(t *testing.T) {
	t.Parallel()
	d := newDesk(t)
	s := site(t, 2)
	p := launch(t, d.text(s.Address(), "127.0.0.1:0"))
	at := udpOf(p)
	cache := tls.NewLRUClientSessionCache(4)
	c := d.caller(cache)
	if status, err := p.over(c, at).book(nil, "trip"); err != nil || status != 200 {
		t.Fatal(status, err)
	}
	p.kill()
	p = launch(t, d.text(s.Address(), at))
	// The old connection's request is answered with a reset, not with silence; then a new one is made.
	began := time.Now()
	for end := began.Add(patience); ; {
		if status, err := p.over(c, at).book(nil, "trip"); err == nil && status == 200 {
			break
		}
		if time.Now().After(end) {
			t.Fatal("never served again")
		}
	}
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("it took %v", took)
	}
}

// UDP to an endpoint is cut off in the middle of the day: attempts go over HTTP/1.1, nothing that may have run goes
// out twice, and HTTP/3 is not tried again for a while.
func TestHTTP3BlockedToEndpoint(t *testing.T) {
	t.Parallel()
	ca := trust(t)
	cert, err := ca.Pair("slot-keeper.example.org")
	if err != nil {
		t.Fatal(err)
	}
	var over1, over3 atomic.Int64
	count := func(n *atomic.Int64) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			n.Add(1)
			io.Copy(io.Discard, r.Body)
			io.WriteString(w, "ok")
		}
	}
	// The relay has the endpoint's UDP port; behind it is the endpoint at another one.
	e, err := h3.Start("", cert, h3.Options{}, count(&over3))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	var relay *udp.Relay
	var plain *booking.Endpoint
	for relay == nil {
		if plain, err = booking.StartEndpoint("box-0", count(&over1)); err != nil {
			t.Fatal(err)
		}
		if relay, err = udp.StartAt(plain.Target().Address, e.Address(), 1); err != nil {
			plain.Close()
		}
	}
	t.Cleanup(plain.Close)
	t.Cleanup(relay.Close)
	disc := listing(t, plain.Target())
	file := filepath.Join(t.TempDir(), "ca.pem")
	if err := os.WriteFile(file, ca.PEM(), 0o600); err != nil {
		t.Fatal(err)
	}
	p := launch(t, fmt.Sprintf(goodFile, disc.Address())+fmt.Sprintf(`
[http3-endpoints]
http3_to_endpoints = "prefer"
http3_ca_file = %q
http3_server_name = "slot-keeper.example.org"
http3_silence = "600ms"
`, file))
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	book := func() {
		t.Helper()
		if status, err := p.book(client, "trip"); err != nil || status != 200 {
			t.Fatalf("%d %v", status, err)
		}
	}
	for range 20 {
		book()
	}
	if over3.Load() != 20 || over1.Load() != 0 {
		t.Fatalf("%d over HTTP/3, %d over HTTP/1.1", over3.Load(), over1.Load())
	}
	relay.SetFault(udp.Fault{Blackhole: true})
	// What is sent now may have run; the class allows a repeat with its key, and the box is the same.
	before := over1.Load()
	for end := time.Now().Add(patience); over1.Load() == before; {
		p.book(client, "trip")
		if time.Now().After(end) {
			t.Fatal("nothing comes over HTTP/1.1")
		}
	}
	p.said("HTTP/1.1 for 1m0s")
	began := time.Now()
	for range 50 {
		book()
	}
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("50 bookings took %v: HTTP/3 is tried again each time", took)
	}
	relay.SetFault(udp.Fault{})
	if n := over3.Load(); n != 20 {
		t.Errorf("%d over HTTP/3", n)
	}
}

// SIGTERM while callers book over HTTP/3 without pause, and SIGKILL: each booking that was served ran once. After SIGTERM
// each that had begun before it and ran was served; of those that began later, when there may not be the time to serve
// them, each that ran got its final answer, which may be that it may have run.
func TestHTTP3Ends(t *testing.T) {
	for _, end := range []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL} {
		t.Run(end.String(), func(t *testing.T) {
			t.Parallel()
			var mu sync.Mutex
			ran := map[string]int{}
			e, err := booking.StartEndpoint("box-0", func(w http.ResponseWriter, r *http.Request) {
				io.Copy(io.Discard, r.Body)
				mu.Lock()
				ran[r.Header.Get("X-Txn")]++
				mu.Unlock()
				time.Sleep(5 * time.Millisecond)
				io.WriteString(w, "ok")
			})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(e.Close)
			disc := listing(t, e.Target())
			d := newDesk(t)
			p := launch(t, d.text(disc.Address(), "127.0.0.1:0")+"\n[stop]\nstop_longest = \"2s\"\n")
			at := udpOf(p)
			var callers sync.WaitGroup
			var answered sync.Map // the status, by id
			var late sync.Map     // ids of those that began after the signal
			var signalled atomic.Bool
			var served atomic.Int64
			for range 6 {
				callers.Go(func() {
					c := d.caller(nil)
					c.QUICConfig.MaxIdleTimeout = 2 * time.Second
					client := &http.Client{Transport: c, Timeout: patience}
					for {
						r, _ := http.NewRequest("POST", "https://"+at+"/trips", strings.NewReader("trip"))
						id := fmt.Sprintf("e%d", txn.Add(1))
						r.Header.Set("X-Txn", id)
						r.Header.Set("X-Lane", "book-trip")
						r.Header.Set("X-Remaining", "6000m")
						r.Header.Set("Idempotency-Key", id)
						after := signalled.Load()
						late.Store(id, after)
						res, err := client.Do(r)
						if err != nil {
							return // it has gone
						}
						io.Copy(io.Discard, res.Body)
						res.Body.Close()
						answered.Store(id, res.StatusCode)
						switch {
						case res.StatusCode == http.StatusOK:
							served.Add(1)
						case res.StatusCode == http.StatusServiceUnavailable, res.StatusCode == http.StatusBadGateway && after:
						default:
							t.Errorf("status %d", res.StatusCode)
						}
					}
				})
			}
			for until := time.Now().Add(patience); served.Load() < 100; time.Sleep(time.Millisecond) {
				if time.Now().After(until) {
					t.Fatal("no bookings")
				}
			}
			signalled.Store(true)
			p.signal(end)
			callers.Wait()
			mu.Lock()
			defer mu.Unlock()
			for id, n := range ran {
				status, ok := answered.Load(id)
				after, _ := late.Load(id)
				if n != 1 || end == syscall.SIGTERM && (!ok || status != http.StatusOK && after != true) {
					t.Errorf("%s, begun after the signal %v, ran %d times, answered %v", id, after, n, status)
				}
			}
			answered.Range(func(id, status any) bool {
				want := map[any]int{http.StatusOK: 1, http.StatusServiceUnavailable: 0}
				if n, ok := want[status]; ok && ran[id.(string)] != n {
					t.Errorf("%v was answered %v and ran %d times", id, status, ran[id.(string)])
				}
				return true
			})
		})
	}
}

// SIGTERM finds callers at each stage: a handshake that stands still, a connection that has said nothing, half a
// request, one that is out, and an idle connection. What is out is answered, and nothing else holds up the end.
func TestHTTP3EndsAtEachStage(t *testing.T) {
	t.Parallel()
	came, serve := make(chan bool, 1), make(chan bool)
	e, err := booking.StartEndpoint("box-0", func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		if strings.Contains(r.Header.Get("X-Txn"), "t") {
			came <- true
			<-serve
		}
		io.WriteString(w, "ok")
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	disc := listing(t, e.Target())
	d := newDesk(t)
	p := launch(t, d.text(disc.Address(), "127.0.0.1:0")+"\n[stop]\nstop_longest = \"2s\"\n")
	at := udpOf(p)
	relay, err := udp.Start(at, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(relay.Close)
	relay.SetFault(udp.Fault{DropReplies: true})
	conf := &tls.Config{InsecureSkipVerify: true, NextProtos: []string{"h3"}}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	var still sync.WaitGroup
	still.Go(func() {
		if conn, err := quic.DialAddr(ctx, relay.Address(), conf, nil); err == nil {
			t.Error("a deaf caller ended its handshake")
			conn.CloseWithError(0, "")
		}
	})
	t.Cleanup(func() {
		cancel()
		still.Wait()
	})
	for _, text := range []string{"", "\x01\x40"} {
		conn, err := quic.DialAddr(ctx, at, conf, &quic.Config{KeepAlivePeriod: 100 * time.Millisecond})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.CloseWithError(0, "") })
		if s, err := conn.OpenStreamSync(ctx); err != nil {
			t.Fatal(err)
		} else if text != "" {
			s.Write([]byte(text))
		}
	}
	answered := make(chan string, 1)
	out := p.over(d.caller(nil), at)
	go func() {
		status, err := out.book(nil, "trip")
		answered <- fmt.Sprint(status, err)
	}()
	<-came
	p.signal(syscall.SIGTERM)
	time.AfterFunc(300*time.Millisecond, func() { close(serve) })
	if got := <-answered; got != "200<nil>" && got != "200 <nil>" {
		t.Errorf("what was out: %s", got)
	}
	ended := make(chan error, 1)
	began := time.Now()
	go func() { ended <- p.cmd.Wait() }()
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("it ended with %v", err)
		}
	case <-time.After(patience):
		t.Fatal("it does not end")
	}
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("it took %v to end", took)
	}
}
