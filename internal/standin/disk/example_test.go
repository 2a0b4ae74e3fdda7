package disk_test

import (
	"errors"
	"fmt"

	"quincegap/internal/files/store"
	"quincegap/internal/standin/disk"
)

// Opens a store on a disk that loses power: writes acknowledged before are still readable.
func ExampleDisk_LosePowerAt() {
	faultyDisk := disk.New()
	opened, err := store.Open(faultyDisk, store.Options{})
	if err != nil {
		panic(err)
	}
	fmt.Println(opened.Put([]byte("first"), []byte("1"), 0))
	faultyDisk.LosePowerAt(1, 0)
	err = opened.Put([]byte("second"), []byte("2"), 0)
	fmt.Println(errors.Is(err, disk.ErrPowerLost))
	_ = opened.Close() // fails because the disk has lost power

	opened, err = store.Open(faultyDisk.AfterCrash(), store.Options{})
	if err != nil {
		panic(err)
	}
	value, _, ok, err := opened.Get([]byte("first"))
	fmt.Println(string(value), ok, err, opened.Close())
	// Output:
	// <nil>
	// true
	// 1 true <nil> <nil>
}
