package rehearse

import (
	"fmt"
	"net"
	"time"
)

// port is the TCP and UDP port of all addresses in a rehearsal.
const port = 5000

// firstNetwork and lastNetwork bound the second byte of the networks 127.A.0.0/16 that a rehearsal may claim.
const firstNetwork, lastNetwork = 64, 120

// The third byte of an address, called its row, tells the role of the host; rows below sidecarRow belong to servers.
const (
	sidecarRow   = 200
	discoveryRow = 201
	consulRow    = 202
	peersRow     = 203 // addresses at which sidecars listen for their peers
	relayRow     = 204 // addresses of the relays through which peers reach them

	hostsPerRow    = 250
	firstHost      = 1
	maxServerSlots = sidecarRow * hostsPerRow
)

// claimNetwork claims the first network that no other rehearsal on this machine uses, by listening on one of its addresses. It fails if
// none is available.
func (r *rehearsal) claimNetwork() error {
	for network := firstNetwork; network <= lastNetwork; network++ {
		claim, err := r.listen(fmt.Sprintf("127.%d.255.254:%d", network, port))
		if err == nil {
			r.network, r.networkClaim = network, claim
			return nil
		}
	}
	return fmt.Errorf("claim loopback network: none from 127.%d to 127.%d is available", firstNetwork, lastNetwork)
}

// address returns the address of the i-th host in a row, with the port.
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

// listen opens a TCP listener.
func (r *rehearsal) listen(address string) (net.Listener, error) {
	return new(net.ListenConfig).Listen(r.ctx, "tcp", address)
}

// dial opens a TCP connection.
func (r *rehearsal) dial(address string, timeout time.Duration) (net.Conn, error) {
	return (&net.Dialer{Timeout: timeout}).DialContext(r.ctx, "tcp", address)
}
