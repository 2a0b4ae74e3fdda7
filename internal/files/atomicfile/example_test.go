package atomicfile_test

import (
	"fmt"
	"os"
	"path/filepath"

	"quincegap/internal/files/atomicfile"
)

func ExampleWrite() {
	dir, err := os.MkdirTemp("", "atomicfile")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir) //nolint:errcheck // a temporary directory of an example
	unlock, err := atomicfile.Lock(dir)
	if err != nil {
		panic(err)
	}
	defer unlock()
	path := filepath.Join(dir, "settings.toml")
	err = atomicfile.Write(atomicfile.Disk{}, atomicfile.File{Path: path, Content: []byte("port = 8080\n"), Mode: 0o600})
	if err != nil {
		panic(err)
	}
	content, err := os.ReadFile(path)
	fmt.Printf("%s%v\n", content, err)
	// Output:
	// port = 8080
	// <nil>
}
