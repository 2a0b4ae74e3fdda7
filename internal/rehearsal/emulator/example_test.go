package emulator_test

import (
	"fmt"
	"time"

	"quincegap/internal/rehearsal/emulator"
)

// Two jobs share one core, so each takes twice as long. The third is rejected, because there is neither a slot nor a queue.
func Example() {
	server := emulator.NewServer(emulator.Spec{Cores: 1, Speed: 1, Slots: 2, ColdShare: 1}, 0, false)
	for id := range uint64(3) {
		fmt.Println(id, server.Offer(0, id, time.Second, 0) == emulator.Accepted)
	}
	for _, done := range server.Advance(5 * time.Second) {
		fmt.Println(done.ID, done.At)
		server.Release(5*time.Second, done.ID)
	}
	// Output:
	// 0 true
	// 1 true
	// 2 false
	// 0 2s
	// 1 2s
}
