package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"quincegap/internal/standin/booking"
)

const patience = 30 * time.Second

const goodFile = `[sidecar]
application = "booking-front.example.org"
listen = "127.0.0.1:0"

[discovery]
address = %q

[class.book-trip]
aim = "2500ms"
deadline = "6s"
effect = "keyed"
key_scope = "cell"
key_window = "10s"

[class.find-trip]
aim = "2s"
deadline = "6s"
effect = "safe"
`

// process is the program with a product's file, and its log.
type process struct {
	t     testing.TB
	cmd   *exec.Cmd
	file  string
	url   string
	start string // what it logged until it served
	log   chan string
	read  chan struct{}     // closed when the log has ended
	by    http.RoundTripper // of its callers, nil for one each
}

// kill ends the program at once, and waits until it has: until then its sockets are open, and the next one that
// wants them finds them taken.
func (p *process) kill() {
	_ = p.cmd.Process.Kill() // it may have ended already
	<-p.read
	_ = p.cmd.Wait() // it ends with an error
}

// launch starts the program with a text for its file, and waits until it serves.
func launch(tb testing.TB, text string, env ...string) *process {
	tb.Helper()
	p := &process{t: tb, file: filepath.Join(tb.TempDir(), "sidecar.toml"), log: make(chan string, 10000), read: make(chan struct{})}
	p.writeFile(text)
	p.cmd = command(os.Args[0], "-config", p.file)
	p.cmd.Env = append(append(os.Environ(), "BE_QUINCEGAP=1"), env...)
	stderr, err := p.cmd.StderrPipe()
	if err != nil {
		tb.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		tb.Fatal(err)
	}
	go func() {
		defer close(p.read)
		for lines := bufio.NewScanner(stderr); lines.Scan(); {
			p.log <- lines.Text()
		}
		close(p.log)
	}()
	tb.Cleanup(p.kill)
	p.start = p.awaitLog("serving on")
	p.url = "http://" + regexp.MustCompile(`serving on (127\.0\.0\.1:\d+)`).FindStringSubmatch(p.start)[1]
	awaitReady(tb, http.DefaultClient, p.url, 2*time.Millisecond)
	return p
}

// writeFile replaces the program's file at one stroke.
func (p *process) writeFile(text string) {
	p.t.Helper()
	if err := os.WriteFile(p.file+".new", []byte(text), 0o600); err != nil {
		p.t.Fatal(err)
	}
	if err := os.Rename(p.file+".new", p.file); err != nil {
		p.t.Fatal(err)
	}
}

// awaitLog waits for a line of the log that holds a word, and returns all up to it.
func (p *process) awaitLog(word string) string {
	p.t.Helper()
	late := time.After(patience)
	var lines []string
	for {
		select {
		case line, ok := <-p.log:
			if lines = append(lines, line); strings.Contains(line, word) {
				return strings.Join(lines, "\n")
			}
			if !ok {
				p.t.Fatalf("it ended before it said %q:\n%s", word, strings.Join(lines, "\n"))
			}
		case <-late:
			p.t.Fatalf("it never said %q:\n%s", word, strings.Join(lines, "\n"))
		}
	}
}

func (p *process) signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Fatal(err)
	}
}

// crash kills the program, which has to live until then, and waits until it has ended.
func (p *process) crash() {
	p.t.Helper()
	p.signal(syscall.SIGKILL)
	_ = p.cmd.Wait() // it ends with an error
}

// txn numbers the requests of all tests.
var txn atomic.Int64

// book sends a booking and returns the status.
func (p *process) book(client *http.Client, body string) (int, error) {
	if p.by != nil {
		client = &http.Client{Transport: p.by}
	}
	n := txn.Add(1)
	return post(client, p.url, "book-trip", fmt.Sprintf("t%d", n), fmt.Sprintf("k%d", n), body)
}

