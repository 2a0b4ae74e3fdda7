package udp_test

import (
	"context"
	"fmt"
	"net"

	"quincegap/internal/standin/udp"
)

// Relays a datagram with a fault that duplicates all datagrams.
func Example() {
	server, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		panic(err)
	}
	defer func() { _ = server.Close() }()
	relay, err := udp.Start(server.LocalAddr().String(), 1)
	if err != nil {
		panic(err)
	}
	defer relay.Close()
	relay.SetFault(udp.Fault{DuplicateShare: 1})
	client, err := new(net.Dialer).DialContext(context.Background(), "udp", relay.Address())
	if err != nil {
		panic(err)
	}
	defer func() { _ = client.Close() }()
	if _, err := client.Write([]byte("hello")); err != nil {
		panic(err)
	}
	buffer := make([]byte, 16)
	for range 2 {
		size, _, err := server.ReadFromUDP(buffer)
		fmt.Println(string(buffer[:size]), err)
	}
	fmt.Println(relay.Received())
	// Output:
	// hello <nil>
	// hello <nil>
	// 1
}
