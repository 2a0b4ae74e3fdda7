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

// unsafeClass is the part of a settings file with a class whose calls must not be repeated.
const unsafeClass = `
[class.pay-trip]
aim = "2500ms"
deadline = "6s"
effect = "unsafe"
without_memory = "refuse"
`

// restartedSidecar is a sidecar that is killed and started again repeatedly, with its callers.
type restartedSidecar struct {
	current atomic.Pointer[process]
	done    atomic.Bool  // whether the callers have to stop
	served  atomic.Int64 // the number of bookings that were served
}

// book sends bookings until done is set. The bookings of a caller with an even number have keys; those of the others are unsafe.
func (r *restartedSidecar) book(caller int) {
	for n := 0; !r.done.Load(); n++ {
		class, key := "book-trip", fmt.Sprintf("key-%d-%d", caller, n)
		if caller%2 == 1 {
			class, key = "pay-trip", ""
		}
		r.bookUntilAnswered(class, fmt.Sprintf("t-%d-%d", caller, n), key)
	}
}

// bookUntilAnswered sends a booking, and repeats it while its connection breaks or it is rejected. Attempts of a booking with a key have
// different ids.
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
			return // after a failure it is unknown whether the booking was executed, so that an unsafe one is not repeated
		}
		if r.done.Load() && err != nil {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// bookThroughKills sends bookings, with keys and unsafe ones, to a sidecar that is killed and started again repeatedly. Clients send a
// booking again if their connection breaks, as their library or a proxy would do. They also do so after a rejection, which promises that
// the booking was not executed. It returns the number of bookings that were executed more than once, and of all that were executed.
func bookThroughKills(t *testing.T, kills int, memory string) (duplicates, all int) {
	t.Helper()
	ledger := newLedger()
	discovery := startDiscovery(t, startCells(t, ledger, 2, 2)...)
	text := fmt.Sprintf(sidecarFile, discovery.Address()) + unsafeClass + memory
	var sidecar restartedSidecar
	sidecar.current.Store(launch(t, text))
	var callers sync.WaitGroup
	for caller := range 8 {
		callers.Go(func() { sidecar.book(caller) })
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

// A sidecar that stores bookings and is killed repeatedly never has one executed twice. Without the store it does, which shows that the
// test can fail.
func TestKilledWithMemory(t *testing.T) {
	kills := 6
	if n, err := strconv.Atoi(os.Getenv("KILLS")); err == nil {
		kills = n
	}
	memory := fmt.Sprintf("[memory]\nmemory_dir = %q\nmemory_wait = \"5s\"\n", t.TempDir())
	duplicates, all := bookThroughKills(t, kills, memory)
	t.Logf("with the store %d of %d bookings were executed more than once", duplicates, all)
	if duplicates > 0 || all == 0 {
		t.Errorf("with the store %d of %d bookings were executed more than once, want 0 of more than 0", duplicates, all)
	}
	duplicates, all = bookThroughKills(t, kills, "")
	t.Logf("without the store %d of %d bookings were executed more than once", duplicates, all)
	if duplicates == 0 {
		t.Errorf("without the store 0 of %d bookings were executed more than once: the kills test nothing", all)
	}
}

// A sidecar that starts while the discovery service is unavailable continues with the endpoints that it had before.
func TestStartWithStoredEndpoints(t *testing.T) {
	ledger := newLedger()
	discovery := startDiscovery(t, startCells(t, ledger, 2, 2)...)
	text := fmt.Sprintf(sidecarFile, discovery.Address()) + fmt.Sprintf("[memory]\nmemory_dir = %q\n", t.TempDir())
	sidecar := launch(t, text)
	if status, err := send(sidecar.url, "book-trip", "a", "a"); err != nil || status != http.StatusOK {
		t.Fatalf("a booking before the crash: got status %d, error %v, want status 200", status, err)
	}
	sidecar.crash()
	discovery.Close()
	sidecar = launch(t, text) // returns when the sidecar is ready
	if line := "memory: starting with the saved list of 4 endpoints, last confirmed"; !strings.Contains(sidecar.startLog, line) {
		sidecar.awaitLog(line)
	}
	if status, err := send(sidecar.url, "book-trip", "b", "b"); err != nil || status != http.StatusOK {
		t.Errorf("a booking after the restart: got status %d, error %v, want status 200", status, err)
	}
}

// When the store is full, the requests of a class are either served without being stored or rejected, as the settings of the class say.
func TestMemoryIsFull(t *testing.T) {
	ledger := newLedger()
	discovery := startDiscovery(t, startCells(t, ledger, 2, 2)...)
	dir := t.TempDir()
	text := fmt.Sprintf(sidecarFile, discovery.Address()) + unsafeClass +
		fmt.Sprintf("[memory]\nmemory_dir = %q\nremembered_requests = 100\n", dir)
	sidecar := launch(t, text)
	if status, err := send(sidecar.url, "pay-trip", "paid", ""); err != nil || status != http.StatusOK {
		t.Fatalf("an unsafe booking: got status %d, error %v, want status 200", status, err)
	}
	for i := range 99 { // until the store is full
		if status, err := send(sidecar.url, "book-trip", fmt.Sprint("k", i), fmt.Sprint("k", i)); err != nil || status != http.StatusOK {
			t.Fatalf("booking %d with a key: got status %d, error %v, want status 200", i, status, err)
		}
	}
	if status, err := send(sidecar.url, "book-trip", "more", "more"); err != nil || status != http.StatusOK {
		t.Errorf("a booking with a key when the store is full: got status %d, error %v, want status 200", status, err)
	}
	sidecar.awaitLog("memory: cannot store state")
	if status, err := send(sidecar.url, "pay-trip", "pay", ""); err != nil || status != http.StatusServiceUnavailable {
		t.Errorf("an unsafe booking when the store is full: got status %d, error %v, want status 503", status, err)
	}
	if ledger.executions["pay"] != 0 {
		t.Errorf("the rejected booking was executed %d times, want 0", ledger.executions["pay"])
	}
	// A call that was executed is never rejected, whatever happens to the disk, as a rejection promises that a repeat is safe.
	sidecar.crash()
	sidecar = launch(t, text)
	if status, err := send(sidecar.url, "book-trip", "again", "again"); err != nil || status != http.StatusOK {
		t.Errorf("a booking with a key after the restart: got status %d, error %v, want status 200", status, err)
	}
	sidecar.awaitLog("memory: cannot store state")
	if status, err := send(sidecar.url, "pay-trip", "paid", ""); err != nil || status != http.StatusBadGateway ||
		ledger.executions["paid"] != 1 {
		t.Errorf("a repeat of the executed unsafe booking: got status %d, error %v and %d executions, want status 502 and 1 execution",
			status, err, ledger.executions["paid"])
	}
}

// A second sidecar with the same store directory does not start.
func TestMemoryIsInUse(t *testing.T) {
	ledger := newLedger()
	discovery := startDiscovery(t, startCells(t, ledger, 2, 2)...)
	text := fmt.Sprintf(sidecarFile, discovery.Address()) + fmt.Sprintf("[memory]\nmemory_dir = %q\n", t.TempDir())
	launch(t, text)
	out, err := runUntilEnd(t, text)
	if err == nil || !strings.Contains(out, "another process has this store open") {
		t.Errorf("a second sidecar with the same store: got error %v and output\n%s\nwant an error that another process has it open", err, out)
	}
}
