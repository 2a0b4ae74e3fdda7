package relay_test

import (
	"context"
	"fmt"
	"io"
	"net"

	"quincegap/internal/standin/relay"
)

// Opens a stream to a member through its relay.
func Example() {
	ctx := context.Background()
	member, err := new(net.ListenConfig).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer func() { _ = member.Close() }()
	go func() {
		if conn, err := member.Accept(); err == nil {
			_, _ = io.WriteString(conn, "hello")
			_ = conn.Close()
		}
	}()
	network := relay.New(1)
	defer network.Close()
	front, err := network.AddMember("m", "127.77.0.2:0", member.Addr().String())
	if err != nil {
		panic(err)
	}
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", front)
	if err != nil {
		panic(err)
	}
	defer func() { _ = conn.Close() }()
	text, err := io.ReadAll(conn)
	fmt.Println(string(text), err)
	// Output: hello <nil>
}
