package codec

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/encoding/protowire"

	"quincegap/internal/golden"
)

// everyField has a field for each method of Visitor that visits one, and for the functions Messages and List.
type everyField struct {
	Uint     uint64
	Int      int64
	Small    int
	Time     time.Duration
	Bool     bool
	Fixed    uint64
	Float    float64
	Bytes    []byte
	Text     string
	Texts    []string
	Message  oneField
	Messages []oneField
	Each     []uint64
}

func (e *everyField) Fields(v *Visitor) {
	v.Uint64(1, &e.Uint)
	v.Int64(2, &e.Int)
	v.Int(3, &e.Small)
	v.Duration(4, &e.Time)
	v.Bool(5, &e.Bool)
	v.Fixed64(6, &e.Fixed)
	v.Float64(7, &e.Float)
	v.Bytes(8, &e.Bytes)
	v.String(9, &e.Text)
	v.Strings(10, &e.Texts)
	v.Message(11, &e.Message)
	Messages(v, 12, &e.Messages)
	List(v, 13, &e.Each, eachUint)
}

// eachUint visits an element of a list for List. The element's bytes are a varint.
func eachUint(v *Visitor, x *uint64) {
	if v.Reading() {
		*x, _ = protowire.ConsumeVarint(v.elementBytes())
		return
	}
	v.encoded = protowire.AppendVarint(v.encoded, *x)
}

type oneField struct{ Text string }

func (o *oneField) Fields(v *Visitor) { v.String(1, &o.Text) }

var goldenMessages = []struct {
	name  string
	value everyField
}{
	{"zero.hex", everyField{}},
	{"populated.hex", everyField{
		Uint: 300, Int: 150, Small: 70_000, Time: 1500 * time.Millisecond, Bool: true, Fixed: 0x0102030405060708,
		Float: 2.5, Bytes: []byte{0, 1, 0xff}, Text: "zoné", Texts: []string{"b", "", "a"}, Message: oneField{"inner"},
		Messages: []oneField{{"first"}, {}, {"third"}}, Each: []uint64{1, 0, 300},
	}},
	{"negative.hex", everyField{Int: -150, Small: -1, Time: -time.Second, Float: -0.5}},
	{"extreme.hex", everyField{
		Uint: math.MaxUint64, Int: math.MinInt64, Small: math.MaxInt, Time: math.MaxInt64, Fixed: math.MaxUint64,
		Float: math.Inf(-1),
	}},
}

func TestGoldenMessages(t *testing.T) {
	for _, test := range goldenMessages {
		t.Run(test.name, func(t *testing.T) {
			golden.Hex(t, test.name, MarshalAppend(nil, &test.value))
			var got everyField
			qt.Assert(t, Unmarshal(golden.Read(t, test.name), &got), qt.IsNil)
			qt.Assert(t, got, qt.DeepEquals, test.value)
		})
	}
}

// fieldsFile has a line for each message of TestGoldenFields: the name of the case, and the encoded message in hexadecimal.
const fieldsFile = "fields.txt"

func TestGoldenFields(t *testing.T) {
	cases := []struct {
		name  string
		value everyField
	}{
		{"uint-zero", everyField{}},
		{"uint-one", everyField{Uint: 1}},
		{"uint-two-bytes", everyField{Uint: 128}},
		{"int-one", everyField{Int: 1}},
		{"int-minus-one", everyField{Int: -1}},
		{"small-one", everyField{Small: 1}},
		{"small-minus-one", everyField{Small: -1}},
		{"time-nanosecond", everyField{Time: 1}},
		{"time-minus-nanosecond", everyField{Time: -1}},
		{"bool-true", everyField{Bool: true}},
		{"fixed-one", everyField{Fixed: 1}},
		{"float-one", everyField{Float: 1}},
		{"float-minus-one", everyField{Float: -1}},
		{"float-negative-zero", everyField{Float: math.Copysign(0, -1)}},
		{"bytes-one", everyField{Bytes: []byte{0}}},
		{"text-one", everyField{Text: "x"}},
		{"texts-one-empty", everyField{Texts: []string{""}}},
		{"texts-two", everyField{Texts: []string{"x", "y"}}},
		{"message-one", everyField{Message: oneField{"x"}}},
		{"messages-one-empty", everyField{Messages: []oneField{{}}}},
		{"messages-two", everyField{Messages: []oneField{{"x"}, {"y"}}}},
		{"each-two", everyField{Each: []uint64{0, 300}}},
	}
	var text strings.Builder
	for _, test := range cases {
		fmt.Fprintf(&text, "%s %s\n", test.name, hex.EncodeToString(MarshalAppend(nil, &test.value)))
	}
	golden.Text(t, fieldsFile, []byte(text.String()))
	file, err := os.ReadFile(filepath.Join("testdata", "golden", fieldsFile))
	qt.Assert(t, err, qt.IsNil)
	lines := strings.Split(strings.TrimSuffix(string(file), "\n"), "\n")
	qt.Assert(t, lines, qt.HasLen, len(cases))
	for i, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			name, digits, _ := strings.Cut(lines[i], " ")
			qt.Assert(t, name, qt.Equals, test.name)
			data, err := hex.DecodeString(digits)
			qt.Assert(t, err, qt.IsNil)
			var got everyField
			qt.Assert(t, Unmarshal(data, &got), qt.IsNil)
			qt.Assert(t, got, qt.DeepEquals, test.value)
			qt.Assert(t, math.Signbit(got.Float), qt.Equals, math.Signbit(test.value.Float))
		})
	}
}

