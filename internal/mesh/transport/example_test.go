package transport_test

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/sirupsen/logrus"

	"quincegap/internal/mesh/transport"
	"quincegap/internal/mesh/transport/codec"
)

// greeting is a request and its reply.
type greeting struct{ Text string }

// Fields implements codec.Message.
func (g *greeting) Fields(v *codec.Visitor) { v.String(1, &g.Text) }

// methodGreet is the number of a method. The meaning of such a number never changes.
const methodGreet = 100

// A server handles a method, and a client calls it.
func Example() {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		fmt.Println(err)
		return
	}
	address := listener.Addr().String()
	const maxCallBytes = 1 << 20

	server := transport.NewHub(transport.Hello{Incarnation: 1, Address: address, Name: "server"}, time.Now(), maxCallBytes, logrus.New())
	transport.Handle(server, methodGreet, func(_ context.Context, from *transport.Hello, g *greeting) *greeting {
		return &greeting{Text: g.Text + ", " + from.Name}
	})
	served := make(chan error, 1)
	go func() { served <- server.Listen(listener) }()

	client := transport.NewHub(transport.Hello{Incarnation: 2, Name: "client"}, time.Now(), maxCallBytes, logrus.New())
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	reply, err := transport.Request[greeting](ctx, client, address, methodGreet, &greeting{Text: "hello"})
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(reply.Text)

	server.Drain(server.Now() + time.Second) // completes its replies, and then closes its links
	client.Close()
	fmt.Println(<-served)
	// Output:
	// hello, client
	// <nil>
}
