package product_test

import (
	"fmt"
	"os"
	"path/filepath"

	"quincegap/internal/config/finding"
	"quincegap/internal/product"
)

func ExampleLoad() {
	dir, err := os.MkdirTemp("", "product-example-")
	if err != nil {
		fmt.Println(err)
		return
	}
	defer func() { _ = os.RemoveAll(dir) }()
	path := filepath.Join(dir, "sidecar.toml")
	if err := os.WriteFile(path, []byte(product.Sample()), 0o600); err != nil {
		fmt.Println(err)
		return
	}
	var found finding.List
	f := product.Load(path, false, &found)
	fmt.Println(found.Err(), f.Setting("sidecar", "listen").Unquoted())
	// Output: <nil> 127.0.0.1:8080
}
