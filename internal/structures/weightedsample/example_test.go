package weightedsample_test

import (
	"fmt"

	"quincegap/internal/structures/weightedsample"
)

func ExamplePool() {
	var pool weightedsample.Pool[string]
	pool.Add("small", 1)
	large := pool.Add("large", 3)
	for _, x := range []float64{0, 0.2, 0.3, 0.9} {
		item, _ := pool.Draw(x)
		fmt.Println(x, item)
	}
	pool.Remove(large)
	item, ok := pool.Draw(0.9)
	fmt.Println(item, ok, pool.Total())
	// Output:
	// 0 small
	// 0.2 small
	// 0.3 large
	// 0.9 large
	// small true 1
}
