package disk_test

import (
	"errors"
	"fmt"

	"quincegap/internal/files/store"
	"quincegap/internal/standin/disk"
)

// A store on a disk that loses its power: what was acknowledged before is there.
func ExampleDisk_LosePowerAt() {
	d := disk.New()
	s, err := store.Open(d, store.Options{})
	if err != nil {
		panic(err)
	}
	fmt.Println(s.Put([]byte("first"), []byte("1"), 0))
	d.LosePowerAt(1, 0)
	err = s.Put([]byte("second"), []byte("2"), 0)
	fmt.Println(errors.Is(err, disk.ErrPowerLost))
	_ = s.Close() // fails with the power

	s, err = store.Open(d.AfterCrash(), store.Options{})
	if err != nil {
		panic(err)
	}
	value, _, ok, err := s.Get([]byte("first"))
	fmt.Println(string(value), ok, err, s.Close())
	// Output:
	// <nil>
	// true
	// 1 true <nil> <nil>
}
