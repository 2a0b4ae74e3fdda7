package standalone

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qh3 "github.com/quic-go/quic-go/http3"

	"quincegap/internal/network/http1"
	"quincegap/internal/standin/h3"
)

// patience bounds what a test waits for; it only passes when something is wrong.
const patience = 20 * time.Second

const settingsText = `{"allowed":{"cancel":true,"connIdle":30000000,"connectTimeout":2000000,"maxRetryAfter":2000000,
	"mayProbe":true,"openCap":1000,"peers":false,"retryAfter":true,"secondCopies":false,"sendCap":5},
	"clientHabits":{"marksRetry":false},"discovery":"push","instances":1,"ordinal":0,"quantum":5000,"stage":0,
	"rules":{"cold":1000000,"coldFrom":0.3,"drainGrace":250000,"fall":1000000,"graceToAnswer":20000,"tipMultiple":3},
	"services":[
	{"name":"read","aim":9000000,"deadline":10000000,"effect":"read_like","gain":1,"window":0},
	{"name":"book","aim":9000000,"deadline":10000000,"effect":"idempotency_key","keyScope":"cell","gain":1,"window":10000000},
	{"name":"once","aim":9000000,"deadline":10000000,"effect":"non_idempotent","gain":1,"window":0}],
	"tenants":[],"tiers":["front"],"zones":["z"],"models":["m"]}`

// rig is a sidecar on loopback sockets, with a discovery that the test writes to.
type rig struct {
	t         *testing.T
	file      string // its configuration
	server    *server
	url       string
	discovery *httptest.Server
	lists     chan string // lines for the watch
	signals   chan os.Signal
	reloads   chan os.Signal
	ended     chan error
	txn       atomic.Int64
	h3        *qh3.Transport // see client
}

// start runs a sidecar, the only one of its tier, that knows the given endpoints.
func start(t *testing.T, sockets int, targets ...listedEndpoint) *rig {
	t.Helper()
	return startOneOf(t, 1, sockets, targets...)
}

// startOneOf runs one of several sidecars of a tier.
func startOneOf(t *testing.T, instances, sockets int, targets ...listedEndpoint) *rig {
	t.Helper()
	rg := &rig{
		t: t, lists: make(chan string, 16), signals: make(chan os.Signal, 1),
		reloads: make(chan os.Signal, 1), ended: make(chan error, 1),
	}
	rg.discovery = httptest.NewServer(http.HandlerFunc(rg.serveLists))
	config := rg.configure(instances, sockets, targets)
	l, err := newLoop(config)
	if err != nil {
		t.Fatal(err)
	}
	var open net.ListenConfig
	listener, err := open.Listen(t.Context(), "tcp", config.Listen)
	if err != nil {
		t.Fatal(err)
	}
	if rg.server, err = newServer(config, l, listener); err != nil {
		t.Fatal(err)
	}
	rg.url = "http://" + listener.Addr().String()
	go func() { rg.ended <- rg.server.run(listener.Addr(), rg.signals, rg.reloads) }()
	t.Cleanup(rg.close)
	rg.until("ready", func() bool { return rg.readiness() == http.StatusOK })
	return rg
}

// serveLists is the discovery: a watch that the test writes lines to.
func (rg *rig) serveLists(w http.ResponseWriter, r *http.Request) {
	w.WriteHeader(http.StatusOK)
	for {
		flush(w)
		select {
		case line := <-rg.lists:
			write(w, line+"\n")
		case <-r.Context().Done():
			return
		}
	}
}

