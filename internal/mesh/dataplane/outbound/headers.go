package outbound

import (
	"net/http"
	"net/textproto"
	"strings"

	"quincegap/internal/mesh/dataplane/inbound"
)

// Header fields of HTTP that the proxy reads or sets, in canonical form.
const (
	headerConnection    = "Connection"
	headerContentLength = "Content-Length"
	headerContentType   = "Content-Type"
	headerDate          = "Date"
	headerExpect        = "Expect"
	headerHost          = "Host"
	headerKeepAlive     = "Keep-Alive"
	headerRetryAfter    = "Retry-After"
)

// systemHeaders are the header fields that only the mesh sets; a client's values are not forwarded. The names are in canonical form.
var systemHeaders = map[string]bool{
	inbound.HeaderAttemptID:      true,
	inbound.HeaderBaseVersion:    true,
	inbound.HeaderCallingService: true,
	inbound.HeaderKey:            true,
	inbound.HeaderNotExecuted:    true,
	inbound.HeaderSubscriberID:   true,
	inbound.HeaderTargetEndpoint: true,
	inbound.HeaderTimeRemaining:  true,
	headerHost:                   true,
}

// forwardedHeader returns the header fields that are forwarded to the endpoint, as alternating names and values.
func forwardedHeader(header http.Header) (fields []string) {
	connectionFields := namedByConnection(header)
	for name, values := range header {
		if systemHeaders[name] || connectionFields[name] || inbound.HopByHopHeaders[name] {
			continue
		}
		for _, value := range values {
			fields = append(fields, name, value)
		}
	}
	return fields
}

// namedByConnection returns the names of the fields that the Connection fields of a header declare to be hop-by-hop; nil for none.
func namedByConnection(header http.Header) (names map[string]bool) {
	for _, value := range header[headerConnection] {
		for name := range strings.SplitSeq(value, ",") {
			if names == nil {
				names = map[string]bool{}
			}
			names[textproto.CanonicalMIMEHeaderKey(textproto.TrimString(name))] = true
		}
	}
	return names
}
