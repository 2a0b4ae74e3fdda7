package golden

import (
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
)

// Values returns the content of a value as text: the values of its fields in order, without the names of types and fields, which may
// change. Pointers are followed, maps are sorted by key, and functions, channels and interfaces are written as "-". Each element of a list
// of structs is on a line of its own. The value must not refer to itself.
func Values(v any) []byte {
	var text strings.Builder
	writeValue(&text, reflect.ValueOf(v))
	text.WriteByte('\n')
	return []byte(text.String())
}

// writeValue writes one value, of any kind.
func writeValue(text *strings.Builder, value reflect.Value) {
	switch value.Kind() {
	case reflect.Bool:
		text.WriteString(strconv.FormatBool(value.Bool()))
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		text.WriteString(strconv.FormatInt(value.Int(), 10))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		text.WriteString(strconv.FormatUint(value.Uint(), 10))
	case reflect.Float32, reflect.Float64:
		text.WriteString(strconv.FormatFloat(value.Float(), 'g', -1, 64))
	case reflect.String:
		text.WriteString(strconv.Quote(value.String()))
	case reflect.Pointer:
		if value.IsNil() {
			text.WriteString("nil")
			return
		}
		writeValue(text, value.Elem())
	case reflect.Struct:
		writeFields(text, value)
	case reflect.Slice, reflect.Array:
		writeElements(text, value)
	case reflect.Map:
		writeEntries(text, value)
	default:
		text.WriteString("-")
	}
}

// writeFields writes the fields of a struct.
func writeFields(text *strings.Builder, v reflect.Value) {
	text.WriteByte('{')
	for i := range v.NumField() {
		if i > 0 {
			text.WriteByte(' ')
		}
		writeValue(text, v.Field(i))
	}
	text.WriteByte('}')
}

// writeElements writes the elements of a list.
func writeElements(text *strings.Builder, list reflect.Value) {
	element := list.Type().Elem()
	if element.Kind() == reflect.Pointer {
		element = element.Elem()
	}
	separator := " "
	if element.Kind() == reflect.Struct {
		separator = "\n"
	}
	text.WriteByte('[')
	for i := range list.Len() {
		if i > 0 {
			text.WriteString(separator)
		}
		writeValue(text, list.Index(i))
	}
	text.WriteByte(']')
}

// writeEntries writes the entries of a map, sorted by their text.
func writeEntries(text *strings.Builder, v reflect.Value) {
	var entries []string
	for _, key := range v.MapKeys() {
		var entry strings.Builder
		writeValue(&entry, key)
		entry.WriteByte(':')
		writeValue(&entry, v.MapIndex(key))
		entries = append(entries, entry.String())
	}
	slices.Sort(entries)
	fmt.Fprintf(text, "map[%s]", strings.Join(entries, " "))
}
