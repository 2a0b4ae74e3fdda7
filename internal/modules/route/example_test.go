package route_test

import (
	"fmt"

	"quincegap/internal/modules/route"
)

// This example compiles the routes of a file, and finds the most specific route of a request. A request with an ambiguous path is not
// routed.
func Example() {
	file, _ := decodeFile(baseSettings + `
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
