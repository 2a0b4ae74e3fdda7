package secretfile_test

import (
	"fmt"
	"os"
	"path/filepath"

	"quincegap/internal/files/secretfile"
)

func ExampleReadToken() {
	dir, err := os.MkdirTemp("", "secretfile")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir) //nolint:errcheck // a temporary directory of an example
	path := filepath.Join(dir, "token")
	if err := os.WriteFile(path, []byte("abc123\n"), 0o600); err != nil {
		panic(err)
	}
	token, err := secretfile.ReadToken(path)
	fmt.Println(token, err)
	// Output: abc123 <nil>
}
