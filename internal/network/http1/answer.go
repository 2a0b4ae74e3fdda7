package http1

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"net/http/httputil"
	"net/textproto"
	"strconv"
	"strings"

	"quincegap/internal/network/exchange"
)

const (
	maxBodyBytes     = exchange.MaxBody
	maxHeadBytes     = 16 << 10
	maxInformational = 16 // 1xx responses before the final one
)

var (
	errMalformed = errors.New("cannot be read")
	errNoMemory  = errors.New("no memory for the body")
)

// head is the status line and the headers of a response.
type head struct {
	code       int
	header     textproto.MIMEHeader
	persistent bool // the connection stays open after the response
}

// read reads the response to the request that was written. An error that is not the connection's means that the response is invalid;
// after any error the connection can't be used again.
func (a *attempt) read(c *conn) (res exchange.Result, err error) {
	c.readable = maxHeadBytes
	h, err := readFinalHead(c.reader)
	if err != nil {
		return res, err
	}
	if !a.Bodies.Reserve(maxBodyBytes) {
		return res, errNoMemory
	}
	kept := 0
	defer func() { a.Bodies.Release(maxBodyBytes - kept) }()
	c.readable = maxBodyBytes + maxHeadBytes // the body, and the framing of its chunks
	body, err := readBody(c.reader, h)
	if err != nil {
		return res, err
	}
	res = exchange.ResultOf(h.code, http.Header(h.header), body)
	if res.Response != nil {
		kept = len(body)
	}
	if h.persistent && c.reader.Buffered() == 0 {
		res.Conn = c
	}
	return res, nil
}

// readFinalHead reads the head of the final response, and skips informational ones.
func readFinalHead(r *bufio.Reader) (h head, err error) {
	for range maxInformational + 1 {
		if h, err = readHead(r); err != nil {
			return h, err
		}
		if h.code >= http.StatusOK {
			return h, nil
		}
	}
	return h, errMalformed // more than maxInformational came, and no final one
}

// readHead reads one head, up to the empty line.
func readHead(r *bufio.Reader) (h head, err error) {
	text := textproto.NewReader(r)
	line, err := text.ReadLine()
	if err != nil {
		return h, err
	}
	version, rest, _ := strings.Cut(line, " ")
	digits, _, _ := strings.Cut(rest, " ")
	code, err := strconv.ParseUint(digits, 10, 16)
	if version != "HTTP/1.1" && version != "HTTP/1.0" || err != nil || len(digits) != 3 || code < 100 {
		return h, errMalformed
	}
	h.code = int(code)
	if h.header, err = text.ReadMIMEHeader(); err != nil {
		return h, err
	}
	h.persistent = version == "HTTP/1.1"
	for _, value := range h.header["Connection"] {
		h.persistent = h.persistent && !strings.Contains(strings.ToLower(value), "close")
	}
	return h, nil
}

// readBody reads a response's body of at most maxBodyBytes. It returns errMalformed if the body's end is ambiguous: if lengths disagree,
// or there is none, so that only the connection's end would end the body.
func readBody(r *bufio.Reader, h head) ([]byte, error) {
	lengths := h.header["Content-Length"]
	codings := h.header["Transfer-Encoding"]
	switch {
	case h.code == http.StatusNoContent || h.code == http.StatusNotModified:
		return nil, nil
	case len(codings) == 1 && len(lengths) == 0 && strings.EqualFold(codings[0], "chunked"):
		return readChunks(r)
	case len(codings) == 0 && len(lengths) == 1:
		return readLength(r, lengths[0])
	}
	return nil, errMalformed
}

// readChunks reads a chunked body and its trailer.
func readChunks(r *bufio.Reader) ([]byte, error) {
	body, err := exchange.ReadAll(httputil.NewChunkedReader(r))
	if err != nil {
		return nil, err
	}
	_, err = textproto.NewReader(r).ReadMIMEHeader()
	return body, err
}

// readLength reads a body whose Content-Length is given as text.
func readLength(r *bufio.Reader, length string) ([]byte, error) {
	n, err := strconv.ParseUint(length, 10, 63)
	if err != nil {
		return nil, errMalformed
	}
	if n > maxBodyBytes {
		return nil, exchange.ErrBodyTooLarge
	}
	body, err := exchange.ReadAll(io.LimitReader(r, int64(n)))
	if err == nil && len(body) < int(n) {
		err = io.ErrUnexpectedEOF
	}
	return body, err
}
