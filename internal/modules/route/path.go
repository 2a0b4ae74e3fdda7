package route

import (
	"fmt"
	"strings"
)

// trimPath is a path without the slashes at its ends that make no difference.
func trimPath(path string) string { return strings.TrimSuffix(strings.TrimPrefix(path, "/"), "/") }

// AmbiguousPath says why two readers may take an escaped path for different ones, or "". Such a path would be matched by one route
// here and served as that of another behind.
func AmbiguousPath(path string) string {
	if path == "" || path[0] != '/' {
		return "it does not begin with /"
	}
	from := 1 // of the segment
	for i := 1; i <= len(path); i++ {
		if i == len(path) || path[i] == '/' {
			if text := ambiguousSegment(path[from:i], i == len(path)); text != "" {
				return text
			}
			from = i + 1
		}
	}
	return ""
}

// ambiguousSegment says why a segment is, or "". Only the last one may be empty.
func ambiguousSegment(s string, last bool) string {
	const otherThanDots = 3 // in place of the number of dots
	if s == "" && !last {
		return "it has // in it"
	}
	dots := 0
	for i := 0; i < len(s); i++ {
		c := s[i]
		if c == '%' {
			if i+2 >= len(s) || unhex(s[i+1]) < 0 || unhex(s[i+2]) < 0 {
				return "it has an escape that is none"
			}
			c = byte(unhex(s[i+1])<<4 | unhex(s[i+2]))
			i += 2
			if c == '/' || c == '\\' || c < ' ' || c == 0x7f || c == '%' {
				return fmt.Sprintf("it has %%%02X in it", c)
			}
		} else if c == '\\' || c == '#' || c <= ' ' || c == 0x7f {
			return fmt.Sprintf("it has %q in it", c)
		}
		if c == '.' {
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

// unhex is the value of a hexadecimal digit; negative for what is none.
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

// unescape undoes the escapes of an unambiguous segment, in a buffer that is given; false if it is longer, and so no pattern's.
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

// hostName is a Host without port, final dot and case, in a buffer that is given; nothing if it is too long.
func hostName(host string, buffer []byte) []byte {
	if strings.HasPrefix(host, "[") {
		return nil // an address, which no pattern names
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
