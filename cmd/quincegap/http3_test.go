package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
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

// http3Rig is a clinic's: callers over HTTP/3 of a sidecar.
type http3Rig struct {
	t         testing.TB
	ca        *authority.Authority
	dir       string
	cert, key string
	secret    string
	seen      sync.Map // names of certificates that were shown
}

func newHTTP3Rig(tb testing.TB) *http3Rig {
	tb.Helper()
	d := &http3Rig{t: tb, ca: newAuthority(tb), dir: tb.TempDir()}
	d.secret = d.put("secret", []byte(strings.Repeat("s3cret", 6)))
	d.renew("front.example.org")
	return d
}

func (d *http3Rig) put(name string, text []byte) string {
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
func (d *http3Rig) renew(name string) {
	cert, key := issue(d.t, d.ca, name)
	d.key = d.put("key.pem", key)
	d.cert = d.put("cert.pem", cert)
}

func (d *http3Rig) text(discovery, listen string) string {
	return fmt.Sprintf(goodFile, discovery) + fmt.Sprintf(http3File, listen, d.cert, d.key, d.secret)
}

// udpOf is the UDP address that a sidecar has said it listens at.
func udpOf(p *process) string {
	return regexp.MustCompile(`HTTP/3 on (127\.0\.0\.1:\d+)`).FindStringSubmatch(p.start)[1]
}

// caller is a client over HTTP/3; it takes any name that the authority has signed.
func (d *http3Rig) caller(cache tls.ClientSessionCache) *http3.Transport {
	conf := &tls.Config{
		InsecureSkipVerify: true, ClientSessionCache: cache, ServerName: "front.example.org",
		VerifyConnection: func(s tls.ConnectionState) error {
			d.seen.Store(s.PeerCertificates[0].Subject.CommonName, true)
			_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: d.ca.Pool()})
			return err
		},
	}
	c := &http3.Transport{TLSClientConfig: conf, QUICConfig: &quic.Config{MaxIdleTimeout: 10 * time.Second, KeepAlivePeriod: 200 * time.Millisecond}}
	d.t.Cleanup(func() { closeNow(c) })
	return c
}

func (d *http3Rig) shown(name string) bool {
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
	d := newHTTP3Rig(t)
	s := startSite(t, 3)
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
	status, header, err := get(http.DefaultClient, p.url+"/nothing")
	if err != nil {
		t.Fatal(err)
	}
	_, port, _ := net.SplitHostPort(at)
	if got, want := header.Get("Alt-Svc"), fmt.Sprintf(`h3=":%s"; ma=3600`, port); status == 400 && got != want && got != "" {
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
	p.awaitLog("reload: discovery is")
	reach(&served, 100)
	// A change of what takes effect at a start only is refused.
	p.writeFile(strings.Replace(d.text(s.Address(), "127.0.0.1:0"), `"safe"`, `"never"`, 1))
	p.signal(syscall.SIGHUP)
	p.awaitLog("reload: refused")
	reach(&served, 100)
	calm()
	calmPlain()
}

// The sidecar is killed and starts again at the same address: callers' old connections end at once, and their
// tickets hold.
func TestHTTP3Killed(t *testing.T) {
	t.Parallel()
	d := newHTTP3Rig(t)
	s := startSite(t, 2)
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

// twoWays is an endpoint that is reached by HTTP/1.1 and, behind a relay at the same port, by HTTP/3.
type twoWays struct {
	over1, over3 atomic.Int64 // requests
	plain        *booking.Endpoint
	relay        *udp.Relay
}

// countingOK answers each request and counts them.
func countingOK(n *atomic.Int64) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		n.Add(1)
		answerOK(w, r)
	}
}

// startTwoWays starts an endpoint with a certificate that an authority signs.
func startTwoWays(t *testing.T, ca *authority.Authority) *twoWays {
	t.Helper()
	cert, err := ca.Pair("slot-keeper.example.org")
	if err != nil {
		t.Fatal(err)
	}
	x := &twoWays{}
	// The relay has the endpoint's UDP port; behind it is the endpoint at another one.
	e, err := h3.Start("", cert, h3.Options{}, countingOK(&x.over3))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	for x.relay == nil {
		if x.plain, err = booking.StartEndpoint("box-0", countingOK(&x.over1)); err != nil {
			t.Fatal(err)
		}
		if x.relay, err = udp.StartAt(x.plain.Target().Address, e.Address(), 1); err != nil {
			x.plain.Close()
		}
	}
	t.Cleanup(x.plain.Close)
	t.Cleanup(x.relay.Close)
	return x
}

