package weightedring_test

import (
	"fmt"

	"quincegap/internal/structures/weightedring"
)

// In a ring of three items, the running sum of the weights reaches three quarters of the total at the third item.
func ExampleRing() {
	var ring weightedring.Ring[string]
	ring.Put(30, 2, "c")
	ring.Put(10, 1, "a")
	ring.Put(20, 1, "b")
	cursor, left := ring.Seek(ring.Total()*3/4, 1e-9)
	fmt.Println(left, "into")
	for range 4 {
		item, weight, _ := cursor.Next()
		fmt.Println(item, weight)
	}
	// Output:
	// 1 into
	// c 2
	// a 1
	// b 1
	// c 2
}
