package schema

import (
	"fmt"
	"strconv"
	"strings"

	"quincegap/internal/config/doc"
)

// maxQuotedBytes bounds the part of a value that a message quotes.
const maxQuotedBytes = 40

// quoteValue returns the text of a value for a message, truncated to maxQuotedBytes.
func quoteValue(v *doc.Value) string {
	text := v.Text
	if len(text) > maxQuotedBytes {
		text = strings.ToValidUTF8(text[:maxQuotedBytes], "") + "..."
	}
	if v.Kind == doc.String {
		return doc.Quote(text)
	}
	return text
}

// wrongKind returns the message for a value that is not of the key's type; want describes that type.
func wrongKind(v *doc.Value, want string) string {
	if v.Kind == doc.Array || v.Kind == doc.TableKind {
		return fmt.Sprintf("%s, not %s, is wanted", want, v.Kind)
	}
	return fmt.Sprintf("%s is %s; %s is wanted", quoteValue(v), v.Kind, want)
}

// Bool declares a key whose value is true or false.
func Bool[T any](name string, field func(*T) *bool, defaultValue bool, change Change, help string) KeyOf[T] {
	return KeyOf[T]{&Key{
		Name: name, Type: "true or false", Help: help, Change: change, Default: strconv.FormatBool(defaultValue),
		setDefault: func(target any) { *field(target.(*T)) = defaultValue },
		decode: func(target any, v *doc.Value) (string, string) {
			if v.Kind != doc.Bool {
				return "", wrongKind(v, "true or false")
			}
			*field(target.(*T)) = v.Text == "true"
			return v.Text, ""
		},
	}}
}
