package inbound

import (
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"

	"quincegap/internal/mesh/dataplane/outcome"
	"quincegap/internal/mesh/transport/codec"
)

// Bounds on the endpoint's answers to one request.
const (
	maxResponseBytes       = 64 << 20  // bound on the size of an answer's body
	maxAnswerHeaderBytes   = 256 << 10 // bound on the size of an answer's header; as much as the front reads of a client's
	unsizedBodyBuffer      = 512       // size of the first buffer for a body without a length
	maxMismatchedResponses = 4         // bound on the answers read for one request, including interim ones and those to other requests
)

var (
	errResponseTooLarge = errors.New("response body exceeds the size limit")
	errResponseMemory   = errors.New("no memory for the response body")
	errHeaderTooLarge   = errors.New("response header exceeds the size limit")
)

// endpointAnswer is an answer of the endpoint that was read completely.
type endpointAnswer struct {
	status int
	header http.Header
	body   codec.Buffers
	closes bool // whether the endpoint closes the connection after this answer
}

// readResponse reads the answer to a request, and skips interim answers and those to other requests. The kind is outcome.None, or the
// reason why there is no answer. Only a complete answer with the request's ID is accepted, since an endpoint may answer an earlier request
// twice, and the second answer arrives before the answer to the next request. A rejection without an ID is accepted if it can't belong to
// another request.
func readResponse(conn *connection, request *ForwardRequest) (endpointAnswer, outcome.Kind) {
	onlyRequest := !conn.used // a new connection can't deliver an answer to an earlier request
	for range maxMismatchedResponses {
		answer, kind := readAnswer(conn, request.Method)
		if kind != outcome.None {
			return endpointAnswer{}, kind
		}
		if answer.status < http.StatusOK { // an interim answer
			continue
		}
		id := answer.header.Get(HeaderAttemptID)
		if id == request.AttemptID {
			return answer, outcome.None
		}
		conn.unusable = true // more answers to other requests may arrive
		conn.memory.release()
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

// readAnswer reads the next answer on a connection, with its body unless it is an interim answer. The kind is outcome.None, or the reason
// why there is no answer.
func readAnswer(conn *connection, method string) (endpointAnswer, outcome.Kind) {
	conn.source.limit(maxAnswerHeaderBytes)
	resp, err := http.ReadResponse(conn.reader, &http.Request{Method: method})
	conn.source.unlimit()
	if err != nil {
		if isConnectionError(err) {
			return endpointAnswer{}, outcome.EndpointReset
		}
		return endpointAnswer{}, outcome.InvalidResponse
	}
	defer resp.Body.Close() //nolint:errcheck // Close reads the rest of the body; the next read on the connection returns the error
	answer := endpointAnswer{status: resp.StatusCode, header: resp.Header, closes: resp.Close}
	if answer.status < http.StatusOK {
		return answer, outcome.None
	}
	answer.body, err = readBody(resp, method, &conn.memory)
	if err != nil {
		return endpointAnswer{}, outcome.InvalidResponse
	}
	return answer, outcome.None
}

// readBody reads an answer's body completely. A body with neither a length nor chunks ends with the connection: it is complete if the
// endpoint closed the connection, and incomplete if the connection was reset. It fails if the body exceeds maxResponseBytes, or if there is
// no memory for it: a body with a length waits for memory, while the endpoint can't send on; one without fails at once.
func readBody(resp *http.Response, method string, memory *answerMemory) (codec.Buffers, error) {
	switch {
	case method == http.MethodHead:
		return nil, nil
	case resp.ContentLength > maxResponseBytes:
		return nil, errResponseTooLarge
	case resp.ContentLength < 0:
		return readUnsizedBody(resp.Body, memory)
	}
	if err := memory.reserveAll(resp.ContentLength); err != nil {
		return nil, err
	}
	return readSizedBody(resp.Body, int(resp.ContentLength))
}

// readSizedBody reads a body of length bytes.
func readSizedBody(reader io.Reader, length int) (body codec.Buffers, err error) {
	for length > 0 {
		part := make([]byte, min(length, codec.MaxBufferBytes))
		if _, err := io.ReadFull(reader, part); err != nil {
			return nil, err
		}
		body = append(body, part)
		length -= len(part)
	}
	return body, nil
}

// readUnsizedBody reads a body up to its end.
func readUnsizedBody(reader io.Reader, memory *answerMemory) (codec.Buffers, error) {
	length := 0
	return codec.ReadAll(reader, unsizedBodyBuffer, func(n int) error {
		length += n
		if length > maxResponseBytes {
			return errResponseTooLarge
		}
		return memory.reserve(int64(n))
	})
}

// isConnectionError reports whether a read failed because of the connection, as opposed to bytes that are not a valid HTTP response.
func isConnectionError(err error) bool {
	var netError net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &netError) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, net.ErrClosed)
}
