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

// A store is verified, dumped, compacted and repaired; what is open is read and not changed, and what is damaged is
// named, kept aside and never taken for sound.
func TestStoreCommands(t *testing.T) {
	dir := t.TempDir()
	s, err := store.Open(store.Dir(dir), store.Options{SegmentBytes: 400})
	if err != nil {
		t.Fatal(err)
	}
	for i := range 20 {
		e := idempotency.Entry{Class: "book-trip", Origin: idempotency.Origin{Zone: "north", Cell: 2, Endpoint: "box-1"}, Retention: time.Hour}
		id := idempotency.KeyedID("book-trip", fmt.Sprint(i%10))
		if err := s.Put(append([]byte{'r'}, id[:]...), e.Encode(), time.Hour); err != nil {
			t.Fatal(err)
		}
	}
	expect := func(code int, wants []string, args ...string) {
		t.Helper()
		got, out, errs := run(args...)
		for _, want := range wants {
			if !strings.Contains(out+errs, want) {
				t.Errorf("%v: it lacks %q:\n%s%s", args, want, out, errs)
			}
		}
		if got != code {
			t.Errorf("%v: code %d:\n%s%s", args, got, out, errs)
		}
	}
	expect(ExitOK, []string{"10 live records", "a process has it open"}, "store", "verify", dir)
	expect(ExitOK, []string{`"kind":"request"`, `"Cell":2`, `"Class":"book-trip"`}, "store", "dump", dir)
	expect(ExitFindings, []string{"another process has this store open"}, "store", "compact", dir)
	expect(ExitFindings, []string{"another process has this store open"}, "store", "repair", dir)
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	expect(ExitOK, []string{"10 live records", "no process has it open"}, "store", "verify", dir)
	expect(ExitOK, []string{"10 live records"}, "store", "compact", dir)
	expect(ExitOK, []string{"10 live records in 2 files"}, "store", "verify", dir)

	files, _ := filepath.Glob(filepath.Join(dir, "*.seg"))
	hit := files[0]
	for _, f := range files {
		a, _ := os.Stat(f)
		b, _ := os.Stat(hit)
		if a.Size() > b.Size() {
			hit = f
		}
	}
	text, _ := os.ReadFile(hit)
	text[len(text)/2] ^= 4
	if err := os.WriteFile(hit, text, 0o600); err != nil {
		t.Fatal(err)
	}
	expect(ExitFindings, []string{"damaged: " + filepath.Base(hit), "9 live records"}, "store", "verify", dir)
	expect(ExitFindings, []string{"1 places are damaged"}, "store", "compact", dir)
	expect(ExitOK, []string{"damaged: " + filepath.Base(hit), "9 live records"}, "store", "repair", dir)
	expect(ExitOK, []string{"0 places damaged", "9 live records"}, "store", "verify", dir)
	if kept, err := os.ReadFile(hit + ".damaged"); err != nil || string(kept) != string(text) {
		t.Errorf("the damaged file was not kept: %v", err)
	}
	expect(ExitFindings, []string{"there is no store here"}, "store", "verify", filepath.Join(dir, "nowhere"))
	expect(ExitFindings, []string{"no such file"}, "store", "compact", filepath.Join(dir, "nowhere"))
	expect(ExitFindings, []string{"there is no store here"}, "store", "verify", t.TempDir())
	expect(ExitUsage, nil, "store", "verify")
}
