package relay

import (
	"bytes"
	"context"
	"io"
	"net"
	"time"
)

const (
	maxDatagram = 64 << 10 // maximum length of a datagram, in bytes
	chunkSize   = 16 << 10 // maximum number of bytes of a stream that are forwarded at once
	dialTimeout = time.Second
)

// forwardDatagrams forwards the datagrams that arrive at a member's relay, until the network is closed.
func (n *Network) forwardDatagrams(name string, conn *net.UDPConn, member *net.UDPAddr) {
	buffer := make([]byte, maxDatagram)
	for {
		size, from, err := conn.ReadFromUDP(buffer)
		if err != nil {
			if n.isClosed() {
				return
			}
			continue // the member is not running and its port refused a datagram
		}
		n.forwardDatagram(buffer[:size], from, name, conn, member)
	}
}

// forwardDatagram forwards one datagram with the fault between sender and receiver applied to it.
func (n *Network) forwardDatagram(datagram []byte, from *net.UDPAddr, name string, conn *net.UDPConn, member *net.UDPAddr) {
	n.mu.Lock()
	defer n.mu.Unlock()
	fault := n.faultBetween(direction{from: n.members[from.IP.String()], to: name})
	copies := 1
	if fault.Partitioned || n.random.Float64() < fault.LossShare {
		copies = 0
	} else if n.random.Float64() < fault.DuplicateShare {
		copies = 2
	}
	for range copies {
		copied := bytes.Clone(datagram)
		send := func() {
			_, _ = conn.WriteToUDP(copied, member) // a datagram that cannot be sent is lost, as on any network
		}
		delay := time.Duration(n.random.Float64() * float64(fault.MaxDelay))
		if delay == 0 {
			send()
			continue
		}
		time.AfterFunc(delay, send)
	}
}

// acceptStreams accepts and forwards connections to a member's relay, until the network is closed.
func (n *Network) acceptStreams(name string, listener net.Listener, member string) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		n.running.Go(func() { n.forwardStream(name, conn, member) })
	}
}

// forwardStream connects a stream to its member, and forwards data in both directions until both have ended.
func (n *Network) forwardStream(name string, conn net.Conn, member string) {
	defer closeStream(conn)
	upstream, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(context.Background(), "tcp", member)
	if err != nil {
		return
	}
	defer closeStream(upstream)
	from, ok := n.addStream(conn, upstream)
	if !ok {
		return
	}
	repliesDone := make(chan struct{})
	go func() {
		defer close(repliesDone)
		n.forwardChunks(conn, upstream, direction{from: name, to: from})
		closeStream(conn)
	}()
	n.forwardChunks(upstream, conn, direction{from: from, to: name})
	if tcp, ok := upstream.(*net.TCPConn); ok {
		_ = tcp.CloseWrite() // fails if the member has closed the connection
	}
	<-repliesDone
}

// closeStream closes one end of a stream, which may be closed already.
func closeStream(conn net.Conn) { _ = conn.Close() }

// addStream registers both ends of a stream to be closed with the network, and returns the name of the member that opened it. It returns
// false if the network is closed already.
func (n *Network) addStream(conn, upstream net.Conn) (from string, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return "", false
	}
	n.closers = append(n.closers, conn, upstream)
	return n.members[conn.RemoteAddr().(*net.TCPAddr).IP.String()], true
}

// forwardChunks copies a stream in one direction with the fault between its members applied, until a read or write fails.
func (n *Network) forwardChunks(to io.Writer, from io.Reader, members direction) {
	buffer := make([]byte, chunkSize)
	for {
		size, err := from.Read(buffer)
		if size > 0 {
			time.Sleep(n.waitForPartitionEnd(members))
			if _, err := to.Write(buffer[:size]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// waitForPartitionEnd waits until there is no partition between two members, like a TCP sender that retransmits its segments. It returns
// a random delay for the next chunk.
func (n *Network) waitForPartitionEnd(members direction) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	fault := n.faultBetween(members)
	for fault.Partitioned && !n.closed {
		n.changed.Wait()
		fault = n.faultBetween(members)
	}
	return time.Duration(n.random.Float64() * float64(fault.MaxDelay))
}
