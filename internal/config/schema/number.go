package schema

import (
	"cmp"
	"fmt"
	"math"
	"strconv"
	"strings"

	"quincegap/internal/config/doc"
)

// Bounds has the default and the range of a number. An Optional key is 0 if it is missing.
type Bounds[N cmp.Ordered] struct {
	Default  N
	Min, Max N    // the inclusive range
	Optional bool // whether the key may be missing although it has no default
	Required bool
	Example  string // an example as TOML, for an optional or required key
}

// numberKey declares a key whose value is a number. read returns the number, or else what is wrong with the value; write formats it as
// TOML.
func numberKey[T any, N cmp.Ordered](name, typeName string, field func(*T) *N, b Bounds[N], change Change, help string,
	read func(*doc.Value) (N, string), write func(N) string,
) KeyOf[T] {
	key := &Key{
		Name: name, Type: typeName, Help: help, Change: change, Required: b.Required, Example: b.Example,
		Bounds: write(b.Min) + " to " + write(b.Max),
	}
	if !b.Optional && !b.Required {
		key.Default = write(b.Default)
	}
	key.setDefault = func(target any) { *field(target.(*T)) = b.Default }
	key.decode = func(target any, v *doc.Value) (string, string) {
		n, fault := read(v)
		switch {
		case fault != "":
			return "", fault
		case n < b.Min:
			return "", fmt.Sprintf("%s is below %s", quoteValue(v), write(b.Min))
		case n > b.Max:
			return "", fmt.Sprintf("%s is above %s", quoteValue(v), write(b.Max))
		}
		*field(target.(*T)) = n
		return write(n), ""
	}
	return KeyOf[T]{key}
}

// Int declares a key whose value is a whole number.
func Int[T any](name string, field func(*T) *int, b Bounds[int], change Change, help string) KeyOf[T] {
	return numberKey(name, "whole number", field, b, change, help, func(v *doc.Value) (int, string) {
		switch v.Kind {
		case doc.Integer:
		case doc.Float:
			return 0, fmt.Sprintf("%s is not a whole number", quoteValue(v))
		default:
			return 0, wrongKind(v, "a whole number")
		}
		n, err := strconv.ParseInt(v.Text, 0, 64)
		if err != nil {
			return 0, fmt.Sprintf("%s is too large a number", quoteValue(v))
		}
		return int(n), ""
	}, strconv.Itoa)
}

// Float declares a key whose value is a number; NaN and infinity are rejected.
func Float[T any](name string, field func(*T) *float64, b Bounds[float64], change Change, help string) KeyOf[T] {
	return numberKey(name, "number", field, b, change, help, func(v *doc.Value) (float64, string) {
		if v.Kind != doc.Float && v.Kind != doc.Integer {
			return 0, wrongKind(v, "a number")
		}
		text := strings.ReplaceAll(v.Text, "_", "")
		n, err := strconv.ParseFloat(text, 64)
		if v.Kind == doc.Integer && err != nil {
			var i int64
			i, err = strconv.ParseInt(v.Text, 0, 64) // accepts hexadecimal, octal and binary integers
			n = float64(i)
		}
		if err != nil || math.IsNaN(n) || math.IsInf(n, 0) {
			return 0, fmt.Sprintf("%s is no number that can be used", quoteValue(v))
		}
		return n, ""
	}, func(n float64) string { return strconv.FormatFloat(n, 'f', -1, 64) })
}
