package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// unsafeClass has the settings of a class whose calls must not be repeated.
const unsafeClass = `
[class.pay-trip]
aim = "2500ms"
deadline = "6s"
effect = "unsafe"
without_memory = "refuse"
`

// restartedSidecar is a sidecar that is killed and started again and again, with callers.
type restartedSidecar struct {
	current atomic.Pointer[process]
	done    atomic.Bool // the callers stop
	served  atomic.Int64
}

// book books until done is set: with keys, or unsafe if the caller's number is odd.
func (r *restartedSidecar) book(caller int) {
	for n := 0; !r.done.Load(); n++ {
		class, key := "book-trip", fmt.Sprintf("key-%d-%d", caller, n)
		if caller%2 == 1 {
			class, key = "pay-trip", ""
		}
		r.bookUntilAnswered(class, fmt.Sprintf("t-%d-%d", caller, n), key)
	}
}

// bookUntilAnswered sends a booking, and again while its connection breaks or it is rejected. Attempts of a booking with a key have an id
// each.
func (r *restartedSidecar) bookUntilAnswered(class, id, key string) {
	for attempt := range 200 {
		txn := id
		if key != "" {
			txn += fmt.Sprint("-", attempt)
		}
		status, err := send(r.current.Load().url, class, txn, key)
		if err == nil && status != http.StatusServiceUnavailable {
			if status == http.StatusOK {
				r.served.Add(1)
			}
			return // a failure leaves open whether it was executed, so an unsafe one is not sent again
		}
		if r.done.Load() && err != nil {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// bookThroughKills sends bookings, with keys and unsafe, to a sidecar that is killed and started again and again. Clients whose connection
// breaks send the same again, as their library or a proxy would do, and also after a rejection, which promises that the booking was not
// executed. It returns the number of bookings that happened more than once, and of all that happened.
func bookThroughKills(t *testing.T, kills int, memory string) (duplicates, all int) {
	t.Helper()
	ledger := newLedger()
	d := startDiscovery(t, startCells(t, ledger, 2, 2)...)
	text := fmt.Sprintf(sidecarFile, d.Address()) + unsafeClass + memory
	var sidecar restartedSidecar
	sidecar.current.Store(launch(t, text))
	var callers sync.WaitGroup
	for c := range 8 {
		callers.Go(func() { sidecar.book(c) })
	}
	rng := rand.New(rand.NewPCG(1, 2))
	for range kills {
		for before := sidecar.served.Load(); sidecar.served.Load() < before+int64(20+rng.IntN(40)); {
			time.Sleep(time.Millisecond)
		}
		sidecar.current.Load().crash()
		sidecar.current.Store(launch(t, text))
	}
	sidecar.done.Store(true)
	callers.Wait()
	return ledger.duplicates()
}

// A sidecar that is killed again and again during bookings never executes one twice. Without its memory it does, which shows that the
// test can fail.
func TestKilledWithMemory(t *testing.T) {
	kills := 6
	if n, err := strconv.Atoi(os.Getenv("KILLS")); err == nil {
		kills = n
	}
	memory := fmt.Sprintf("[memory]\nmemory_dir = %q\nmemory_wait = \"5s\"\n", t.TempDir())
	duplicates, all := bookThroughKills(t, kills, memory)
	t.Logf("with memory: %d of %d happened twice", duplicates, all)
	if duplicates > 0 || all == 0 {
		t.Errorf("%d of %d happened twice", duplicates, all)
	}
	duplicates, all = bookThroughKills(t, kills, "")
	t.Logf("without: %d of %d happened twice", duplicates, all)
	if duplicates == 0 {
		t.Error("without memory nothing happened twice: nothing is tested")
	}
}

// A sidecar that starts while discovery is unavailable continues with the endpoints that it had.
func TestListIsRemembered(t *testing.T) {
	l := newLedger()
	d := startDiscovery(t, startCells(t, l, 2, 2)...)
	text := fmt.Sprintf(sidecarFile, d.Address()) + fmt.Sprintf("[memory]\nmemory_dir = %q\n", t.TempDir())
	p := launch(t, text)
	if status, err := send(p.url, "book-trip", "a", "a"); err != nil || status != http.StatusOK {
		t.Fatal(status, err)
	}
	p.crash()
	d.Close()
	p = launch(t, text) // waits until it is ready
	if line := "begins with 4 endpoints as they were"; !strings.Contains(p.startLog, line) {
		p.awaitLog(line)
	}
	if status, err := send(p.url, "book-trip", "b", "b"); err != nil || status != http.StatusOK {
		t.Errorf("%d, %v", status, err)
	}
}

// When the store is full, a class is served without it or rejected, as its settings say.
func TestMemoryIsFull(t *testing.T) {
	ledger := newLedger()
	d := startDiscovery(t, startCells(t, ledger, 2, 2)...)
	dir := t.TempDir()
	text := fmt.Sprintf(sidecarFile, d.Address()) + unsafeClass + fmt.Sprintf("[memory]\nmemory_dir = %q\nremembered_requests = 100\n", dir)
	sidecar := launch(t, text)
	if status, err := send(sidecar.url, "pay-trip", "paid", ""); err != nil || status != http.StatusOK {
		t.Fatal(status, err)
	}
	for i := range 99 { // until the store is full
		if status, err := send(sidecar.url, "book-trip", fmt.Sprint("k", i), fmt.Sprint("k", i)); err != nil || status != http.StatusOK {
			t.Fatal(status, err)
		}
	}
	if status, err := send(sidecar.url, "book-trip", "more", "more"); err != nil || status != http.StatusOK {
		t.Errorf("it is not served: %d, %v", status, err)
	}
	sidecar.awaitLog("NOT REMEMBERED")
	if status, err := send(sidecar.url, "pay-trip", "pay", ""); err != nil || status != http.StatusServiceUnavailable {
		t.Errorf("it is not rejected: %d, %v", status, err)
	}
	if ledger.runs["pay"] != 0 {
		t.Error("what was rejected was executed")
	}
	// A call that was executed is never rejected, whatever the disk does: that would promise that a repeat is safe.
	sidecar.crash()
	sidecar = launch(t, text)
	if status, err := send(sidecar.url, "book-trip", "again", "again"); err != nil || status != http.StatusOK {
		t.Errorf("it is not served: %d, %v", status, err)
	}
	sidecar.awaitLog("NOT REMEMBERED")
	if status, err := send(sidecar.url, "pay-trip", "paid", ""); err != nil || status != http.StatusBadGateway || ledger.runs["paid"] != 1 {
		t.Errorf("a repeat of what was executed: %d, %v; it was executed %d times", status, err, ledger.runs["paid"])
	}
}

// A second sidecar with the same directory does not start.
func TestMemoryIsTaken(t *testing.T) {
	l := newLedger()
	d := startDiscovery(t, startCells(t, l, 2, 2)...)
	text := fmt.Sprintf(sidecarFile, d.Address()) + fmt.Sprintf("[memory]\nmemory_dir = %q\n", t.TempDir())
	launch(t, text)
	out, err := runUntilEnd(t, text)
	if err == nil || !strings.Contains(out, "another process has this store open") {
		t.Errorf("%v\n%s", err, out)
	}
}
