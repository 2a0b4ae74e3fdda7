package exchange

import (
	"net/http"
	"slices"
	"strings"
)

// hopByHop lists the headers that apply to a single connection and are not forwarded (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// RemoveHopByHop removes the headers that apply to a single connection, including those that the Connection header names.
func RemoveHopByHop(h http.Header) {
	for _, line := range slices.Clone(h["Connection"]) {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}
