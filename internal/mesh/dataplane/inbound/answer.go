package inbound

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"

	"quincegap/internal/mesh/dataplane/outcome"
)

// Bounds of what the endpoint may answer to one request.
const (
	maxResponseBytes       = 64 << 20 // of one answer's body
	maxMismatchedResponses = 4        // answers that are read for one request, interim ones and those to other requests among them
)

var errResponseTooLarge = errors.New("the body of the answer is too large")

// endpointAnswer is an answer of the endpoint, read completely.
type endpointAnswer struct {
	status int
	header http.Header
	body   []byte
	closes bool // the endpoint closes the connection after it
}

// readResponse reads the answer to a request, past interim ones and those to other requests; the kind says why there is none. An
// answer is accepted only if it is complete and bears the request's ID: surplus ones come late, in the place of the next.
func readResponse(conn *connection, request *ForwardRequest) (endpointAnswer, outcome.Kind) {
	onlyRequest := !conn.used // no answer to an earlier request can come on the connection
	for range maxMismatchedResponses {
		answer, kind := readOne(conn.reader, request.Method)
		if kind != outcome.None {
			return endpointAnswer{}, kind
		}
		if answer.status < http.StatusOK { // an interim one
			continue
		}
		id := answer.header.Get(HeaderAttemptID)
		if id == request.AttemptID {
			return answer, outcome.None
		}
		conn.unusable = true // it is unknown what else comes
		if id == "" {
			if onlyRequest && reportsNotExecuted(&answer) {
				return answer, outcome.None
			}
			return endpointAnswer{}, outcome.InvalidResponse
		}
		onlyRequest = false
	}
	return endpointAnswer{}, outcome.InvalidResponse
}

// readOne reads the next answer on a connection, completely unless it is an interim one; the kind says why there is none.
func readOne(reader *bufio.Reader, method string) (endpointAnswer, outcome.Kind) {
	resp, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		if isConnectionError(err) {
			return endpointAnswer{}, outcome.EndpointReset
		}
		return endpointAnswer{}, outcome.InvalidResponse
	}
	defer resp.Body.Close() //nolint:errcheck // reads what is left of the body; whoever reads on finds the error
	answer := endpointAnswer{status: resp.StatusCode, header: resp.Header, closes: resp.Close}
	if answer.status < http.StatusOK {
		return answer, outcome.None
	}
	answer.body, err = readBody(resp, method)
	if err != nil {
		return endpointAnswer{}, outcome.InvalidResponse
	}
	return answer, outcome.None
}

// readBody reads an answer's body completely. One that has neither a length nor chunks ends with its connection: it is complete if the
// endpoint closed that in order, and not if it was reset.
func readBody(resp *http.Response, method string) ([]byte, error) {
	if method == http.MethodHead {
		return nil, nil
	}
	if resp.ContentLength > maxResponseBytes {
		return nil, errResponseTooLarge
	}
	if resp.ContentLength >= 0 {
		body := make([]byte, resp.ContentLength)
		_, err := io.ReadFull(resp.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err == nil && len(body) > maxResponseBytes {
		err = errResponseTooLarge
	}
	return body, err
}

// isConnectionError tells a connection that broke from bytes that are no answer.
func isConnectionError(err error) bool {
	var netError net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &netError) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, net.ErrClosed)
}
