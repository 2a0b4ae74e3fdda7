package route

import (
	"fmt"
	"strings"
)

// trimPath returns a path without one leading and one trailing slash, which do not matter for matching.
func trimPath(path string) string { return strings.TrimSuffix(strings.TrimPrefix(path, "/"), "/") }

// AmbiguousPath returns why two programs may interpret an escaped path differently, or "" if it is unambiguous. For an ambiguous path the
// sidecar could select one route while the endpoint serves the path of another.
func AmbiguousPath(path string) string {
	if path == "" || path[0] != '/' {
		return "it does not begin with /"
	}
	start := 1 // index of the current segment
	for i := 1; i <= len(path); i++ {
		if i == len(path) || path[i] == '/' {
			if text := ambiguousSegment(path[start:i], i == len(path)); text != "" {
				return text
			}
			start = i + 1
		}
	}
	return ""
}

// ambiguousSegment returns why a segment is ambiguous, or "". Only the last segment of a path may be empty.
func ambiguousSegment(segment string, last bool) string {
	const otherThanDots = 3 // value of dots for a segment that has other characters too
	if segment == "" && !last {
		return "it has // in it"
	}
	dots := 0
	for i := 0; i < len(segment); i++ {
		char := segment[i]
		if char == '%' {
			if i+2 >= len(segment) || unhex(segment[i+1]) < 0 || unhex(segment[i+2]) < 0 {
				return "it has an escape that is none"
			}
			char = byte(unhex(segment[i+1])<<4 | unhex(segment[i+2]))
			i += 2
			if char == '/' || char == '\\' || char < ' ' || char == 0x7f || char == '%' {
				return fmt.Sprintf("it has %%%02X in it", char)
			}
		} else if char == '\\' || char == '#' || char <= ' ' || char == 0x7f {
			return fmt.Sprintf("it has %q in it", char)
		}
		if char == '.' {
			dots++
		} else {
			dots = otherThanDots
		}
	}
	if dots == 1 || dots == 2 {
		return "it has a segment of dots"
	}
	return ""
}

// unhex returns the value of a hexadecimal digit, or -1 for any other character.
func unhex(c byte) int {
	switch {
	case '0' <= c && c <= '9':
		return int(c - '0')
	case 'a' <= c && c <= 'f':
		return int(c-'a') + 10
	case 'A' <= c && c <= 'F':
		return int(c-'A') + 10
	}
	return -1
}

// unescape decodes an unambiguous segment into a buffer. It returns false if the buffer is too short: in that case the segment is longer
// than any segment of a pattern.
func unescape(s string, buffer []byte) ([]byte, bool) {
	for i := 0; i < len(s); i++ {
		c := s[i]
		if c == '%' && i+2 < len(s) {
			c = byte(unhex(s[i+1])<<4 | unhex(s[i+2]))
			i += 2
		}
		if len(buffer) == cap(buffer) {
			return nil, false
		}
		buffer = append(buffer, c)
	}
	return buffer, true
}

// hostName writes the host of a request into a buffer, in lower case and without port and final dot, and returns it. It returns nil if
// the host is an IPv6 address or longer than the buffer, because no pattern has such a host.
func hostName(host string, buffer []byte) []byte {
	if strings.HasPrefix(host, "[") {
		return nil
	}
	if i := strings.IndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	host = strings.TrimSuffix(host, ".")
	if len(host) > cap(buffer) {
		return nil
	}
	for i := range len(host) {
		c := host[i]
		if 'A' <= c && c <= 'Z' {
			c += 'a' - 'A'
		}
		buffer = append(buffer, c)
	}
	return buffer
}