// UDP to an endpoint is cut off in the middle of the day: attempts go over HTTP/1.1, nothing that may have run goes
// out twice, and HTTP/3 is not tried again for a while.
func TestHTTP3BlockedToEndpoint(t *testing.T) {
	t.Parallel()
	ca := newAuthority(t)
	x := startTwoWays(t, ca)
	disc := startDiscovery(t, x.plain.Target())
	file := filepath.Join(t.TempDir(), "ca.pem")
	putFile(t, file, string(ca.PEM()))
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
	if x.over3.Load() != 20 || x.over1.Load() != 0 {
		t.Fatalf("%d over HTTP/3, %d over HTTP/1.1", x.over3.Load(), x.over1.Load())
	}
	x.relay.SetFault(udp.Fault{Blackhole: true})
	// What is sent now may have run; the class allows a repeat with its key, and the box is the same.
	before := x.over1.Load()
	for end := time.Now().Add(patience); x.over1.Load() == before; {
		_, _ = p.book(client, "trip") // it may fail
		if time.Now().After(end) {
			t.Fatal("nothing comes over HTTP/1.1")
		}
	}
	p.awaitLog("HTTP/1.1 for 1m0s")
	began := time.Now()
	for range 50 {
		book()
	}
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("50 bookings took %v: HTTP/3 is tried again each time", took)
	}
	x.relay.SetFault(udp.Fault{})
	if n := x.over3.Load(); n != 20 {
		t.Errorf("%d over HTTP/3", n)
	}
}

// ending is callers over HTTP/3 of a sidecar that gets a signal, and what ran at its endpoint.
type ending struct {
	t         *testing.T
	d         *http3Rig
	at        string   // the sidecar's UDP address
	answered  sync.Map // the status, by id
	late      sync.Map // whether it began after the signal, by id
	signalled atomic.Bool
	served    atomic.Int64

	mu  sync.Mutex
	ran map[string]int // how often, by id
}

// serve is the endpoint.
func (e *ending) serve(w http.ResponseWriter, r *http.Request) {
	drain(r.Body)
	e.mu.Lock()
	e.ran[r.Header.Get("X-Txn")]++
	e.mu.Unlock()
	time.Sleep(5 * time.Millisecond)
	write(w, "ok")
}

// book books on a connection of its own until the sidecar has gone.
func (e *ending) book() {
	c := e.d.caller(nil)
	c.QUICConfig.MaxIdleTimeout = 2 * time.Second
	client := &http.Client{Transport: c, Timeout: patience}
	for {
		id := fmt.Sprintf("e%d", txn.Add(1))
		after := e.signalled.Load()
		e.late.Store(id, after)
		status, _ := post(client, "https://"+e.at, "book-trip", id, id, "trip")
		if status == 0 {
			return // it has gone
		}
		e.answered.Store(id, status)
		switch {
		case status == http.StatusOK:
			e.served.Add(1)
		case status == http.StatusServiceUnavailable, status == http.StatusBadGateway && after:
		default:
			e.t.Errorf("status %d", status)
		}
	}
}

// check looks at what ran and what was answered, after the signal.
func (e *ending) check(signal syscall.Signal) {
	e.t.Helper()
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, n := range e.ran {
		status, ok := e.answered.Load(id)
		after, _ := e.late.Load(id)
		if n != 1 || signal == syscall.SIGTERM && (!ok || status != http.StatusOK && after != true) {
			e.t.Errorf("%s, begun after the signal %v, ran %d times, answered %v", id, after, n, status)
		}
	}
	e.answered.Range(func(id, status any) bool {
		want := map[any]int{http.StatusOK: 1, http.StatusServiceUnavailable: 0}
		if n, ok := want[status]; ok && e.ran[id.(string)] != n {
			e.t.Errorf("%v was answered %v and ran %d times", id, status, e.ran[id.(string)])
		}
		return true
	})
}

