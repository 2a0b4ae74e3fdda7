package doc

import "strings"

// DottedPath joins a path with dots, as in the header of a table, and quotes the parts that are not bare keys.
func DottedPath(path []string) string {
	parts := make([]string, len(path))
	for i, part := range path {
		parts[i] = QuoteKey(part)
	}
	return strings.Join(parts, ".")
}

// QuoteKey returns a key as TOML, quoted unless it is a bare key.
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

// isBareKeyByte reports whether a byte is allowed in a bare key, which is one without quotes.
func isBareKeyByte(c byte) bool {
	switch {
	case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		return true
	}
	return c == '_' || c == '-'
}

// Quote returns a text as a TOML basic string, with quotes and escapes.
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
