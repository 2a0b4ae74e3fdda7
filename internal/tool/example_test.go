package tool_test

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"quincegap/internal/tool"
)

func ExampleRun() {
	dir, err := os.MkdirTemp("", "tool-example-")
	if err != nil {
		fmt.Println(err)
		return
	}
	defer func() { _ = os.RemoveAll(dir) }()
	var out bytes.Buffer
	source := filepath.Join(dir, "apps.toml")
	fmt.Println(tool.Run([]string{"init", dir}, &out, io.Discard) == tool.ExitOK)
	fmt.Println(tool.Run([]string{"write", source}, &out, io.Discard) == tool.ExitOK)
	fmt.Println(tool.Run([]string{"check", filepath.Join(dir, "none.toml")}, &out, io.Discard) == tool.ExitFindings)
	fmt.Print(strings.ReplaceAll(out.String(), dir, "DIR"))
	// Output:
	// true
	// true
	// true
	// wrote DIR/apps.toml
	// wrote DIR/booking-front.example.org.toml
	// wrote DIR/slot-keeper.example.org.toml
	// DIR/none.toml: cannot be read: no such file or directory
}
