package doc

import (
	"bytes"
	"strings"
)

// maxQuotedBytes bounds the part of a text that a message quotes.
const maxQuotedBytes = 40

// explainSyntaxError returns a clearer message than the parser's if the line shows what is wrong, otherwise the parser's. text is the line,
// and column the offset of the error in it.
func explainSyntaxError(message string, text []byte, column int) string {
	line := strings.TrimSpace(string(text))
	equals := bytes.IndexByte(text, '=')
	switch {
	case hasStrayCarriageReturn(text):
		return "a carriage return within a line: lines end in LF or CR LF"
	case strings.HasPrefix(line, "[") && strings.Trim(line, "[] \t") == "":
		return "a table's header without a name"
	case strings.HasPrefix(line, "[") && strings.Count(line, "[") > strings.Count(line, "]"):
		return "the table's header is not closed by ]"
	case strings.HasPrefix(line, "[") || strings.HasPrefix(line, "="):
		return message
	case equals < 0:
		return "neither key = value, nor [table], nor # comment"
	case strings.HasSuffix(line, "="):
		return "there is no value behind ="
	case column <= equals:
		return message
	}
	return explainValueError(message, strings.TrimSpace(string(text[equals+1:])))
}

// hasStrayCarriageReturn reports whether a line has a carriage return that is not part of a CR LF at its end.
func hasStrayCarriageReturn(text []byte) bool {
	first := bytes.IndexByte(text, '\r')
	if first < 0 {
		return false
	}
	return !bytes.Contains(text, []byte("\r\n")) || first < len(text)-2
}

// explainValueError is like explainSyntaxError, for an error in the value after the equals sign.
func explainValueError(message, value string) string {
	opensString := strings.HasPrefix(value, `"`) && !strings.HasPrefix(value, `""`)
	if opensString && strings.Count(strings.ReplaceAll(value, `\"`, ""), `"`) == 1 {
		return `a string is not closed by "`
	}
	word, _, _ := strings.Cut(value, "#")
	word = strings.TrimSpace(word)
	const wordCharacters = "0123456789.abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ%/:_-+"
	if word != "" && strings.Trim(word, wordCharacters) == "" {
		return "the value " + truncated(word) + " is neither a number, nor true or false, nor a string in quotes: write " + Quote(truncated(word))
	}
	return message
}

// truncated shortens a text to at most maxQuotedBytes for a message.
func truncated(s string) string {
	if len(s) > maxQuotedBytes {
		return strings.ToValidUTF8(s[:maxQuotedBytes], "") + "..."
	}
	return s
}
