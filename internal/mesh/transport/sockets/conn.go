package sockets

import (
	"net"

	"golang.org/x/sys/unix"
)

// conn is an open connection of a group. Its other methods are those of the TCP connection.
type conn struct {
	*net.TCPConn
	group        *Group
	receiveBytes int // size of the receive buffer
}

// Close implements net.Conn.
func (c *conn) Close() error {
	err := c.TCPConn.Close()
	c.group.remove(c)
	return err
}

// unreadBytes returns the number of bytes that have arrived and were not read yet; 0 if it can't be determined.
func (c *conn) unreadBytes() (bytes int64) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	_ = controlSocket(raw, func(descriptor int) error {
		n, err := unix.IoctlGetInt(descriptor, unix.TIOCINQ)
		bytes = int64(n)
		return err
	})
	return bytes
}
