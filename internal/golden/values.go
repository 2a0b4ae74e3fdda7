package golden

import (
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
)

// Values returns a value as text for a golden file: the values of its fields in order, without the names of types and fields, so that these
// can be renamed. Pointers are followed, maps are sorted by the text of their entries, and functions, channels and interfaces are written
// as "-". Each element of a list of structs starts a new line. The value must not contain a pointer to itself.
func Values(v any) []byte {
	var text strings.Builder
	writeValue(&text, reflect.ValueOf(v))
	text.WriteByte('\n')
	return []byte(text.String())
}

// writeValue writes a value of any kind; see Values.
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
func writeFields(text *strings.Builder, structure reflect.Value) {
	text.WriteByte('{')
	for i := range structure.NumField() {
		if i > 0 {
			text.WriteByte(' ')
		}
		writeValue(text, structure.Field(i))
	}
	text.WriteByte('}')
}

// writeElements writes the elements of a slice or array: one per line if they are structs or pointers to structs.
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
func writeEntries(text *strings.Builder, mapping reflect.Value) {
	var entries []string
	for _, key := range mapping.MapKeys() {
		var entry strings.Builder
		writeValue(&entry, key)
		entry.WriteByte(':')
		writeValue(&entry, mapping.MapIndex(key))
		entries = append(entries, entry.String())
	}
	slices.Sort(entries)
	fmt.Fprintf(text, "map[%s]", strings.Join(entries, " "))
}