// post sends a request, and returns the status and how its answer ended: with a status there may be an error too.
func post(client *http.Client, url, class, txn, key, body string) (status int, err error) {
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url+"/trips", strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	r.Header.Set("X-Txn", txn)
	r.Header.Set("X-Lane", class)
	r.Header.Set("X-Remaining", "6000m")
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	res, err := client.Do(r)
	if err != nil {
		return 0, err
	}
	defer closeNow(res.Body)
	_, err = io.Copy(io.Discard, res.Body)
	return res.StatusCode, err
}

// callers book without pause until the function that is returned is called. Each booking has to be served.
func (p *process) callers(n int, served *atomic.Int64) (calm func()) {
	done := make(chan struct{})
	var all sync.WaitGroup
	for range n {
		all.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for {
				select {
				case <-done:
					return
				default:
				}
				if status, err := p.book(client, "trip"); err != nil || status != http.StatusOK {
					p.t.Errorf("a booking: status %d, %v", status, err)
					return
				}
				served.Add(1)
			}
		})
	}
	calm = sync.OnceFunc(func() {
		close(done)
		all.Wait()
	})
	p.t.Cleanup(calm)
	return calm
}

// startSite is a discovery with endpoints.
func startSite(tb testing.TB, n int) *booking.Discovery {
	tb.Helper()
	var targets []booking.Target
	for i := range n {
		e, err := booking.StartEndpoint(fmt.Sprintf("box-%d", i), nil)
		if err != nil {
			tb.Fatal(err)
		}
		tb.Cleanup(e.Close)
		targets = append(targets, e.Target())
	}
	d := startDiscovery(tb, targets...)
	return d
}

