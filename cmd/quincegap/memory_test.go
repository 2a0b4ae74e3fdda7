package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"quincegap/internal/standin/booking"
)

// ledger is what endpoints in several cells did: a cell drops the repeats of a key that it has seen; what has no
// key runs whenever it comes.
type ledger struct {
	mu   sync.Mutex
	seen map[string]bool // cell and key
	runs map[string]int  // by key, or by the id of what has none
}

func (l *ledger) serve(cell int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		drain(r.Body)
		key := r.Header.Get("Idempotency-Key")
		l.mu.Lock()
		if key == "" {
			l.runs[r.Header.Get("X-Txn")]++
		} else if at := fmt.Sprint(cell, key); !l.seen[at] {
			l.seen[at] = true
			l.runs[key]++
		}
		l.mu.Unlock()
		time.Sleep(5 * time.Millisecond) // the work, in the midst of which sidecars die
		write(w, "ok")
	}
}

// twice is how many effects happened more than once, and once or more.
func (l *ledger) twice() (twice, all int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, n := range l.runs {
		if n > 1 {
			twice++
		}
	}
	return twice, len(l.runs)
}

// cells starts some cells of some endpoints each.
func cells(tb testing.TB, l *ledger, n, size int) (targets []booking.Target) {
	tb.Helper()
	for i := range n * size {
		e, err := booking.StartEndpoint(fmt.Sprintf("box-%d", i), l.serve(i/size))
		if err != nil {
			tb.Fatal(err)
		}
		tb.Cleanup(e.Close)
		target := e.Target()
		target.Cell = i / size
		targets = append(targets, target)
	}
	return targets
}

const unsafeClass = `
[class.pay-trip]
aim = "2500ms"
deadline = "6s"
effect = "unsafe"
without_memory = "refuse"
`

// send asks for something, under ids that the caller chooses, on a connection of its own. How the answer's body ends is
// passed over.
func send(url, class, txn, key string) (status int, err error) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	if status, err = post(client, url, class, txn, key, "trip"); status != 0 {
		err = nil
	}
	return status, err
}

// restarted is a sidecar that is killed and started again and again, and those who book at it.
type restarted struct {
	at     atomic.Pointer[process]
	done   atomic.Bool
	served atomic.Int64
}

// book books until done is set: keyed, or unsafe for callers of odd numbers.
func (r *restarted) book(caller int) {
	for n := 0; !r.done.Load(); n++ {
		class, key := "book-trip", fmt.Sprintf("key-%d-%d", caller, n)
		if caller%2 == 1 {
			class, key = "pay-trip", ""
		}
		r.insist(class, fmt.Sprintf("t-%d-%d", caller, n), key)
	}
}

