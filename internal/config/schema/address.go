package schema

import (
	"fmt"
	"net"
	"strconv"
	"strings"
)

const (
	maxPort      = 65535
	maxHostBytes = 255
)

// Address declares a key whose value is host:port with a numeric port. listen says that the sidecar listens on the address; its host may
// then be empty and its port 0.
func Address[T any](name string, field func(*T) *string, s StringOptions, listen bool, change Change, help string) KeyOf[T] {
	s.Type = "address"
	s.Bounds = "host:port"
	s.Fault = func(text string) string { return addressFault(text, listen) }
	return String(name, field, s, change, help)
}

// addressFault returns what is wrong with an address, or "" if it is valid. See Address for listen.
func addressFault(text string, listen bool) string {
	host, port, err := net.SplitHostPort(text)
	switch {
	case err != nil && strings.Contains(text, "://"):
		return "is a URL; write host:port alone"
	case err != nil && !strings.Contains(text, ":"):
		return "has no port; write host:port, like 127.0.0.1:8080"
	case err != nil:
		return "is not host:port; an IPv6 address stands in [ ]"
	}
	n, err := strconv.Atoi(port)
	switch {
	case err != nil || n < 0 || n > maxPort || strings.Trim(port, "0123456789") != "":
		return fmt.Sprintf("has the port %q; ports are 0 to %d", port, maxPort)
	case n == 0 && !listen:
		return "has the port 0, which nothing can be reached at"
	case host == "" && !listen:
		return "names no host"
	case strings.ContainsAny(host, " \t/@") || len(host) > maxHostBytes:
		return fmt.Sprintf("has the host %q, which is neither a name nor an IP address", host)
	case host != "" && strings.Trim(host, "0123456789.") == "" && net.ParseIP(host) == nil:
		return fmt.Sprintf("has the host %q, which is no IP address", host)
	}
	return ""
}
