package sockets

import (
	"net"

	"golang.org/x/sys/unix"
)

// conn is an open connection. Its other methods are those of the TCP connection.
type conn struct {
	*net.TCPConn
	sockets *Sockets
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.sockets.remove(c)
	return c.TCPConn.Close()
}

// unreadBytes returns the number of bytes that have arrived and were not read yet; 0 if it can't be determined.
func (c *conn) unreadBytes() (bytes int64) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	_ = raw.Control(func(descriptor uintptr) { // fails only on a closed connection
		n, err := unix.IoctlGetInt(int(descriptor), unix.TIOCINQ)
		if err == nil {
			bytes = int64(n)
		}
	})
	return bytes
}