// newerMessage returns the encoding of everyField by a later version, which has additional fields of each wire type before, between and
// after those of everyField.
func newerMessage() []byte {
	var b []byte
	b = protowire.AppendVarint(protowire.AppendTag(b, 100, protowire.VarintType), 7)
	b = protowire.AppendFixed64(protowire.AppendTag(b, 101, protowire.Fixed64Type), 7)
	b = append(b, MarshalAppend(nil, &everyField{Uint: 5})...)
	b = protowire.AppendBytes(protowire.AppendTag(b, 102, protowire.BytesType), []byte("seven"))
	b = protowire.AppendFixed32(protowire.AppendTag(b, 103, protowire.Fixed32Type), 7)
	b = append(b, MarshalAppend(nil, &everyField{Text: "known"})...)
	b = protowire.AppendTag(b, 104, protowire.StartGroupType)
	b = protowire.AppendVarint(protowire.AppendTag(b, 1, protowire.VarintType), 7)
	b = protowire.AppendTag(b, 104, protowire.EndGroupType)
	return b
}

func TestGoldenUnknownFieldsAreIgnored(t *testing.T) {
	golden.Hex(t, "newer.hex", newerMessage())
	var got everyField
	qt.Assert(t, Unmarshal(golden.Read(t, "newer.hex"), &got), qt.IsNil)
	qt.Assert(t, got, qt.DeepEquals, everyField{Uint: 5, Text: "known"})
}

// If a field occurs twice in a message, its last value is read; a list is read from both occurrences.
func TestGoldenRepeatedFields(t *testing.T) {
	first := everyField{Uint: 1, Text: "first", Texts: []string{"a"}, Messages: []oneField{{"a"}}}
	second := everyField{Uint: 2, Text: "second", Texts: []string{"b"}, Messages: []oneField{{"b"}}}
	golden.Hex(t, "repeated.hex", MarshalAppend(MarshalAppend(nil, &first), &second))
	var got everyField
	qt.Assert(t, Unmarshal(golden.Read(t, "repeated.hex"), &got), qt.IsNil)
	qt.Assert(t, got, qt.DeepEquals, everyField{Uint: 2, Text: "second", Texts: []string{"a", "b"}, Messages: []oneField{{"a"}, {"b"}}})
}

// The golden file has the errors of Unmarshal for every field with each wire type, and for truncated and invalid messages.
func TestGoldenErrors(t *testing.T) {
	value := func(typ protowire.Type) []byte {
		switch typ {
		case protowire.VarintType:
			return []byte{1}
		case protowire.Fixed32Type:
			return make([]byte, 4)
		case protowire.Fixed64Type:
			return make([]byte, 8)
		default:
			return []byte{0}
		}
	}
	var text bytes.Buffer
	record := func(data []byte) {
		result := "read"
		if err := Unmarshal(data, &everyField{}); err != nil {
			result = strings.ReplaceAll(err.Error(), "\u00a0", " ") // the kind of space in protobuf's errors differs from program to program
		}
		fmt.Fprintf(&text, "%s: %s\n", hex.EncodeToString(data), result)
	}
	for num := protowire.Number(1); num <= 13; num++ {
		for _, typ := range []protowire.Type{protowire.VarintType, protowire.Fixed64Type, protowire.BytesType, protowire.Fixed32Type} {
			record(append(protowire.AppendTag(nil, num, typ), value(typ)...))
		}
	}
	for _, digits := range []string{
		"08", "0880", // a missing varint, and an incomplete one
		"31", "3101020304050607", // a fixed64 without its eight bytes, and one with only seven of them
		"4a05616263",             // a string with only three of its five bytes
		"5a020a05",               // a nested message whose string is missing
		"62020801", "6203080101", // a message in a list with a field of another wire type, and the same with an invalid byte after it
		"0001", "ff", "0affffffff0f", // a field with number 0, an incomplete tag, and a length of 4 GB
		"0c", "0f01", // the end of a group that has not begun, and a wire type that does not exist
	} {
		data, err := hex.DecodeString(digits)
		qt.Assert(t, err, qt.IsNil)
		record(data)
	}
	golden.Text(t, "errors.txt", text.Bytes())
}

// invalidFields is a message that reports two of its fields as invalid.
type invalidFields struct{}

func (invalidFields) Fields(v *Visitor) {
	v.Fail(3, "is no version")
	v.Fail(4, "is no name")
}

// Unmarshal returns the first error that the message reports.
func TestGoldenFail(t *testing.T) {
	qt.Assert(t, Unmarshal(nil, invalidFields{}), qt.ErrorMatches, "field 3 is no version")
}
