package exchange_test

import (
	"errors"
	"fmt"
	"net/http"
	"strings"

	"quincegap/internal/balancer"
	"quincegap/internal/network/exchange"
)

// The status of a result tells whether the endpoint rejected the request, failed or served it.
func ExampleResultOf() {
	busy := exchange.ResultOf(http.StatusServiceUnavailable, http.Header{"X-Turned-Away": {"1"}}, nil)
	failed := exchange.ResultOf(http.StatusServiceUnavailable, http.Header{}, nil)
	served := exchange.ResultOf(http.StatusOK, http.Header{"Connection": {"close"}}, []byte("seat 7"))
	fmt.Println(busy.Status == balancer.StatusRejected, failed.Status == balancer.StatusError)
	fmt.Printf("%s, %d headers\n", served.Response.Body, len(served.Response.Header))
	// Output:
	// true true
	// seat 7, 0 headers
}

// A reservation fails if it would exceed the budget.
func ExampleBudget() {
	var bodies exchange.Budget
	bodies.Release(100) // initial size of the budget
	fmt.Println(bodies.Reserve(70), bodies.Reserve(40), bodies.Available())
	bodies.Release(70)
	fmt.Println(bodies.Available())
	// Output:
	// true false 30
	// 100
}

func ExampleRemoveHopByHop() {
	h := http.Header{"Connection": {"X-Hop, close"}, "X-Hop": {"1"}, "Te": {"trailers"}, "X-Txn": {"t7"}}
	exchange.RemoveHopByHop(h)
	fmt.Println(h)
	// Output:
	// map[X-Txn:[t7]]
}

func ExampleReadAll() {
	body, err := exchange.ReadAll(strings.NewReader("trip"))
	fmt.Printf("%s %v\n", body, err)
	_, err = exchange.ReadAll(strings.NewReader(strings.Repeat("x", exchange.MaxBody+1)))
	fmt.Println(errors.Is(err, exchange.ErrBodyTooLarge))
	// Output:
	// trip <nil>
	// true
}
