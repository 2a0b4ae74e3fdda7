package consul_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"

	"quincegap/internal/standin/consul"
)

// Queries return the newest index, until a fault replaces the response.
func Example() {
	server, err := consul.Start("", consul.Instance{ID: "i1"}.WithAddress("127.0.0.1:81"))
	if err != nil {
		panic(err)
	}
	defer server.Close()
	printResponse := func() {
		answer := httptest.NewRecorder()
		query := httptest.NewRequestWithContext(context.Background(), http.MethodGet, "/v1/catalog/service/trips", nil)
		server.ServeHTTP(answer, query)
		fmt.Println(answer.Code, answer.Header().Get("X-Consul-Index"))
	}
	printResponse()
	server.SetStatus("i1", "critical")
	printResponse()
	server.SetFault(consul.Fault{Status: http.StatusInternalServerError})
	printResponse()
	// Output:
	// 200 11
	// 200 12
	// 500
}