// insist sends a booking again while its connection breaks or it is refused. Of a keyed one each has another id.
func (r *restarted) insist(class, id, key string) {
	for try := range 200 {
		txn := id
		if key != "" {
			txn += fmt.Sprint("-", try)
		}
		status, err := send(r.at.Load().url, class, txn, key)
		if err == nil && status != http.StatusServiceUnavailable {
			if status == http.StatusOK {
				r.served.Add(1)
			}
			return // a failure promises nothing, so an unsafe one is not sent again
		}
		if r.done.Load() && err != nil {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// killed plays bookings, keyed and unsafe, at a sidecar that is killed and started again and again. Clients whose
// connection breaks send the same again, as their library or a proxy in front does, and after a refusal too, for
// that says that it is harmless.
func killed(t *testing.T, kills int, memory string) (twice, all int) {
	t.Helper()
	l := &ledger{seen: map[string]bool{}, runs: map[string]int{}}
	d := startDiscovery(t, cells(t, l, 2, 2)...)
	text := fmt.Sprintf(goodFile, d.Address()) + unsafeClass + memory
	var r restarted
	r.at.Store(launch(t, text))
	var callers sync.WaitGroup
	for c := range 8 {
		callers.Go(func() { r.book(c) })
	}
	rng := rand.New(rand.NewPCG(1, 2))
	for range kills {
		for before := r.served.Load(); r.served.Load() < before+int64(20+rng.IntN(40)); {
			time.Sleep(time.Millisecond)
		}
		r.at.Load().crash()
		r.at.Store(launch(t, text))
	}
	r.done.Store(true)
	callers.Wait()
	return l.twice()
}

// A sidecar that is killed again and again in the midst of bookings never has one happen twice. Without its memory
// it does, which shows that the test can fail.
func TestKilledWithMemory(t *testing.T) {
	kills := 6
	if n, err := strconv.Atoi(os.Getenv("KILLS")); err == nil {
		kills = n
	}
	memory := fmt.Sprintf("[memory]\nmemory_dir = %q\nmemory_wait = \"5s\"\n", t.TempDir())
	twice, all := killed(t, kills, memory)
	t.Logf("with memory: %d of %d happened twice", twice, all)
	if twice > 0 || all == 0 {
		t.Errorf("%d of %d happened twice", twice, all)
	}
	twice, all = killed(t, kills, "")
	t.Logf("without: %d of %d happened twice", twice, all)
	if twice == 0 {
		t.Error("without memory nothing happened twice: nothing is tested")
	}
}

// A sidecar that starts while discovery is away goes on with the endpoints that it had.
func TestListIsRemembered(t *testing.T) {
	l := &ledger{seen: map[string]bool{}, runs: map[string]int{}}
	d := startDiscovery(t, cells(t, l, 2, 2)...)
	text := fmt.Sprintf(goodFile, d.Address()) + fmt.Sprintf("[memory]\nmemory_dir = %q\n", t.TempDir())
	p := launch(t, text)
	if status, err := send(p.url, "book-trip", "a", "a"); err != nil || status != http.StatusOK {
		t.Fatal(status, err)
	}
	p.crash()
	d.Close()
	p = launch(t, text) // which waits until it is ready
	if word := "begins with 4 endpoints as they were"; !strings.Contains(p.start, word) {
		p.awaitLog(word)
	}
	if status, err := send(p.url, "book-trip", "b", "b"); err != nil || status != http.StatusOK {
		t.Errorf("%d, %v", status, err)
	}
}

// Where no more can be remembered, a class goes on or is refused, as its file says.
func TestMemoryIsFull(t *testing.T) {
	l := &ledger{seen: map[string]bool{}, runs: map[string]int{}}
	d := startDiscovery(t, cells(t, l, 2, 2)...)
	dir := t.TempDir()
	text := fmt.Sprintf(goodFile, d.Address()) + unsafeClass + fmt.Sprintf("[memory]\nmemory_dir = %q\nremembered_requests = 100\n", dir)
	p := launch(t, text)
	if status, err := send(p.url, "pay-trip", "paid", ""); err != nil || status != http.StatusOK {
		t.Fatal(status, err)
	}
	for i := range 99 { // as many as may be remembered
		if status, err := send(p.url, "book-trip", fmt.Sprint("k", i), fmt.Sprint("k", i)); err != nil || status != http.StatusOK {
			t.Fatal(status, err)
		}
	}
	if status, err := send(p.url, "book-trip", "more", "more"); err != nil || status != http.StatusOK {
		t.Errorf("it goes on: %d, %v", status, err)
	}
	p.awaitLog("NOT REMEMBERED")
	if status, err := send(p.url, "pay-trip", "pay", ""); err != nil || status != http.StatusServiceUnavailable {
		t.Errorf("it is refused: %d, %v", status, err)
	}
	if l.runs["pay"] != 0 {
		t.Error("what was refused ran")
	}
	// What has run is never refused, whatever the disk does: that would say that a repeat is harmless.
	p.crash()
	p = launch(t, text)
	if status, err := send(p.url, "book-trip", "again", "again"); err != nil || status != http.StatusOK {
		t.Errorf("it goes on: %d, %v", status, err)
	}
	p.awaitLog("NOT REMEMBERED")
	if status, err := send(p.url, "pay-trip", "paid", ""); err != nil || status != http.StatusBadGateway || l.runs["paid"] != 1 {
		t.Errorf("a repeat of what has run: %d, %v; it ran %d times", status, err, l.runs["paid"])
	}
}

// A second sidecar on the same directory does not start.
func TestMemoryIsTaken(t *testing.T) {
	l := &ledger{seen: map[string]bool{}, runs: map[string]int{}}
	d := startDiscovery(t, cells(t, l, 2, 2)...)
	text := fmt.Sprintf(goodFile, d.Address()) + fmt.Sprintf("[memory]\nmemory_dir = %q\n", t.TempDir())
	launch(t, text)
	out, err := startOnce(t, text)
	if err == nil || !strings.Contains(out, "another process has this store open") {
		t.Errorf("%v\n%s", err, out)
	}
}

// startOnce runs the program with a file until it ends by itself.
func startOnce(t *testing.T, text string) (string, error) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "sidecar.toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	out, err := ownProgram("", "-config", file).CombinedOutput()
	return string(out), err
}
