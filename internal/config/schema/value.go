package schema

import (
	"fmt"
	"strconv"
	"strings"

	"quincegap/internal/config/doc"
)

// maxQuotedBytes bounds what a message quotes of a value.
const maxQuotedBytes = 40

// quoteValue is a value as a message quotes it.
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

// wrongKind is the message on a value of another type than the key has.
func wrongKind(v *doc.Value, want string) string {
	if v.Kind == doc.Array || v.Kind == doc.TableKind {
		return fmt.Sprintf("%s, not %s, is wanted", want, v.Kind)
	}
	return fmt.Sprintf("%s is %s; %s is wanted", quoteValue(v), v.Kind, want)
}

// Bool is true or false.
func Bool[T any](name string, field func(*T) *bool, preset bool, change Change, help string) KeyOf[T] {
	return KeyOf[T]{&Key{
		Name: name, Type: "true or false", Help: help, Change: change, Default: strconv.FormatBool(preset),
		setDefault: func(target any) { *field(target.(*T)) = preset },
		decode: func(target any, v *doc.Value) (string, string) {
			if v.Kind != doc.Bool {
				return "", wrongKind(v, "true or false")
			}
			*field(target.(*T)) = v.Text == "true"
			return v.Text, ""
		},
	}}
}
