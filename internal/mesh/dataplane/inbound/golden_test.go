package inbound

import (
	"bufio"
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"quincegap/internal/golden"
	"quincegap/internal/mesh/dataplane/outcome"
	"quincegap/internal/mesh/transport/codec"
)

func goldenRequest() ForwardRequest {
	return ForwardRequest{
		EndpointID: "shop-3.7f", Service: "shop", Method: "POST", URI: "/p/item?x=1&y=%20", Host: "shop.example",
		Header: []string{"Accept", "text/plain", "X-Empty", "", "Accept", "*/*"}, Body: codec.Buffers{{0, 1, 'b', 0xff}}, HasBody: true,
		AttemptID: "a-1", CallingService: "front", Tenant: "north", Priority: -2, Nested: true, Idempotent: true,
		TargetRemaining: 450 * time.Millisecond, TimeRemaining: 1999999999, Route: "read",
	}
}

func goldenResponse() ForwardResponse {
	return ForwardResponse{
		Kind: outcome.Rejected, Status: 503, Header: []string{"Content-Type", "text/plain", "X-Empty", ""},
		Body: codec.Buffers{[]byte("full\x00\xfe")}, ServiceTime: 12345678, Slots: 8, Running: 7, Waiting: 3, RetryAfter: 250 * time.Millisecond,
		ReachedEndpoint: true,
	}
}

// Fixes the encoding of both messages, empty and with each field set, and reads the latter back.
func TestGoldenMessages(t *testing.T) {
	request, response := goldenRequest(), goldenResponse()
	golden.Hex(t, "forward_request.hex", codec.MarshalAppend(nil, &request))
	golden.Hex(t, "outcome.hex", codec.MarshalAppend(nil, &response))
	golden.Hex(t, "forward_request_zero.hex", codec.MarshalAppend(nil, &ForwardRequest{}))
	golden.Hex(t, "outcome_zero.hex", codec.MarshalAppend(nil, &ForwardResponse{}))

	var readRequest ForwardRequest
	qt.Assert(t, codec.Unmarshal(golden.Read(t, "forward_request.hex"), &readRequest), qt.IsNil)
	qt.Check(t, readRequest, qt.DeepEquals, request)
	var readResponse ForwardResponse
	qt.Assert(t, codec.Unmarshal(golden.Read(t, "outcome.hex"), &readResponse), qt.IsNil)
	qt.Check(t, readResponse, qt.DeepEquals, response)
}

// Fixes the names and numbers that other processes rely on.
func TestGoldenNames(t *testing.T) {
	qt.Check(t, MethodForward, qt.Equals, 1)
	qt.Check(t, []string{
		HeaderAttemptID, HeaderTargetEndpoint, HeaderCallingService, HeaderSubscriberID, HeaderTimeRemaining,
		HeaderNotExecuted, HeaderEndpointSeal, HeaderAnsweringEndpoint, HeaderKey, HeaderBaseVersion,
	}, qt.DeepEquals,
		[]string{
			"Attempt-Id", "Target-Endpoint", "Calling-Service", "Subscriber-Id", "Time-Remaining",
			"Not-Executed", "Endpoint-Seal", "Answering-Endpoint", "Key", "Base-Version",
		})
	var hopByHop []string
	for name, isHopByHop := range HopByHopHeaders {
		qt.Check(t, isHopByHop, qt.IsTrue)
		hopByHop = append(hopByHop, name)
	}
	slices.Sort(hopByHop)
	golden.Text(t, "hop_headers.txt", []byte(strings.Join(hopByHop, "\n")+"\n"))
}

// Fixes the bytes of requests to an endpoint, and checks that net/http parses the same request from them.
func TestGoldenRequestToTheEndpoint(t *testing.T) {
	full := goldenRequest()
	bare := ForwardRequest{EndpointID: "e", Method: "GET", URI: "/", Host: "h", AttemptID: "a", HasBody: true}
	bodiless := ForwardRequest{Method: "GET", URI: "/", Host: "h", AttemptID: "a", Header: []string{"odd"}}
	golden.Hex(t, "endpoint_request.hex", appendRequest(nil, &full, 1234567*time.Microsecond))
	golden.Hex(t, "endpoint_request_empty_body.hex", appendRequest([]byte("before "), &bare, 0))
	golden.Hex(t, "endpoint_request_no_body.hex", appendRequest(nil, &bodiless, time.Minute))
	parsed, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(appendRequest(nil, &full, time.Second))))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, parsed.Header.Get(HeaderAttemptID), qt.Equals, full.AttemptID)
	qt.Check(t, parsed.Header["Accept"], qt.DeepEquals, []string{"text/plain", "*/*"})
	qt.Check(t, parsed.ContentLength, qt.Equals, int64(4))
}

