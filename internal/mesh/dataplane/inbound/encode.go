package inbound

import (
	"fmt"
	"time"
)

// appendRequest appends a request to a buffer in the form in which it goes to the endpoint.
func appendRequest(buf []byte, r *ForwardRequest, remaining time.Duration) []byte {
	buf = fmt.Appendf(buf, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.URI, r.Host)
	for i := 0; i+1 < len(r.Header); i += 2 {
		buf = appendField(buf, r.Header[i], r.Header[i+1])
	}
	buf = appendOptionalField(buf, HeaderAttemptID, r.AttemptID)
	buf = appendOptionalField(buf, HeaderTargetEndpoint, r.EndpointID)
	buf = appendOptionalField(buf, HeaderCallingService, r.CallingService)
	buf = appendOptionalField(buf, HeaderSubscriberID, r.Tenant)
	buf = fmt.Appendf(buf, HeaderTimeRemaining+": %d\r\n", max(remaining.Milliseconds(), 1))
	if r.HasBody || len(r.Body) > 0 {
		buf = fmt.Appendf(buf, headerContentLength+": %d\r\n", len(r.Body))
	}
	buf = append(buf, "\r\n"...)
	return append(buf, r.Body...)
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
