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
	maxHeadBytes     = 16 << 10 // status lines and headers of a response
	maxInformational = 16       // number of 1xx responses before the final one
)

var (
	errMalformed = errors.New("malformed response")
	errNoMemory  = errors.New("memory budget for bodies is exhausted")
)

// head is the status line and the headers of a response.
type head struct {
	code       int
	header     textproto.MIMEHeader
	persistent bool // whether the connection stays open after the response
}

// read reads the response to the request that was written. After an error the connection can't be reused; an error for which isConnError
// is false means that the response is invalid.
func (a *attempt) read(c *conn) (res exchange.Result, err error) {
	c.readable = maxHeadBytes
	h, err := readFinalHead(c.reader)
	if err != nil {
		return res, err
	}
	if !a.Bodies.Reserve(maxBodyBytes) {
		return res, errNoMemory
	}
	retained := 0 // bytes of the reservation that the result still uses
	defer func() { a.Bodies.Release(maxBodyBytes - retained) }()
	c.readable = maxBodyBytes + maxHeadBytes // maxHeadBytes is for chunk framing and the trailer
	body, err := readBody(c.reader, h)
	if err != nil {
		return res, err
	}
	res = exchange.ResultOf(h.code, http.Header(h.header), body)
	if res.Response != nil {
		retained = len(body)
	}
	if h.persistent && c.reader.Buffered() == 0 {
		res.Conn = c
	}
	return res, nil
}

// readFinalHead reads the head of the final response. It skips at most maxInformational informational (1xx) responses.
func readFinalHead(r *bufio.Reader) (h head, err error) {
	for range maxInformational + 1 {
		if h, err = readHead(r); err != nil {
			return h, err
		}
		if h.code >= http.StatusOK {
			return h, nil
		}
	}
	return h, errMalformed // more than maxInformational informational responses
}

// readHead reads one head, including the empty line that ends it.
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

// readBody reads a response's body of at most maxBodyBytes. It returns errMalformed if the length of the body is ambiguous or not
// declared: a body that ends with the connection could be truncated unnoticed.
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

// readLength reads a body; length is the value of its Content-Length header.
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
