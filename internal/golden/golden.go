// Package golden compares what a test produced with a file under the testdata/golden folder of the package under test. The files
// hold what other versions of the programs have written or sent: frames, records, answers, settings. A file is written anew only
// by `go test PACKAGE -update-golden`, and a change of one is a change of a format.
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

// folder is where golden files live, relative to the package under test.
const folder = "testdata/golden"

// hexBytesPerLine is how many bytes a line of a file in hexadecimal holds.
const hexBytesPerLine = 32

var update = flag.Bool("update-golden", false, "write the files under "+folder+" anew")

// Text fails the test unless got is the content of the golden file of that name.
func Text(t testing.TB, name string, got []byte) {
	t.Helper()
	path := filepath.Join(folder, filepath.FromSlash(name))
	if *update {
		write(t, path, got)
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatalf("golden file: %v", err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s differs\n got: %s\nwant: %s", path, got, want)
	}
}

// Hex is like Text for bytes that are not text. The file holds them in hexadecimal, 32 bytes on a line.
func Hex(t testing.TB, name string, got []byte) {
	t.Helper()
	var text strings.Builder
	for line := range slices.Chunk(got, hexBytesPerLine) {
		text.WriteString(hex.EncodeToString(line))
		text.WriteByte('\n')
	}
	Text(t, name, []byte(text.String()))
}

// Read returns the bytes of a golden file that Hex has written, to be decoded by the test.
func Read(t testing.TB, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(folder, filepath.FromSlash(name)))
	if err != nil {
		t.Fatalf("golden file: %v", err)
	}
	data, err := hex.DecodeString(strings.Join(strings.Fields(string(text)), ""))
	if err != nil {
		t.Fatalf("golden file %s: %v", name, err)
	}
	return data
}

func write(t testing.TB, path string, data []byte) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, data, 0o644); err != nil {
		t.Fatal(err)
	}
}