// SIGTERM while callers book over HTTP/3 without pause, and SIGKILL: each booking that was served ran once. After SIGTERM
// each that had begun before it and ran was served; of those that began later, when there may not be the time to serve
// them, each that ran got its final answer, which may be that it may have run.
func TestHTTP3Ends(t *testing.T) {
	for _, signal := range []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL} {
		t.Run(signal.String(), func(t *testing.T) {
			t.Parallel()
			x := &ending{t: t, ran: map[string]int{}}
			e, err := booking.StartEndpoint("box-0", x.serve)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(e.Close)
			disc := startDiscovery(t, e.Target())
			x.d = newHTTP3Rig(t)
			p := launch(t, x.d.text(disc.Address(), "127.0.0.1:0")+"\n[stop]\nstop_longest = \"2s\"\n")
			x.at = udpOf(p)
			var callers sync.WaitGroup
			for range 6 {
				callers.Go(x.book)
			}
			for until := time.Now().Add(patience); x.served.Load() < 100; time.Sleep(time.Millisecond) {
				if time.Now().After(until) {
					t.Fatal("no bookings")
				}
			}
			x.signalled.Store(true)
			p.signal(signal)
			callers.Wait()
			x.check(signal)
		})
	}
}

// SIGTERM finds callers at each stage: a handshake that stands still, a connection that has said nothing, half a
// request, one that is out, and an idle connection. What is out is answered, and nothing else holds up the end.
func TestHTTP3EndsAtEachStage(t *testing.T) {
	t.Parallel()
	came, serve := make(chan bool, 1), make(chan bool)
	e, err := booking.StartEndpoint("box-0", func(w http.ResponseWriter, r *http.Request) {
		drain(r.Body)
		if strings.Contains(r.Header.Get("X-Txn"), "t") {
			came <- true
			<-serve
		}
		write(w, "ok")
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	disc := startDiscovery(t, e.Target())
	d := newHTTP3Rig(t)
	p := launch(t, d.text(disc.Address(), "127.0.0.1:0")+"\n[stop]\nstop_longest = \"2s\"\n")
	at := udpOf(p)
	relay, err := udp.Start(at, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(relay.Close)
	relay.SetFault(udp.Fault{DropReplies: true})
	dialUnfinished(t, relay.Address(), at)
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
	p.checkEnds(5 * time.Second)
}

// dialUnfinished has callers connect who do not finish: one whose handshake stands still, at deaf, one that says nothing and one
// that sends half a request.
func dialUnfinished(t *testing.T, deaf, address string) {
	t.Helper()
	conf := &tls.Config{InsecureSkipVerify: true, NextProtos: []string{"h3"}}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	var still sync.WaitGroup
	still.Go(func() {
		if conn, err := quic.DialAddr(ctx, deaf, conf, nil); err == nil {
			t.Error("a deaf caller ended its handshake")
			_ = conn.CloseWithError(0, "")
		}
	})
	t.Cleanup(func() {
		cancel()
		still.Wait()
	})
	for _, text := range []string{"", "\x01\x40"} {
		conn, err := quic.DialAddr(ctx, address, conf, &quic.Config{KeepAlivePeriod: 100 * time.Millisecond})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.CloseWithError(0, "") })
		s, err := conn.OpenStreamSync(ctx)
		if err != nil {
			t.Fatal(err)
		}
		if text == "" {
			continue
		}
		if _, err := s.Write([]byte(text)); err != nil {
			t.Fatal(err)
		}
	}
}

// checkEnds looks whether the program ends by itself, in good order and within a time.
func (p *process) checkEnds(within time.Duration) {
	p.t.Helper()
	ended := make(chan error, 1)
	began := time.Now()
	go func() { ended <- p.cmd.Wait() }()
	select {
	case err := <-ended:
		if err != nil {
			p.t.Errorf("it ended with %v", err)
		}
	case <-time.After(patience):
		p.t.Fatal("it does not end")
	}
	if took := time.Since(began); took > within {
		p.t.Errorf("it took %v to end", took)
	}
}
