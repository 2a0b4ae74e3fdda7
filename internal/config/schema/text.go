package schema

import (
	"cmp"
	"fmt"
	"strings"

	"quincegap/internal/config/doc"
	"quincegap/internal/config/finding"
)

// StringOptions describes a string: its default and its valid values.
type StringOptions struct {
	Default  string
	Required bool
	Example  string // an example, without quotes
	Type     string // the type as a phrase; "string" if empty
	Bounds   string // the valid values as a phrase; may be empty
	// Fault returns what is wrong with a value, or "". It may be nil, which accepts all values.
	Fault func(string) string
}

// MaxStringBytes bounds the length of a string, in bytes.
const MaxStringBytes = 4096

// String declares a key whose value is a string that is not empty and has no control characters.
func String[T any](name string, field func(*T) *string, options StringOptions, change Change, help string) KeyOf[T] {
	key := &Key{
		Name:     name,
		Type:     cmp.Or(options.Type, "string"),
		Bounds:   options.Bounds,
		Help:     help,
		Change:   change,
		Required: options.Required,
	}
	if options.Example != "" {
		key.Example = doc.Quote(options.Example)
	}
	if options.Default != "" {
		key.Default = doc.Quote(options.Default)
	}
	key.setDefault = func(target any) { *field(target.(*T)) = options.Default }
	key.decode = func(target any, value *doc.Value) (string, string) {
		switch {
		case value.Kind != doc.String:
			return "", wrongKind(value, "a string")
		case len(value.Text) > MaxStringBytes:
			return "", fmt.Sprintf("has %d bytes; at most %d are read", len(value.Text), MaxStringBytes)
		case strings.ContainsFunc(value.Text, func(r rune) bool { return r < 0x20 || r == 0x7f }):
			return "", "has a control character in it"
		case value.Text == "":
			return "", "is empty; leave the key out instead"
		case options.Fault != nil:
			if fault := options.Fault(value.Text); fault != "" {
				return "", quoteValue(value) + " " + fault
			}
		}
		*field(target.(*T)) = value.Text
		return doc.Quote(value.Text), ""
	}
	return KeyOf[T]{key}
}

// Choice declares a key whose value is one of several strings. If defaultValue is "" the key has no default. If required is set the key
// must not be missing.
func Choice[T any, S ~string](name string, field func(*T) *S, values []S, defaultValue S, required bool, change Change, help string,
) KeyOf[T] {
	names := make([]string, len(values))
	for i, value := range values {
		names[i] = string(value)
	}
	key := &Key{
		Name: name, Type: "word", Bounds: strings.Join(names, ", "), Help: help, Change: change, Required: required,
		Example: doc.Quote(names[0]),
	}
	if defaultValue != "" {
		key.Default = doc.Quote(string(defaultValue))
	}
	key.setDefault = func(target any) { *field(target.(*T)) = defaultValue }
	key.decode = func(target any, v *doc.Value) (string, string) {
		if v.Kind != doc.String {
			return "", wrongKind(v, "one of "+strings.Join(names, ", "))
		}
		for _, value := range values {
			if v.Text == string(value) {
				*field(target.(*T)) = value
				return doc.Quote(v.Text), ""
			}
		}
		return "", finding.UnknownName("word", v.Text, names)
	}
	return KeyOf[T]{key}
}
