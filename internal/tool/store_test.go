package tool

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"quincegap/internal/files/store"
	"quincegap/internal/modules/idempotency"
)

// The store commands verify, dump, compact and repair a store. A store that a process has open is only read. A damaged file is reported,
// retained under another name, and never accepted as valid.
func TestStoreCommands(t *testing.T) {
	dir := t.TempDir()
	opened, err := store.Open(store.Dir(dir), store.Options{SegmentBytes: 400})
	if err != nil {
		t.Fatal(err)
	}
	for i := range 20 {
		e := idempotency.Entry{
			Class:     "book-trip",
			Origin:    idempotency.Origin{Zone: "north", Cell: 2, Endpoint: "box-1"},
			Retention: time.Hour,
		}
		id := idempotency.KeyedID("book-trip", fmt.Sprint(i%10))
		if err := opened.Put(append([]byte{'r'}, id[:]...), e.Encode(), time.Hour); err != nil {
			t.Fatal(err)
		}
	}
	expect := func(code int, wants []string, args ...string) {
		t.Helper()
		got, out, errs := run(args...)
		for _, want := range wants {
			if !strings.Contains(out+errs, want) {
				t.Errorf("%v: output lacks %q:\n%s%s", args, want, out, errs)
			}
		}
		if got != code {
			t.Errorf("%v: exit %d, want %d:\n%s%s", args, got, code, out, errs)
		}
	}
	expect(ExitOK, []string{"10 live records", "a process has it open"}, "store", "verify", dir)
	expect(ExitOK, []string{`"kind":"request"`, `"Cell":2`, `"Class":"book-trip"`}, "store", "dump", dir)
	expect(ExitFindings, []string{"another process has this store open"}, "store", "compact", dir)
	expect(ExitFindings, []string{"another process has this store open"}, "store", "repair", dir)
	if err := opened.Close(); err != nil {
		t.Fatal(err)
	}
	expect(ExitOK, []string{"10 live records", "no process has it open"}, "store", "verify", dir)
	expect(ExitOK, []string{"10 live records"}, "store", "compact", dir)
	expect(ExitOK, []string{"10 live records in 2 files"}, "store", "verify", dir)

	damaged, text := damageLargestSegment(t, dir)
	expect(ExitFindings, []string{"damaged: " + filepath.Base(damaged), "9 live records"}, "store", "verify", dir)
	expect(ExitFindings, []string{"1 places are damaged"}, "store", "compact", dir)
	expect(ExitOK, []string{"damaged: " + filepath.Base(damaged), "9 live records"}, "store", "repair", dir)
	expect(ExitOK, []string{"0 places damaged", "9 live records"}, "store", "verify", dir)
	if retained, err := os.ReadFile(damaged + ".damaged"); err != nil || string(retained) != string(text) {
		t.Errorf("the damaged file was not retained unchanged as %s.damaged: %v", damaged, err)
	}
	expect(ExitFindings, []string{"there is no store here"}, "store", "verify", filepath.Join(dir, "nowhere"))
	expect(ExitFindings, []string{"no such file"}, "store", "compact", filepath.Join(dir, "nowhere"))
	expect(ExitFindings, []string{"there is no store here"}, "store", "verify", t.TempDir())
	expect(ExitUsage, nil, "store", "verify")
}

// damageLargestSegment flips a bit in the middle of a store's largest segment file. It returns the file's path and its new content.
func damageLargestSegment(t *testing.T, dir string) (path string, text []byte) {
	t.Helper()
	files, _ := filepath.Glob(filepath.Join(dir, "*.seg"))
	path = files[0]
	for _, f := range files {
		a, _ := os.Stat(f)
		b, _ := os.Stat(path)
		if a.Size() > b.Size() {
			path = f
		}
	}
	text, _ = os.ReadFile(path)
	text[len(text)/2] ^= 4
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	return path, text
}
