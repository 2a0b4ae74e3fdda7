package route

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// hostFault returns why the host of a pattern is invalid, or "" if it is valid.
func hostFault(host string) string {
	if host == "" {
		return ""
	}
	name := strings.TrimPrefix(host, "*.")
	switch {
	case len(host) > maxHostBytes:
		return fmt.Sprintf("has more than %d bytes", maxHostBytes)
	case strings.Contains(name, "*"):
		return "a * may only replace the first labels, as in \"*.example.org\""
	case strings.ContainsAny(host, "/:[]@ ") || strings.HasPrefix(name, ".") || strings.HasSuffix(name, ".") || strings.Contains(name, ".."):
		return "is not a host name; write it without scheme, port or path"
	}
	return ""
}

// parsePath parses the path of a pattern. rest is set if any number of further segments may follow. fault says why the path is invalid;
// it is "" for a valid path.
func parsePath(path string) (segments []segment, rest bool, fault string) {
	if path == "" {
		return nil, true, ""
	}
	if path[0] != '/' {
		return nil, false, "does not begin with /"
	}
	if path == "/" {
		return nil, false, ""
	}
	parts := strings.Split(path[1:], "/")
	if len(parts) > MaxSegments {
		return nil, false, fmt.Sprintf("has more than %d segments", MaxSegments)
	}
	names := map[string]bool{} // the wildcard names used so far
	for i, part := range parts {
		last := i == len(parts)-1
		if !strings.HasPrefix(part, "{") {
			if fault = segmentFault(part, last); fault != "" {
				return nil, false, fault
			}
			segments = append(segments, segment{text: part})
			continue
		}
		many, fault := parseWildcard(part, last, names)
		if fault != "" {
			return nil, false, fault
		}
		if many {
			return segments, true, ""
		}
		segments = append(segments, segment{wildcard: true})
	}
	return segments, false, ""
}

// parseWildcard parses a segment like {id}, or like {rest...}, for which many is set. names has the names of the wildcards before it, and
// gets the name of this one. fault is "" if the segment is valid.
func parseWildcard(part string, last bool, names map[string]bool) (many bool, fault string) {
	name, closed := strings.CutSuffix(strings.TrimPrefix(part, "{"), "}")
	if !closed {
		return false, fmt.Sprintf("%q: a wildcard must be a whole segment, like {id}", part)
	}
	name, many = strings.CutSuffix(name, "...")
	switch {
	case many && !last:
		return false, fmt.Sprintf("%q matches the rest of a path, and must be the last segment", part)
	case name == "" || strings.ContainsAny(name, "{}.*"):
		return false, fmt.Sprintf("%q: a wildcard must have a name, like {id} or {rest...}", part)
	case names[name]:
		return false, fmt.Sprintf("two wildcards have the name %q", name)
	}
	names[name] = true
	return many, ""
}

// segmentFault returns why a segment without a wildcard is invalid, or "" if it is valid.
func segmentFault(part string, last bool) string {
	switch {
	case part == "" && last:
		return "ends in /: remove the final / (a path matches with and without it), or end it in /{rest...}"
	case part == "" || part == "." || part == "..":
		return fmt.Sprintf("has the segment %q, which no path of a routed request contains", part)
	case len(part) > maxSegmentBytes:
		return fmt.Sprintf("has a segment of more than %d bytes", maxSegmentBytes)
	case strings.ContainsAny(part, "{}*?#%\\") || strings.ContainsFunc(part, func(r rune) bool { return r <= ' ' || r == 0x7f }):
		return fmt.Sprintf("%q: write characters unescaped; spaces, control characters and { } * ? # %% \\ are not allowed", part)
	}
	return ""
}

// parseList parses a list of items that are separated by commas, and sorts them. An empty text is an empty list.
func parseList(text string) (items []string, fault string) {
	if text == "" {
		return nil, ""
	}
	for part := range strings.SplitSeq(text, ",") {
		item := strings.TrimSpace(part)
		if item == "" {
			return nil, "has an empty item between commas"
		}
		if slices.Contains(items, item) {
			return nil, fmt.Sprintf("has %q twice", item)
		}
		items = append(items, item)
	}
	if len(items) > maxListItems {
		return nil, fmt.Sprintf("has more than %d items", maxListItems)
	}
	slices.Sort(items)
	return items, ""
}

// parseHeaders parses conditions like "Name: value" or "Name" that are separated by commas, and sorts them by name.
func parseHeaders(text string) (conditions []condition, fault string) {
	items, fault := parseList(text)
	for _, item := range items {
		name, value, _ := strings.Cut(item, ":")
		name = canonicalHeaderName(strings.TrimSpace(name))
		if name == "" || strings.ContainsFunc(name, isInvalidInHeaderName) {
			return nil, fmt.Sprintf("%q is not a header: write \"Name: value\", or \"Name\" for any value", item)
		}
		if slices.ContainsFunc(conditions, func(c condition) bool { return c.name == name }) {
			return nil, fmt.Sprintf("has %q twice", name)
		}
		conditions = append(conditions, condition{name: name, value: strings.TrimSpace(value)})
	}
	slices.SortFunc(conditions, func(a, b condition) int { return cmp.Compare(a.name, b.name) })
	return conditions, fault
}

// isInvalidInHeaderName reports whether a character is not allowed in the name of a header (RFC 9110, section 5.6.2).
func isInvalidInHeaderName(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return false
	}
	return !strings.ContainsRune("!#$%&'*+-.^_`|~", r)
}

// canonicalHeaderName returns the name of a header in the canonical form of net/http. Names that differ only in case are the same
// (RFC 9110).
func canonicalHeaderName(name string) string {
	b := []byte(name)
	upper := true
	for i, c := range b {
		if upper && 'a' <= c && c <= 'z' {
			b[i] = c - 'a' + 'A'
		} else if !upper && 'A' <= c && c <= 'Z' {
			b[i] = c - 'A' + 'a'
		}
		upper = c == '-'
	}
	return string(b)
}
