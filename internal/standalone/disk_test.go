package standalone

import (
	"fmt"
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
	text := doc.ReadTOML([]byte("[class.once]\naim = \"9s\"\ndeadline = \"10s\"\neffect = \"unsafe\"\nwithout_memory = \"refuse\"\n"), 1<<10, found.In("f"))
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
	fmt.Fprint(w, "ok")
}

func (x *runs) ran(id string) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.of[id]
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
			d, x := disk.New(), &runs{of: map[string]int{}}
			onDisk(t, d)
			rg := start(t, 1024, startEndpoint(t, "s-1", x.serve), startEndpoint(t, "s-2", x.serve))
			try := func(class string, want int) (id string) {
				t.Helper()
				r := rg.request(class, 5*time.Second)
				id = r.Header.Get("X-Txn")
				if class == "book" {
					r.Header.Set("Idempotency-Key", id)
				}
				status, _ := rg.ask(r)
				if want != 0 && status != want {
					t.Errorf("%s: status %d, wanted %d", class, status, want)
				}
				if n := x.ran(id); (status == http.StatusOK) != (n == 1) || n > 1 {
					t.Errorf("%s: status %d, and it ran %d times", class, status, n)
				}
				return id
			}
			pay := func() (id string) { // as often as it takes: a busy machine may be as slow as a disk
				t.Helper()
				rg.until("something is remembered and runs", func() bool {
					id = try("once", 0)
					return x.ran(id) == 1
				})
				return id
			}
			paid := pay()
			well := c.ill(d)
			defer well()
			for range 3 {
				try("read", http.StatusOK)
				try("book", http.StatusOK)
				try("once", http.StatusServiceUnavailable)
			}
			// What may have run is no less known for it, and is not refused.
			r := rg.request("once", 5*time.Second)
			r.Header.Set("X-Txn", paid)
			if status, _ := rg.ask(r); status != http.StatusBadGateway || x.ran(paid) != 1 {
				t.Errorf("a repeat of what ran: status %d, and it ran %d times", status, x.ran(paid))
			}
			well()
			last := pay()
			try("book", http.StatusOK)

			// The next life knows what was remembered, before and after.
			again := d.AfterCrash()
			onDisk(t, again)
			rg = start(t, 1024, startEndpoint(t, "s-1", x.serve), startEndpoint(t, "s-2", x.serve))
			for _, id := range []string{paid, last} {
				r := rg.request("once", 5*time.Second)
				r.Header.Set("X-Txn", id)
				if status, _ := rg.ask(r); status != http.StatusBadGateway || x.ran(id) != 1 {
					t.Errorf("a repeat in the next life: status %d, and it ran %d times", status, x.ran(id))
				}
			}
		})
	}
}