// Fixes the outcome and the connection's state after each kind of answer of an endpoint.
func TestGoldenClassification(t *testing.T) {
	const seal = "Attempt-Id: a-1\r\nEndpoint-Seal: s\r\n"
	var text strings.Builder
	for _, method := range []string{"GET", "HEAD"} {
		for _, answer := range []string{
			"200 OK\r\n" + seal + "Content-Length: 2\r\nX-B: 2\r\nConnection: keep-alive\r\nKeep-Alive: timeout=5\r\n",
			"200 OK\r\nAttempt-Id: a-1\r\nContent-Length: 2\r\n",
			"204 No Content\r\n" + seal,
			"206 Partial Content\r\n" + seal + "Content-Encoding: gzip\r\nContent-Length: 2\r\n",
			"302 Found\r\nAttempt-Id: a-1\r\nLocation: /x\r\nContent-Length: 2\r\n",
			"404 Not Found\r\nAttempt-Id: a-1\r\nContent-Length: 2\r\n",
			"408 Late\r\nAttempt-Id: a-1\r\nContent-Length: 2\r\n",
			"421 Misdirected\r\nAttempt-Id: a-1\r\nContent-Length: 2\r\n",
			"429 Many\r\nAttempt-Id: a-1\r\nContent-Length: 2\r\n",
			"429 Many\r\nAttempt-Id: a-1\r\nNot-Executed: 1\r\nRetry-After: 1.5\r\nContent-Length: 2\r\n",
			"500 Oops\r\nAttempt-Id: a-1\r\nContent-Length: 2\r\n",
			"503 Full\r\nAttempt-Id: a-1\r\nContent-Length: 2\r\n",
			"503 Full\r\nAttempt-Id: a-1\r\nNot-Executed: 1\r\nRetry-After: soon\r\nContent-Length: 2\r\n",
			"503 Full\r\nNot-Executed: 1\r\nRetry-After: 3601\r\nContent-Length: 2\r\n",
			"200 OK\r\nEndpoint-Seal: s\r\nContent-Length: 2\r\n",
			"200 OK\r\nAttempt-Id: other\r\nEndpoint-Seal: s\r\nContent-Length: 2\r\n",
		} {
			raw := "HTTP/1.1 " + answer + "\r\n"
			if method == "GET" && !strings.HasPrefix(answer, "204") {
				raw += "ok"
			}
			conn := newConnection(&readerConn{Reader: *bytes.NewReader([]byte(raw))}, nil)
			request := ForwardRequest{Method: method, AttemptID: "a-1"}
			status, _, _ := strings.Cut(answer, "\r\n")
			answer, kind := readResponse(conn, &request)
			if kind != 0 {
				fmt.Fprintf(&text, "%s %s: %s\n", method, status, kind)
				continue
			}
			var response ForwardResponse
			classify(&response, &request, &answer)
			conn.updateKeepAlive(&answer, time.Second)
			var header []string
			for i := 0; i < len(response.Header); i += 2 {
				header = append(header, response.Header[i]+": "+response.Header[i+1])
			}
			slices.Sort(header)
			fmt.Fprintf(&text, "%s %s: %s, status %d, back %v, body %q, header %q, kept until %v, closes %t\n", method, status,
				response.Kind, response.Status, response.RetryAfter, response.Body.Join(), header, conn.idleUntil, conn.unusable)
		}
	}
	golden.Text(t, "judgements.txt", []byte(text.String()))
}

// Bounds the allocations for encoding a request to an endpoint, and for encoding and decoding both messages between sidecars. The race
// detector empties the pools of package fmt at random, so encoding a request to an endpoint allocates more under it.
func TestAllocations(t *testing.T) {
	request, response := goldenRequest(), goldenResponse()
	buffer := make([]byte, 0, 1024)
	requestBytes, responseBytes := codec.MarshalAppend(nil, &request), codec.MarshalAppend(nil, &response)
	for _, test := range []struct {
		name             string
		limit, raceLimit float64
		f                func()
	}{
		{"request to the endpoint", 7, 12, func() { appendRequest(nil, &request, time.Second) }},
		{"request to the endpoint, into a buffer", 4, 9, func() { appendRequest(buffer, &request, time.Second) }},
		{"marshals a request", 18, 18, func() { codec.MarshalAppend(nil, &request) }},
		{"marshals a response", 12, 12, func() { codec.MarshalAppend(nil, &response) }},
		{"unmarshals a request", 33, 33, func() {
			var got ForwardRequest
			_ = codec.Unmarshal(requestBytes, &got)
		}},
		{"unmarshals a response", 17, 17, func() {
			var got ForwardResponse
			_ = codec.Unmarshal(responseBytes, &got)
		}},
	} {
		limit := test.limit
		if raceDetector {
			limit = test.raceLimit
		}
		if n := testing.AllocsPerRun(1000, test.f); n > limit {
			t.Errorf("%s: %v allocations, want %v at most", test.name, n, limit)
		}
	}
}
