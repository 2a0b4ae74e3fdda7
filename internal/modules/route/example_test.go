package route_test

import (
	"fmt"

	"quincegap/internal/modules/route"
)

// Of two routes that match a request the more specific one is taken.
func Example() {
	file, _ := read(base + `
[route.trips]
match_path = "/trips/{rest...}"
most_open = 1
[route.new-trip]
match_path = "/trips/new"
match_methods = "POST"
`)
	table := route.Compile(file)
	r, ok := table.Find(&route.Request{Method: "POST", Path: "/trips/new"})
	fmt.Println(r.Name, ok)

	r, _ = table.Find(&route.Request{Method: "GET", Path: "/trips/17"})
	fmt.Println(r.Name, r.Admit(), r.Admit())

	_, ok = table.Find(&route.Request{Method: "GET", Path: "/trips/../pay"})
	fmt.Println(ok)
	// Output:
	// new-trip true
	// trips true false
	// false
}
