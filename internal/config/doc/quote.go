package doc

import "strings"

// DottedPath returns a path as in the header of a table, with quotes around the parts that are not bare keys.
func DottedPath(path []string) string {
	parts := make([]string, len(path))
	for i, part := range path {
		parts[i] = QuoteKey(part)
	}
	return strings.Join(parts, ".")
}

// QuoteKey returns a key as TOML, with quotes if it needs them.
func QuoteKey(key string) string {
	if key == "" {
		return Quote(key)
	}
	for i := range len(key) {
		if !isBareKeyByte(key[i]) {
			return Quote(key)
		}
	}
	return key
}

// isBareKeyByte reports whether a byte may be in a key without quotes.
func isBareKeyByte(c byte) bool {
	switch {
	case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		return true
	}
	return c == '_' || c == '-'
}

// Quote returns a text as a TOML basic string.
func Quote(s string) string {
	const hex = "0123456789ABCDEF"
	var b strings.Builder
	b.WriteByte('"')
	for _, char := range s {
		switch {
		case char == '"' || char == '\\':
			b.WriteByte('\\')
			b.WriteRune(char)
		case char == '\t':
			b.WriteString(`\t`)
		case char == '\n':
			b.WriteString(`\n`)
		case char == '\r':
			b.WriteString(`\r`)
		case char < 0x20 || char == 0x7f:
			b.WriteString(`\u00`)
			b.WriteByte(hex[char>>4])
			b.WriteByte(hex[char&15])
		default:
			b.WriteRune(char)
		}
	}
	b.WriteByte('"')
	return b.String()
}
