package route

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// badHost returns the fault of a pattern's host, or "".
func badHost(host string) string {
	if host == "" {
		return ""
	}
	name := strings.TrimPrefix(host, "*.")
	switch {
	case len(host) > maxHostBytes:
		return fmt.Sprintf("has more than %d bytes", maxHostBytes)
	case strings.Contains(name, "*"):
		return "a * stands for the first labels alone, as in \"*.example.org\""
	case strings.ContainsAny(host, "/:[]@ ") || strings.HasPrefix(name, ".") || strings.HasSuffix(name, ".") || strings.Contains(name, ".."):
		return "is no host name; write it without scheme, port or path"
	}
	return ""
}

// readPath parses the path of a pattern. rest is set if any number of further segments may follow.
func readPath(path string) (segments []segment, rest bool, fault string) {
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
	names := map[string]bool{} // of wildcards
	for i, part := range parts {
		last := i == len(parts)-1
		if !strings.HasPrefix(part, "{") {
			if fault = badSegment(part, last); fault != "" {
				return nil, false, fault
			}
			segments = append(segments, segment{text: part})
			continue
		}
		many, fault := readWildcard(part, last, names)
		if fault != "" {
			return nil, false, fault
		}
		if many {
			return segments, true, ""
		}
		segments = append(segments, segment{any: true})
	}
	return segments, false, ""
}

// readWildcard parses a segment like {id}, or like {rest...}, for which many is set. names are the names of the wildcards before it.
func readWildcard(part string, last bool, names map[string]bool) (many bool, fault string) {
	name, closed := strings.CutSuffix(strings.TrimPrefix(part, "{"), "}")
	if !closed {
		return false, fmt.Sprintf("%q: a wildcard is a whole segment, like {id}", part)
	}
	name, many = strings.CutSuffix(name, "...")
	switch {
	case many && !last:
		return false, fmt.Sprintf("%q stands for the rest of a path, and has to be its end", part)
	case name == "" || strings.ContainsAny(name, "{}.*"):
		return false, fmt.Sprintf("%q: a wildcard has a name, like {id} or {rest...}", part)
	case names[name]:
		return false, fmt.Sprintf("two wildcards have the name %q", name)
	}
	names[name] = true
	return many, ""
}

// badSegment returns the fault of a segment that is no wildcard, or "".
func badSegment(part string, last bool) string {
	switch {
	case part == "" && last:
		return "ends in /: write it without (it matches both), or end it in /{rest...}"
	case part == "" || part == "." || part == "..":
		return fmt.Sprintf("has the segment %q, which no path that is routed has", part)
	case len(part) > maxSegmentBytes:
		return fmt.Sprintf("has a segment of more than %d bytes", maxSegmentBytes)
	case strings.ContainsAny(part, "{}*?#%\\") || strings.ContainsFunc(part, func(r rune) bool { return r <= ' ' || r == 0x7f }):
		return fmt.Sprintf("%q: write characters as they are, not escaped; { } * ? # %% and \\ cannot be in it", part)
	}
	return ""
}

// readWords parses words that are separated by commas, and sorts them.
func readWords(text string) (words []string, fault string) {
	if text == "" {
		return nil, ""
	}
	for part := range strings.SplitSeq(text, ",") {
		word := strings.TrimSpace(part)
		if word == "" {
			return nil, "has an empty word between commas"
		}
		if slices.Contains(words, word) {
			return nil, fmt.Sprintf("has %q twice", word)
		}
		words = append(words, word)
	}
	if len(words) > maxWords {
		return nil, fmt.Sprintf("has more than %d words", maxWords)
	}
	slices.Sort(words)
	return words, ""
}

// readHeaders parses conditions like "Name: value" or "Name" that are separated by commas, and sorts them by name.
func readHeaders(text string) (all []condition, fault string) {
	words, fault := readWords(text)
	for _, word := range words {
		name, value, _ := strings.Cut(word, ":")
		name = canonical(strings.TrimSpace(name))
		if name == "" || strings.ContainsFunc(name, notInHeaderName) {
			return nil, fmt.Sprintf("%q is no header: write \"Name: value\", or \"Name\" for any value", word)
		}
		if slices.ContainsFunc(all, func(c condition) bool { return c.name == name }) {
			return nil, fmt.Sprintf("has %q twice", name)
		}
		all = append(all, condition{name: name, value: strings.TrimSpace(value)})
	}
	slices.SortFunc(all, func(a, b condition) int { return cmp.Compare(a.name, b.name) })
	return all, fault
}

// notInHeaderName reports whether a character cannot be in the name of a header (RFC 9110, section 5.6.2).
func notInHeaderName(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return false
	}
	return !strings.ContainsRune("!#$%&'*+-.^_`|~", r)
}

// canonical returns the name of a header in the form of net/http. Names that differ in case only are the same (RFC 9110).
func canonical(name string) string {
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
