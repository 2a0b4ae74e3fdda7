// Package golden compares the output of a test with a file under testdata/golden of the package under test. The files have what other
// versions of the programs have written or sent: frames, records, responses, settings. `go test PACKAGE -update-golden` writes them anew; a
// change of one is a change of a format.
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

// hexBytesPerLine is the number of bytes on a line of a file in hexadecimal.
const hexBytesPerLine = 32

var update = flag.Bool("update-golden", false, "write the files under "+folder+" anew")

// Text fails the test unless got equals the golden file with a name.
func Text(tb testing.TB, name string, got []byte) {
	tb.Helper()
	path := filepath.Join(folder, filepath.FromSlash(name))
	if *update {
		write(tb, path, got)
	}
	want, err := os.ReadFile(path)
	if err != nil {
		tb.Fatalf("golden file: %v", err)
	}
	if !bytes.Equal(got, want) {
		tb.Errorf("%s differs\n got: %s\nwant: %s", path, got, want)
	}
}

// Hex is like Text for bytes that are not text. The file holds them in hexadecimal, 32 bytes on a line.
func Hex(tb testing.TB, name string, got []byte) {
	tb.Helper()
	var text strings.Builder
	for line := range slices.Chunk(got, hexBytesPerLine) {
		text.WriteString(hex.EncodeToString(line))
		text.WriteByte('\n')
	}
	Text(tb, name, []byte(text.String()))
}

// Read returns the bytes of a golden file that Hex has written, to be decoded by the test.
func Read(tb testing.TB, name string) []byte {
	tb.Helper()
	text, err := os.ReadFile(filepath.Join(folder, filepath.FromSlash(name)))
	if err != nil {
		tb.Fatalf("golden file: %v", err)
	}
	data, err := hex.DecodeString(strings.Join(strings.Fields(string(text)), ""))
	if err != nil {
		tb.Fatalf("golden file %s: %v", name, err)
	}
	return data
}

func write(tb testing.TB, path string, data []byte) {
	tb.Helper()
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		tb.Fatal(err)
	}
	if err := os.WriteFile(path, data, 0o644); err != nil {
		tb.Fatal(err)
	}
}
