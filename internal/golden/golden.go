// Package golden compares the output of a test with a golden file, in testdata/golden of the package under test. Golden files hold what
// earlier versions of the programs have written or sent: frames, records, responses, settings. `go test PACKAGE -update-golden` writes them
// again from the output of the tests; a file that differs then means that a format has changed.
package golden

import (
	"bytes"
	"encoding/hex"
	"flag"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// folder is the directory of golden files, relative to the package under test.
const folder = "testdata/golden"

// hexBytesPerLine is the number of bytes on each line of a golden file in hexadecimal.
const hexBytesPerLine = 32

// update is whether the golden files are written instead of only read.
var update = flag.Bool("update-golden", false, "overwrite the files under "+folder+" with the output of the tests")

// Text fails the test unless got equals the content of the golden file with the given name.
func Text(tb testing.TB, name string, got []byte) {
	tb.Helper()
	path := filepath.Join(folder, filepath.FromSlash(name))
	if *update {
		write(tb, path, got)
	}
	want, err := os.ReadFile(path)
	if err != nil {
		tb.Fatalf("read golden file: %v", err)
	}
	if !bytes.Equal(got, want) {
		tb.Errorf("golden file %s differs from the output\n got: %s\nwant: %s", path, got, want)
	}
}

// Hex is like Text, for bytes that are not text. The golden file holds them in hexadecimal, 32 bytes per line.
func Hex(tb testing.TB, name string, got []byte) {
	tb.Helper()
	var text strings.Builder
	for line := range slices.Chunk(got, hexBytesPerLine) {
		text.WriteString(hex.EncodeToString(line))
		text.WriteByte('\n')
	}
	Text(tb, name, []byte(text.String()))
}

// Read returns the decoded bytes of a golden file that Hex has written. It fails the test if the file can't be read or decoded.
func Read(tb testing.TB, name string) []byte {
	tb.Helper()
	text, err := os.ReadFile(filepath.Join(folder, filepath.FromSlash(name)))
	if err != nil {
		tb.Fatalf("read golden file: %v", err)
	}
	data, err := hex.DecodeString(strings.Join(strings.Fields(string(text)), ""))
	if err != nil {
		tb.Fatalf("decode golden file %s: %v", name, err)
	}
	return data
}

// write writes a golden file and makes its directory if that is missing.
func write(tb testing.TB, path string, data []byte) {
	tb.Helper()
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		tb.Fatal(err)
	}
	if err := os.WriteFile(path, data, 0o644); err != nil {
		tb.Fatal(err)
	}
}