// With the product's file alone, and no platform, the program serves, and takes a token along to discovery.
func TestProductFileAlone(t *testing.T) {
	d := startSite(t, 2)
	d.Token = "t0ken"
	dir := t.TempDir()
	token := filepath.Join(dir, "token")
	if err := os.WriteFile(token, []byte("t0ken\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	text := fmt.Sprintf(goodFile, d.Address())
	p := launch(t, strings.Replace(text, "[discovery]", fmt.Sprintf("[discovery]\ntoken_file = %q", token), 1))
	if status, err := p.book(http.DefaultClient, "trip"); err != nil || status != http.StatusOK {
		t.Errorf("status %d, %v", status, err)
	}
	p.signal(syscall.SIGTERM)
	if said := p.awaitLog("stopping"); strings.Contains(said, "t0ken") {
		t.Error("the token is in the log")
	}
	for range p.log {
	}
	if err := p.cmd.Wait(); err != nil {
		t.Errorf("after SIGTERM: %v", err)
	}
}

// A file that cannot be used ends the program with the messages of quincegapctl check, before it listens.
func TestBadFileEndsTheProgram(t *testing.T) {
	file := filepath.Join(t.TempDir(), "sidecar.toml")
	putFile(t, file, "[sidecar]\nlisten = \"127.0.0.1\"\n[limts]\n")
	for args, want := range map[string][]string{
		"-config " + file:            {file + `:2:10: sidecar.listen: "127.0.0.1" has no port`, file + `:3:2: unknown table "limts"; did you mean "limits"?`},
		"-config /nowhere":           {"/nowhere: cannot be read: no such file or directory"},
		"-config " + file + " extra": {`unknown argument "extra"`},
		"-confg " + file:             {"flag provided but not defined"},
	} {
		cmd := ownProgram("", strings.Fields(args)...)
		out, err := cmd.CombinedOutput()
		if err == nil {
			t.Errorf("%s: it started", args)
		}
		for _, w := range want {
			if !strings.Contains(string(out), w) {
				t.Errorf("%s: got\n%s\nwant %s", args, out, w)
			}
		}
	}
}

// With a platform's configuration the product's file needs to say nothing of what that says, and the platform
// wins.
func TestProductFileUnderAPlatform(t *testing.T) {
	d := startSite(t, 1)
	platform := filepath.Join(t.TempDir(), "config.json")
	text := fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"a1","limits":{"cores":1,"memory_mb":64,"sockets":256},
		"settings":{"allowed":{"connectTimeout":2000000},"discovery":"push","instances":1,"services":[{"name":"book-trip","aim":1000000,
		"deadline":6000000,"effect":"idempotency_key","keyScope":"all","window":10000000,"gain":1}],"tiers":["front"],"zones":["z"],"models":["m"]}}`, d.Address())
	if err := os.WriteFile(platform, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	p := launch(t, "[callers]\nmax_body = \"1KiB\"\n[limits]\nsockets = 99\n", "BALANCER_CONFIG="+platform)
	if !strings.Contains(p.start, p.file+":4: limits.sockets is not used") {
		t.Errorf("it said\n%s", p.start)
	}
	p.writeFile("[callers]\nmax_body = \"1KiB\"\n[limits]\nsockets = 98\n") // not used, so free to change
	p.signal(syscall.SIGHUP)
	p.awaitLog("reload: discovery is " + d.Address())
	if status, err := p.book(http.DefaultClient, strings.Repeat("x", 1025)); err != nil || status != http.StatusRequestEntityTooLarge {
		t.Errorf("status %d, %v", status, err)
	}
	if status, err := p.book(http.DefaultClient, "trip"); err != nil || status != http.StatusOK {
		t.Errorf("status %d, %v", status, err)
	}
}

// Under load, SIGHUP with every kind of broken file, and with files that change what may not change, loses no
// request and changes nothing; a good file then takes effect at once.
func TestReloadUnderLoad(t *testing.T) {
	broken, err := filepath.Glob(filepath.Join("..", "..", "internal", "tool", "testdata", "mistakes", "*.toml"))
	if err != nil || len(broken) < 80 {
		t.Fatalf("%d broken files, %v", len(broken), err)
	}
	d := startSite(t, 3)
	good := fmt.Sprintf(goodFile, d.Address())
	p := launch(t, good)

	var served atomic.Int64
	calm := p.callers(4, &served)
	refused := func(what string, wants ...string) {
		t.Helper()
		p.signal(syscall.SIGHUP)
		said := p.awaitLog("the old configuration stays")
		for _, want := range wants {
			if !strings.Contains(said, want) {
				t.Errorf("%s: said\n%s\nwant %q", what, said, want)
			}
		}
	}
	for _, path := range broken {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		p.writeFile(string(text))
		refused(path, p.file+":")
	}
	if err := os.Remove(p.file); err != nil {
		t.Fatal(err)
	}
	refused("no file", "no such file")
	p.writeFile(good + "[limits]\nsockets = 999\n[callers]\nmax_body = \"2KiB\"\n")
	refused("sockets", fmt.Sprintf("%s:20:1: limits.sockets has changed, which takes effect at a start only", p.file))
	p.writeFile(strings.Replace(good, "[class.find-trip]\naim = \"2s\"\ndeadline = \"6s\"\neffect = \"safe\"\n", "", 1))
	refused("a class gone", "class.find-trip.aim has changed")

	// Nothing of these was taken up: a body of 3 KiB still passes.
	if status, err := p.book(http.DefaultClient, strings.Repeat("x", 3<<10)); err != nil || status != http.StatusOK {
		t.Errorf("status %d, %v", status, err)
	}
	// A good file is taken up whole: the bound, and another discovery.
	other := startSite(t, 2)
	p.writeFile(strings.Replace(good, d.Address(), other.Address(), 1) + "[callers]\nmax_body = \"2KiB\"\n")
	p.signal(syscall.SIGHUP)
	p.awaitLog("reload: discovery is " + other.Address())
	if status, err := p.book(http.DefaultClient, strings.Repeat("x", 3<<10)); err != nil || status != http.StatusRequestEntityTooLarge {
		t.Errorf("status %d, %v", status, err)
	}
	before := served.Load()
	for end := time.Now().Add(patience); served.Load() < before+50 && !t.Failed(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("nothing is served any more")
		}
	}
	calm()
	if served.Load() == 0 {
		t.Error("nothing was served")
	}
}

// A file on which only the listener is taken fails with its address.
func TestListenerTaken(t *testing.T) {
	taken, err := listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer closeNow(taken)
	d := startSite(t, 1)
	file := filepath.Join(t.TempDir(), "sidecar.toml")
	text := strings.Replace(fmt.Sprintf(goodFile, d.Address()), "127.0.0.1:0", taken.Addr().String(), 1)
	putFile(t, file, text)
	cmd := ownProgram("", "-config", file)
	if out, err := cmd.CombinedOutput(); err == nil || !strings.Contains(string(out), taken.Addr().String()) {
		t.Errorf("%v: %s", err, out)
	}
}

// BenchmarkStart starts the program, with a platform's configuration alone and with the product's file, and
// reports the time until it is ready and the memory that it then holds. Run it with a built program:
//
//	go build -o bin/ ./cmd/quincegap && QUINCEGAP=$PWD/bin/quincegap go test ./cmd/quincegap -run '^$' -bench Start -benchtime 20x
func BenchmarkStart(b *testing.B) {
	program := os.Getenv("QUINCEGAP")
	if program == "" {
		b.Skip("QUINCEGAP names no program")
	}
	d := startSite(b, 3)
	dir := b.TempDir()
	platform, file, overlay := filepath.Join(dir, "config.json"), filepath.Join(dir, "sidecar.toml"), filepath.Join(dir, "overlay.toml")
	address := freePort(b)
	putFile(b, platform, fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"a1","limits":{"cores":1,"memory_mb":192,"sockets":1024},
		"settings":{"allowed":{"connectTimeout":2000000},"discovery":"push","instances":1,"services":[{"name":"book-trip","aim":1000000,
		"deadline":6000000,"effect":"idempotency_key","keyScope":"all","window":10000000,"gain":1}],"tiers":["front"],"zones":["z"],"models":["m"]}}`, address, d.Address()))
	putFile(b, file, strings.Replace(fmt.Sprintf(goodFile, d.Address()), "127.0.0.1:0", address, 1))
	putFile(b, overlay, "[callers]\nmax_body = \"32KiB\"\n")
	for _, c := range []struct {
		name string
		args []string
		env  string
	}{
		{"platform", nil, "BALANCER_CONFIG=" + platform},
		{"platform+file", []string{"-config", overlay}, "BALANCER_CONFIG=" + platform},
		{"file", []string{"-config", file}, "BALANCER_CONFIG="},
	} {
		b.Run(c.name, func(b *testing.B) {
			var rss, peak float64
			for range b.N {
				cmd := command(program, c.args...)
				cmd.Env = append(os.Environ(), c.env)
				if err := cmd.Start(); err != nil {
					b.Fatal(err)
				}
				client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
				awaitReady(b, client, "http://"+address, 200*time.Microsecond)
				b.StopTimer()
				status := processStatus(b, cmd.Process.Pid)
				rss += kilobytes(status, "VmRSS:")
				peak += kilobytes(status, "VmHWM:")
				killNow(cmd)
				b.StartTimer()
			}
			b.ReportMetric(rss/float64(b.N)/1024, "MiB-rss")
			b.ReportMetric(peak/float64(b.N)/1024, "MiB-peak")
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/1000, "ms/start")
		})
	}
}

// processStatus is what the system says of a process.
func processStatus(tb testing.TB, pid int) string {
	tb.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		tb.Fatal(err)
	}
	return string(status)
}

// kilobytes is a figure of a process's status; 0 where it is missing.
func kilobytes(status, name string) (kb float64) {
	if _, rest, ok := strings.Cut(status, name); ok {
		_, _ = fmt.Sscan(rest, &kb) // 0 where it is no number
	}
	return kb
}

// freePort is a loopback address that nobody listens at.
func freePort(tb testing.TB) string {
	tb.Helper()
	l, err := listen("127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	defer closeNow(l)
	return l.Addr().String()
}

// startDiscovery is a discovery with endpoints.
func startDiscovery(tb testing.TB, targets ...booking.Target) *booking.Discovery {
	tb.Helper()
	d, err := booking.StartDiscovery("", targets...)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(d.Close)
	return d
}
