package inbound

import (
	"fmt"
	"time"

	"quincegap/internal/mesh/transport/codec"
)

// maxCopiedBody is the size in bytes of the largest body that is copied into its request, so that both are written at once.
const maxCopiedBody = 16 << 10

// appendRequest appends a request to a buffer, encoded as HTTP/1.1 for the endpoint, except for the body that separateBody returns.
// remaining is the time until the request's deadline.
func appendRequest(buf []byte, request *ForwardRequest, remaining time.Duration) []byte {
	buf = fmt.Appendf(buf, "%s %s HTTP/1.1\r\nHost: %s\r\n", request.Method, request.URI, request.Host)
	for i := 0; i+1 < len(request.Header); i += 2 {
		buf = appendField(buf, request.Header[i], request.Header[i+1])
	}
	buf = appendOptionalField(buf, HeaderAttemptID, request.AttemptID)
	buf = appendOptionalField(buf, HeaderTargetEndpoint, request.EndpointID)
	buf = appendOptionalField(buf, HeaderCallingService, request.CallingService)
	buf = appendOptionalField(buf, HeaderSubscriberID, request.Tenant)
	buf = fmt.Appendf(buf, HeaderTimeRemaining+": %d\r\n", max(remaining.Milliseconds(), 1))
	bodyBytes := request.Body.Len()
	if request.HasBody || bodyBytes > 0 {
		buf = fmt.Appendf(buf, headerContentLength+": %d\r\n", bodyBytes)
	}
	buf = append(buf, "\r\n"...)
	if bodyBytes <= maxCopiedBody {
		for _, part := range request.Body {
			buf = append(buf, part...)
		}
	}
	return buf
}

// separateBody returns the body of a request if it is too large to be copied by appendRequest; else nil.
func separateBody(request *ForwardRequest) codec.Buffers {
	if request.Body.Len() <= maxCopiedBody {
		return nil
	}
	return request.Body
}

func appendField(buf []byte, name, value string) []byte {
	buf = append(buf, name...)
	buf = append(buf, ": "...)
	buf = append(buf, value...)
	return append(buf, "\r\n"...)
}

func appendOptionalField(buf []byte, name, value string) []byte {
	if value == "" {
		return buf
	}
	return appendField(buf, name, value)
}
