package consul_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"

	"quincegap/internal/standin/consul"
)

// A query gets the newest index; with a fault it gets that instead.
func Example() {
	server, err := consul.Start("", consul.Instance{ID: "i1"}.WithAddress("127.0.0.1:81"))
	if err != nil {
		panic(err)
	}
	defer server.Close()
	ask := func() {
		answer := httptest.NewRecorder()
		query := httptest.NewRequestWithContext(context.Background(), http.MethodGet, "/v1/catalog/service/trips", nil)
		server.ServeHTTP(answer, query)
		fmt.Println(answer.Code, answer.Header().Get("X-Consul-Index"))
	}
	ask()
	server.SetStatus("i1", "critical")
	ask()
	server.SetFault(consul.Fault{Status: http.StatusInternalServerError})
	ask()
	// Output:
	// 200 11
	// 200 12
	// 500
}
