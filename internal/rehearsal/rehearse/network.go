package rehearse

import (
	"fmt"
	"net"
	"time"
)

// port is the port of all addresses of a rehearsal.
const port = 5000

// firstNetwork and lastNetwork bound the A of 127.A.0.0/16 that a rehearsal may take.
const firstNetwork, lastNetwork = 64, 120

// The third byte of an address tells what it is of; lower ones are of servers.
const (
	sidecarRow   = 200
	discoveryRow = 201
	consulRow    = 202
	peersRow     = 203 // where a sidecar listens for others
	relayRow     = 204 // where others reach it, through its relay

	hostsPerRow    = 250
	firstHost      = 1
	maxServerSlots = sidecarRow * hostsPerRow
)

// claimNetwork takes a network that no other rehearsal on this machine has.
func (r *rehearsal) claimNetwork() error {
	for a := firstNetwork; a <= lastNetwork; a++ {
		guard, err := r.listen(fmt.Sprintf("127.%d.255.254:%d", a, port))
		if err == nil {
			r.network, r.guard = a, guard
			return nil
		}
	}
	return fmt.Errorf("no network from 127.%d to 127.%d is free on loopback", firstNetwork, lastNetwork)
}

// address returns the address of the i-th host of a row.
func (r *rehearsal) address(row, i int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", r.network, row, i+firstHost, port)
}

func (r *rehearsal) serverAddress(slot int) string {
	return r.address(slot/hostsPerRow, slot%hostsPerRow)
}

func (r *rehearsal) sidecarAddress(i int) string { return r.address(sidecarRow, i) }

func (r *rehearsal) discoveryAddress(i int) string { return r.address(discoveryRow, i) }

func (r *rehearsal) consulAddress(i int) string { return r.address(consulRow, i) }

func (r *rehearsal) peersAddress(i int) string { return r.address(peersRow, i) }

func (r *rehearsal) relayAddress(i int) string { return r.address(relayRow, i) }

// listen listens on TCP.
func (r *rehearsal) listen(address string) (net.Listener, error) {
	return new(net.ListenConfig).Listen(r.ctx, "tcp", address)
}

// dial connects on TCP.
func (r *rehearsal) dial(address string, timeout time.Duration) (net.Conn, error) {
	return (&net.Dialer{Timeout: timeout}).DialContext(r.ctx, "tcp", address)
}
