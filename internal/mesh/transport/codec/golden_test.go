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

// everyField has a field of each type that a Visitor has a method for.
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

// eachUint is an element of a list that List visits: its bytes are a varint.
func eachUint(v *Visitor, x *uint64) {
	if v.Reading() {
		*x, _ = protowire.ConsumeVarint(v.elementBytes())
		return
	}
	v.out = protowire.AppendVarint(v.out, *x)
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
	for _, x := range goldenMessages {
		t.Run(x.name, func(t *testing.T) {
			golden.Hex(t, x.name, MarshalAppend(nil, &x.value))
			var got everyField
			qt.Assert(t, Unmarshal(golden.Read(t, x.name), &got), qt.IsNil)
			qt.Assert(t, got, qt.DeepEquals, x.value)
		})
	}
}

// fieldsFile has each type of field alone: its name, and its encoding in hexadecimal.
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
	for _, x := range cases {
		fmt.Fprintf(&text, "%s %s\n", x.name, hex.EncodeToString(MarshalAppend(nil, &x.value)))
	}
	golden.Text(t, fieldsFile, []byte(text.String()))
	file, err := os.ReadFile(filepath.Join("testdata", "golden", fieldsFile))
	qt.Assert(t, err, qt.IsNil)
	lines := strings.Split(strings.TrimSuffix(string(file), "\n"), "\n")
	qt.Assert(t, lines, qt.HasLen, len(cases))
	for i, x := range cases {
		t.Run(x.name, func(t *testing.T) {
			name, digits, _ := strings.Cut(lines[i], " ")
			qt.Assert(t, name, qt.Equals, x.name)
			data, err := hex.DecodeString(digits)
			qt.Assert(t, err, qt.IsNil)
			var got everyField
			qt.Assert(t, Unmarshal(data, &got), qt.IsNil)
			qt.Assert(t, got, qt.DeepEquals, x.value)
			qt.Assert(t, math.Signbit(got.Float), qt.Equals, math.Signbit(x.value.Float))
		})
	}
}

// newerFields is everyField in a later version: it has additional fields, of each type on the wire, before, between and after those of
// everyField.
func newerFields() []byte {
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
	golden.Hex(t, "newer.hex", newerFields())
	var got everyField
	qt.Assert(t, Unmarshal(golden.Read(t, "newer.hex"), &got), qt.IsNil)
	qt.Assert(t, got, qt.DeepEquals, everyField{Uint: 5, Text: "known"})
}

// If a field occurs twice the last one counts; a list has both.
func TestGoldenRepeatedFields(t *testing.T) {
	first := everyField{Uint: 1, Text: "first", Texts: []string{"a"}, Messages: []oneField{{"a"}}}
	second := everyField{Uint: 2, Text: "second", Texts: []string{"b"}, Messages: []oneField{{"b"}}}
	golden.Hex(t, "repeated.hex", MarshalAppend(MarshalAppend(nil, &first), &second))
	var got everyField
	qt.Assert(t, Unmarshal(golden.Read(t, "repeated.hex"), &got), qt.IsNil)
	qt.Assert(t, got, qt.DeepEquals, everyField{Uint: 2, Text: "second", Texts: []string{"a", "b"}, Messages: []oneField{{"a"}, {"b"}}})
}

// The errors of Unmarshal for every field with each type on the wire that is not its own, and for truncated messages.
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
	note := func(data []byte) {
		answer := "read"
		if err := Unmarshal(data, &everyField{}); err != nil {
			answer = strings.ReplaceAll(err.Error(), "\u00a0", " ") // protobuf picks its kind of space by the program that it is built into
		}
		fmt.Fprintf(&text, "%s: %s\n", hex.EncodeToString(data), answer)
	}
	for num := protowire.Number(1); num <= 13; num++ {
		for _, typ := range []protowire.Type{protowire.VarintType, protowire.Fixed64Type, protowire.BytesType, protowire.Fixed32Type} {
			note(append(protowire.AppendTag(nil, num, typ), value(typ)...))
		}
	}
	for _, digits := range []string{
		"08", "0880", // a varint that is missing, and one that does not end
		"31", "3101020304050607", // eight bytes that are missing, and seven of them
		"4a05616263",             // a text of three of its five bytes
		"5a020a05",               // a message whose text is missing
		"62020801", "6203080101", // a message in a list, whose field has another type, and garbage after it
		"0001", "ff", "0affffffff0f", // a field of number 0, a tag that does not end, a length of 4 GB
		"0c", "0f01", // the end of a group that has not begun, a type that there is not
	} {
		data, err := hex.DecodeString(digits)
		qt.Assert(t, err, qt.IsNil)
		note(data)
	}
	golden.Text(t, "errors.txt", text.Bytes())
}

// A message reports that fields are invalid: Unmarshal returns the first such error.
type refusing struct{}

func (refusing) Fields(v *Visitor) {
	v.Fail(3, "is no version")
	v.Fail(4, "is no name")
}

func TestGoldenFail(t *testing.T) {
	qt.Assert(t, Unmarshal(nil, refusing{}), qt.ErrorMatches, "field 3 is no version")
}
