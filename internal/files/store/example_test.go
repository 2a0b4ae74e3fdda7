package store_test

import (
	"fmt"
	"os"
	"time"

	"quincegap/internal/files/store"
)

// A batch is made durable, and the closed store is inspected.
func Example() {
	dir, err := os.MkdirTemp("", "store")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir) //nolint:errcheck // a temporary directory of an example

	s, err := store.Open(store.Dir(dir), store.Options{})
	if err != nil {
		panic(err)
	}
	var b store.Batch
	b.Put([]byte("session"), []byte("42"), time.Hour)
	b.Delete([]byte("old session"))
	fmt.Println(s.ApplyAndWait(b), s.Close()) // the batch is durable, and the store is closed

	report, err := store.Inspect(store.Dir(dir), nil, func(r store.Record) error {
		fmt.Printf("%s = %s\n", r.Key, r.Value)
		return nil
	})
	if err != nil {
		panic(err)
	}
	fmt.Println(report.LiveRecords, "live,", len(report.Damage), "damaged")
	// Output:
	// <nil> <nil>
	// session = 42
	// 1 live, 0 damaged
}
