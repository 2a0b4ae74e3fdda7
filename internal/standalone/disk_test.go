package standalone

import (
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"quincegap/internal/config/appfile"
	"quincegap/internal/config/doc"
	"quincegap/internal/config/finding"
	"quincegap/internal/config/schema"
	"quincegap/internal/standin/disk"
)

// useDisk configures the sidecars that a test starts to store their records on a disk. If the disk fails, requests of class once are
// rejected, and requests of other classes are served without a record.
func useDisk(t *testing.T, d *disk.Disk) {
	t.Helper()
	var found finding.List
	const classes = "[class.once]\naim = \"9s\"\ndeadline = \"10s\"\neffect = \"unsafe\"\nwithout_memory = \"refuse\"\n"
	text := doc.ReadTOML([]byte(classes), 1<<10, found.ForFile("f"))
	file := schema.New(appfile.ClassTable.Table).Decode(&found, schema.Options{}, schema.Layer{Doc: text, Table: text.Root, File: "f"})
	if err := found.Err(); err != nil {
		t.Fatal(err)
	}
	adjustConfig = func(c *Config) {
		c.file = file
		c.storeFS = d
		c.tuning.memory.Dir = "unused"
		c.tuning.memory.WriteTimeout = 250 * time.Millisecond
	}
	t.Cleanup(func() { adjustConfig = func(*Config) {} })
}

// runCounter counts how often each request ran at the endpoints.
type runCounter struct {
	mu     sync.Mutex
	counts map[string]int // number of runs by request id
}

// serve is the handler of the endpoints.
func (r *runCounter) serve(w http.ResponseWriter, got *http.Request) {
	r.mu.Lock()
	r.counts[got.Header.Get("X-Txn")]++
	r.mu.Unlock()
	write(w, "ok")
}

// count returns how often the request with an id ran.
func (r *runCounter) count(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts[id]
}

// diskSidecar is a sidecar that stores its records on a disk that may fail.
type diskSidecar struct {
	*testSidecar
	runs *runCounter
}

// startOnDisk starts a sidecar that stores its records on a disk. Its endpoints count how often each request runs.
func startOnDisk(t *testing.T, d *disk.Disk, counter *runCounter) *diskSidecar {
	t.Helper()
	useDisk(t, d)
	sidecar := startSidecar(t, 1024, startEndpoint(t, "s-1", counter.serve), startEndpoint(t, "s-2", counter.serve))
	return &diskSidecar{testSidecar: sidecar, runs: counter}
}

// callExpecting sends a request of a class and checks the status of its answer, unless want is 0. It also checks that the request ran
// once if the status is 200, and not at all otherwise. It returns the request's id.
func (d *diskSidecar) callExpecting(class string, want int) (id string) {
	d.t.Helper()
	r := d.request(class, 5*time.Second)
	id = r.Header.Get("X-Txn")
	if class == "book" {
		r.Header.Set("Idempotency-Key", id)
	}
	status, _ := d.call(r)
	if want != 0 && status != want {
		d.t.Errorf("request of class %s: got status %d, want %d", class, status, want)
	}
	if n := d.runs.count(id); (status == http.StatusOK) != (n == 1) || n > 1 {
		d.t.Errorf("request of class %s: got status %d and %d runs, want one run with status 200 and none otherwise", class, status, n)
	}
	return id
}

// sendUntilRun sends requests that are not idempotent until one runs, and returns its id. The first ones may be rejected, because on a
// busy machine even a working disk may be too slow.
func (d *diskSidecar) sendUntilRun() (id string) {
	d.t.Helper()
	d.waitUntil("a request is recorded and runs", func() bool {
		id = d.callExpecting("once", 0)
		return d.runs.count(id) == 1
	})
	return id
}

// checkRepeatFails repeats a request that ran, and checks that the repeat fails and does not run.
func (d *diskSidecar) checkRepeatFails(when, id string) {
	d.t.Helper()
	r := d.request("once", 5*time.Second)
	r.Header.Set("X-Txn", id)
	if status, _ := d.call(r); status != http.StatusBadGateway || d.runs.count(id) != 1 {
		d.t.Errorf("repeat %s: got status %d and %d runs in total, want 502 and 1", when, status, d.runs.count(id))
	}
}

// A disk that hangs, fails each write or is full does not delay requests that need not be recorded. Each class behaves as its settings
// say, no rejected request has run, and requests are served as before once the disk works again.
func TestFailingDiskOverSockets(t *testing.T) {
	for _, test := range []struct {
		name string
		fail func(d *disk.Disk) (repair func())
	}{
		{"slow", func(d *disk.Disk) func() { return d.BlockSyncs() }},
		{"failing", func(d *disk.Disk) func() {
			d.Fail(syscall.EIO)
			return func() { d.Fail(nil) }
		}},
		{"full", func(d *disk.Disk) func() {
			d.SetCapacity(0)
			return func() { d.SetCapacity(-1) }
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			fs := disk.New()
			counter := &runCounter{counts: map[string]int{}}
			sidecar := startOnDisk(t, fs, counter)
			first := sidecar.sendUntilRun()
			repair := test.fail(fs)
			defer repair()
			for range 3 {
				sidecar.callExpecting("read", http.StatusOK)
				sidecar.callExpecting("book", http.StatusOK)
				sidecar.callExpecting("once", http.StatusServiceUnavailable)
			}
			sidecar.checkRepeatFails("while the disk fails", first) // its entry is still in the table, so the repeat is not rejected
			repair()
			last := sidecar.sendUntilRun()
			sidecar.callExpecting("book", http.StatusOK)

			// After a crash the next process knows the requests that were recorded before the failure and after it.
			sidecar = startOnDisk(t, fs.AfterCrash(), counter)
			for _, id := range []string{first, last} {
				sidecar.checkRepeatFails("after a crash", id)
			}
		})
	}
}
