package inbound

import "net"

// limitedSource reads from a connection, and fails once as many bytes were read as it allows. Package http bounds the headers of requests,
// but not those of responses.
type limitedSource struct {
	conn      net.Conn
	limited   bool
	remaining int // number of bytes that may still be read if limited
}

// limit allows n more bytes.
func (s *limitedSource) limit(n int) {
	s.limited = true
	s.remaining = n
}

// unlimit allows any number of bytes.
func (s *limitedSource) unlimit() { s.limited = false }

// Read implements io.Reader. The error is errHeaderTooLarge if no more bytes are allowed, and otherwise that of the connection.
func (s *limitedSource) Read(b []byte) (int, error) {
	if !s.limited {
		return s.conn.Read(b)
	}
	if s.remaining <= 0 {
		return 0, errHeaderTooLarge
	}
	n, err := s.conn.Read(b[:min(len(b), s.remaining)])
	s.remaining -= n
	return n, err
}