// configure writes the configuration file of the sidecar and loads it.
func (rg *rig) configure(instances, sockets int, targets []listedEndpoint) *Config {
	rg.t.Helper()
	known, err := json.Marshal(endpointList{Rev: 1, All: true, Targets: targets})
	if err != nil {
		rg.t.Fatal(err)
	}
	address := rg.discovery.Listener.Addr().String()
	rg.file = filepath.Join(rg.t.TempDir(), "config.json")
	rg.writeConfig(fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"8c1f30d27a5be964",
		"limits":{"cores":1,"memory_mb":192,"sockets":%d},"known":%s,"settings":%s}`,
		address, sockets, known,
		strings.Replace(settingsText, `"instances":1,`, fmt.Sprintf(`"instances":%d,`, instances), 1)))
	config, err := LoadConfig(func(name string) string {
		return map[string]string{"BALANCER_CONFIG": rg.file, "BALANCER_DISCOVERY": address}[name]
	})
	if err != nil {
		rg.t.Fatal(err)
	}
	currentProtocols.apply(rg.t, config)
	return config
}

// writeConfig replaces the sidecar's configuration file.
func (rg *rig) writeConfig(text string) {
	rg.t.Helper()
	if err := os.WriteFile(rg.file, []byte(text), 0o600); err != nil {
		rg.t.Fatal(err)
	}
}

// close ends what the rig has started.
func (rg *rig) close() {
	rg.inLoop(func() { rg.server.loop.watcher.stop() })
	close(rg.reloads)
	for _, f := range rg.server.fronts {
		closeNow(f)
	}
	rg.discovery.CloseClientConnections()
	rg.discovery.Close()
}

// readiness is the status of the sidecar's answer on its readiness; 0 for none.
func (rg *rig) readiness() int {
	r, err := http.NewRequestWithContext(rg.t.Context(), http.MethodGet, rg.url+"/ready", nil)
	if err != nil {
		rg.t.Error(err)
		return 0
	}
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	defer closeNow(res.Body)
	return res.StatusCode
}

func (rg *rig) front() *http1.Front { return rg.server.fronts[0].(*http1.Front) }

func (rg *rig) maxConnections() int {
	_, _, _, most := rg.front().Counts()
	return most
}

// until waits for something that shows by itself.
func (rg *rig) until(what string, done func() bool) {
	rg.t.Helper()
	for end := time.Now().Add(patience); !done(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			rg.t.Fatalf("never: %s", what)
		}
	}
}

// setShutdown sets how long the sidecar serves after it was told to stop, and its hand-over.
func (rg *rig) setShutdown(d, handOver time.Duration) {
	t := *rg.server.tuning.Load()
	t.stop = Stop{KillGrace: d + t.stop.KillMargin, KillMargin: t.stop.KillMargin, HandOver: handOver}
	rg.server.tuning.Store(&t)
}

// inLoop reads state that the loop owns.
func (rg *rig) inLoop(f func()) {
	done := make(chan bool)
	rg.server.loop.post(func() { f(); close(done) })
	<-done
}

// announce has discovery say a list, complete or what changed.
func (rg *rig) announce(list endpointList) {
	rg.t.Helper()
	line, err := json.Marshal(list)
	if err != nil {
		rg.t.Fatal(err)
	}
	rg.lists <- string(line)
}

// request is a request of a class as a client words it.
func (rg *rig) request(class string, left time.Duration) *http.Request {
	method := http.MethodPost
	if class == "read" {
		method = http.MethodGet
	}
	_, base := rg.client()
	r, err := http.NewRequestWithContext(rg.t.Context(), method, base+"/api?x=1&y=%2F", nil)
	if err != nil {
		rg.t.Fatal(err)
	}
	if method == http.MethodPost {
		r.Body = io.NopCloser(strings.NewReader("trip"))
		r.ContentLength = 4
	}
	r.Header.Set("X-Txn", fmt.Sprintf("txn%d", rg.txn.Add(1)))
	r.Header.Set("X-Lane", class)
	r.Header.Set("X-Remaining", fmt.Sprintf("%dm", left.Milliseconds()))
	if class == "book" {
		r.Header.Set("Idempotency-Key", "k1")
	}
	return r
}

// reply is an answer that was read to its end.
type reply struct {
	status int
	header http.Header
	close  bool // it says that it is the last on its connection
	body   string
}

// readReply reads an answer to its end and closes it.
func readReply(res *http.Response) (*reply, error) {
	defer closeNow(res.Body)
	body, err := io.ReadAll(res.Body)
	return &reply{status: res.StatusCode, header: res.Header, close: res.Close, body: string(body)}, err
}

// roundTrip sends a request by the current protocols. With an error the reply is nil, or has what came of its body.
func (rg *rig) roundTrip(r *http.Request) (*reply, error) {
	c, _ := rg.client()
	res, err := c.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	defer closeNow(res.Body)
	return readReply(res)
}

// reply is what a request came to.
func (rg *rig) reply(r *http.Request) *reply {
	rg.t.Helper()
	got, err := rg.roundTrip(r)
	if err != nil {
		rg.t.Fatal(err)
	}
	return got
}

// ask sends a request and returns the status and body of its answer.
func (rg *rig) ask(r *http.Request) (int, string) {
	rg.t.Helper()
	got := rg.reply(r)
	return got.status, got.body
}

// clientConn is a caller's connection over HTTP/1.1.
type clientConn struct {
	*net.TCPConn
	reader *bufio.Reader
	t      *testing.T
}

// Read reads what no reply has taken.
func (c *clientConn) Read(b []byte) (int, error) { return c.reader.Read(b) }

// dial opens a connection to the sidecar, which ends with the test.
func (rg *rig) dial() *clientConn {
	rg.t.Helper()
	var dialer net.Dialer
	dialed, err := dialer.DialContext(rg.t.Context(), "tcp", strings.TrimPrefix(rg.url, "http://"))
	if err != nil {
		rg.t.Fatal(err)
	}
	c := &clientConn{dialed.(*net.TCPConn), bufio.NewReader(dialed), rg.t}
	rg.t.Cleanup(func() { closeNow(c) })
	c.extend()
	return c
}

// extend gives the connection as much time as a test waits.
func (c *clientConn) extend() {
	c.t.Helper()
	if err := c.SetDeadline(time.Now().Add(patience)); err != nil {
		c.t.Error(err)
	}
}

// next reads the next answer. With an error the reply is nil, or has what came of its body.
func (c *clientConn) next() (*reply, error) {
	res, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return nil, err
	}
	defer closeNow(res.Body)
	return readReply(res)
}

// post writes a request, which has to work.
func (c *clientConn) post(r *http.Request) {
	c.t.Helper()
	if err := r.Write(c); err != nil {
		c.t.Error(err)
	}
}

// send writes a request to a connection that was used before, and returns its answer; nil where there is none.
func (c *clientConn) send(r *http.Request) *reply {
	c.t.Helper()
	c.extend()
	if err := r.Write(c); err != nil {
		return nil
	}
	got, err := c.next()
	if err != nil {
		return nil
	}
	return got
}

// raw sends text as it is on a connection of its own, and returns the status of the answer; 0 for a close.
func (rg *rig) raw(text string) (status int, c *clientConn) {
	rg.t.Helper()
	c = rg.dial()
	_, _ = io.WriteString(c, text) // the sidecar may have closed it by then
	got, _ := c.next()             // a body that breaks off does not hide the status
	if got == nil {
		return 0, c
	}
	return got.status, c
}

// connect makes n connections that have had one answer and stand idle.
func (rg *rig) connect(n int) (idles []*clientConn) {
	rg.t.Helper()
	for range n {
		_, c := rg.raw("GET /ready HTTP/1.1\r\nHost: h\r\n\r\n")
		idles = append(idles, c)
	}
	rg.until("only these are open, and idle", func() bool {
		http.DefaultClient.CloseIdleConnections()
		open, idle, _, _ := rg.front().Counts()
		return idle == n && open == n
	})
	return idles
}

// stop tells the sidecar to stop, and waits until it has heard.
func (rg *rig) stop() {
	rg.t.Helper()
	rg.signals <- syscall.SIGTERM
	rg.until("it stops", func() bool { return rg.server.shutdownAt.Load() != nil })
}

// awaitEnd waits for the sidecar to end by itself.
func (rg *rig) awaitEnd() {
	rg.t.Helper()
	select {
	case err := <-rg.ended:
		if err != nil {
			rg.t.Error(err)
		}
	case <-time.After(patience):
		rg.t.Error("it never ended")
	}
}

// startEndpoint is an endpoint that answers as the test says.
func startEndpoint(t *testing.T, uid string, serve http.HandlerFunc) listedEndpoint {
	t.Helper()
	return listedEndpoint{UID: uid, Address: listenEndpoint(t, serve), Zone: "z", Model: "m", Cell: 1, State: "Ready", Weight: 1}
}

// closeConnection ends a connection without an answer.
func closeConnection(w http.ResponseWriter) {
	if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
		closeNow(c)
	} else {
		h3.ResetStream(w, qh3.ErrCodeInternalError)
	}
}

// awaitCancel blocks until the sidecar has given the attempt up.
func awaitCancel(r *http.Request) {
	drain(r.Body)
	<-r.Context().Done()
}

// write writes a part of an answer; one whom it does not reach has gone.
func write(w io.Writer, values ...any) { _, _ = fmt.Fprint(w, values...) }

// answerOK is an endpoint that answers each request.
func answerOK(w http.ResponseWriter, _ *http.Request) { write(w, "ok") }

// flush sends what was written; one whom it does not reach has gone.
func flush(w http.ResponseWriter) { _ = http.NewResponseController(w).Flush() }

// drain reads what is left of a body, as far as it comes.
func drain(body io.Reader) { _, _ = io.Copy(io.Discard, body) }

// closeNow closes what a test needs no more.
func closeNow(c io.Closer) { _ = c.Close() }
