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

// onDisk has the sidecars that a test starts remember on a disk; what is of class once is refused where it cannot
// be remembered, and the others go on.
func onDisk(t *testing.T, d *disk.Disk) {
	t.Helper()
	var found finding.List
	text := doc.ReadTOML([]byte("[class.once]\naim = \"9s\"\ndeadline = \"10s\"\neffect = \"unsafe\"\nwithout_memory = \"refuse\"\n"), 1<<10, found.ForFile("f"))
	file := schema.New(appfile.ClassTable.Table).Decode(&found, schema.Options{}, schema.Layer{Doc: text, Table: text.Root, File: "f"})
	if err := found.Err(); err != nil {
		t.Fatal(err)
	}
	adjustConfig = func(c *Config) {
		c.file, c.storeFS = file, d
		c.tuning.memory.Dir, c.tuning.memory.WriteTimeout = "unused", 250*time.Millisecond
	}
	t.Cleanup(func() { adjustConfig = func(*Config) {} })
}

// runs counts how often each request ran.
type runs struct {
	mu sync.Mutex
	of map[string]int
}

func (x *runs) serve(w http.ResponseWriter, r *http.Request) {
	x.mu.Lock()
	x.of[r.Header.Get("X-Txn")]++
	x.mu.Unlock()
	write(w, "ok")
}

func (x *runs) ran(id string) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.of[id]
}

// diskRig is a sidecar on a disk that may fail, and what ran at its endpoints.
type diskRig struct {
	*rig
	runs *runs
}

// startOnDisk starts a sidecar that remembers on a disk.
func startOnDisk(t *testing.T, d *disk.Disk, x *runs) *diskRig {
	t.Helper()
	onDisk(t, d)
	return &diskRig{start(t, 1024, startEndpoint(t, "s-1", x.serve), startEndpoint(t, "s-2", x.serve)), x}
}

// try sends a request of a class, whose answer has to have a status, any where that is 0. It runs once if it is answered and
// not at all otherwise.
func (rg *diskRig) try(class string, want int) (id string) {
	rg.t.Helper()
	r := rg.request(class, 5*time.Second)
	id = r.Header.Get("X-Txn")
	if class == "book" {
		r.Header.Set("Idempotency-Key", id)
	}
	status, _ := rg.ask(r)
	if want != 0 && status != want {
		rg.t.Errorf("%s: status %d, wanted %d", class, status, want)
	}
	if n := rg.runs.ran(id); (status == http.StatusOK) != (n == 1) || n > 1 {
		rg.t.Errorf("%s: status %d, and it ran %d times", class, status, n)
	}
	return id
}

// pay sends an unsafe request as often as it takes until one runs: a busy machine may be as slow as a disk.
func (rg *diskRig) pay() (id string) {
	rg.t.Helper()
	rg.until("something is remembered and runs", func() bool {
		id = rg.try("once", 0)
		return rg.runs.ran(id) == 1
	})
	return id
}

// checkKnown sends a request once more that ran: it fails, and does not run again.
func (rg *diskRig) checkKnown(when, id string) {
	rg.t.Helper()
	r := rg.request("once", 5*time.Second)
	r.Header.Set("X-Txn", id)
	if status, _ := rg.ask(r); status != http.StatusBadGateway || rg.runs.ran(id) != 1 {
		rg.t.Errorf("a repeat %s: status %d, and it ran %d times", when, status, rg.runs.ran(id))
	}
}

// A disk that hangs, and one that fails each write, hold up nothing that need not be remembered. Each class does what
// its file says, nothing that was refused has run, and all is as before once the disk is well.
func TestIllDiskOverSockets(t *testing.T) {
	for _, c := range []struct {
		name string
		ill  func(d *disk.Disk) (well func())
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
		t.Run(c.name, func(t *testing.T) {
			d := disk.New()
			x := &runs{of: map[string]int{}}
			rg := startOnDisk(t, d, x)
			paid := rg.pay()
			well := c.ill(d)
			defer well()
			for range 3 {
				rg.try("read", http.StatusOK)
				rg.try("book", http.StatusOK)
				rg.try("once", http.StatusServiceUnavailable)
			}
			rg.checkKnown("while the disk is ill", paid) // it is no less known for it, and is not refused
			well()
			last := rg.pay()
			rg.try("book", http.StatusOK)

			// The next life knows what was remembered, before and after.
			rg = startOnDisk(t, d.AfterCrash(), x)
			for _, id := range []string{paid, last} {
				rg.checkKnown("in the next life", id)
			}
		})
	}
}
