package doc_test

import (
	"fmt"

	"quincegap/internal/config/doc"
	"quincegap/internal/config/finding"
)

func Example() {
	var found finding.List
	d := doc.ReadTOML([]byte("[limits] # of this machine\ncores = 1.0\n"), 1<<20, found.ForFile("f.toml"))
	cores := d.Root.Lookup("limits", "cores")
	fmt.Println(cores.Pos.Line, cores.Value.Kind, cores.Value.Text)
	fmt.Printf("%s", d.Set([]string{"limits", "sockets"}, "512", "File descriptors."))
	// Output:
	// 2 a number 1.0
	// [limits] # of this machine
	// cores = 1.0
	// # File descriptors.
	// sockets = 512
}

func ExampleReadTOML() {
	var found finding.List
	doc.ReadTOML([]byte("cores = 3ms\n[limits\nsockets = 512\n"), 1<<20, found.ForFile("f.toml"))
	fmt.Println(found.Err())
	// Output:
	// f.toml:1:10: cannot be read: the value 3ms is neither a number, nor true or false, nor a string in quotes: write "3ms"
	// f.toml:2:8: cannot be read: the table's header is not closed by ]
}
