package storage_test

import (
	"fmt"
	"os"

	"github.com/gravitational/trace"

	"quincegap/internal/mesh/control/storage"
)

func ExampleStore() {
	folder, err := os.MkdirTemp("", "storage")
	if err != nil {
		fmt.Println(err)
		return
	}
	defer func() { _ = os.RemoveAll(folder) }()
	store, err := storage.Open(folder)
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(store.Put("vote", []byte("for the first one"))) // the record is on disk when Put returns
	data, err := store.Get("vote")
	fmt.Printf("%s, %v\n", data, err)
	_, err = store.Get("owner")
	fmt.Println(trace.IsNotFound(err))
	fmt.Println(store.Close())
	// Output:
	// <nil>
	// for the first one, <nil>
	// true
	// <nil>
}
