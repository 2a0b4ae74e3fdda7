package codec

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"
)

// largeMessage has large content between other fields.
type largeMessage struct {
	Name    string
	Content Buffers
	Nested  bodyMessage
	Count   uint64
	Texts   []string
}

func (l *largeMessage) Fields(v *Visitor) {
	v.String(1, &l.Name)
	v.Buffers(2, &l.Content)
	v.Message(3, &l.Nested)
	v.Uint64(4, &l.Count)
	v.Strings(5, &l.Texts)
}

type bodyMessage struct{ Body []byte }

func (b *bodyMessage) Fields(v *Visitor) { v.Bytes(1, &b.Body) }

// split returns data in parts of size bytes.
func split(data []byte, size int) (parts Buffers) {
	for len(data) > 0 {
		n := min(size, len(data))
		parts = append(parts, data[:n:n])
		data = data[n:]
	}
	return parts
}

func newLargeMessage(contentBytes int) *largeMessage {
	content := bytes.Repeat([]byte("0123456789"), contentBytes/10)
	return &largeMessage{
		Name: "n", Content: split(content, 1000), Nested: bodyMessage{[]byte("nested")}, Count: 1 << 40, Texts: []string{"", "two"},
	}
}

// A large body was held several times in a sidecar: as it was read, in the message, and as it was received. It must stay in its buffers.
func TestLargeContentIsNotCopied(t *testing.T) {
	message := newLargeMessage(100_000)
	encoded := Marshal(message)
	qt.Assert(t, &encoded[1][0], qt.Equals, &message.Content[0][0])
	var got largeMessage
	qt.Assert(t, UnmarshalBuffers(encoded, &got), qt.IsNil)
	qt.Assert(t, &got.Content[0][0], qt.Equals, &message.Content[0][0])
}

func TestBuffersAreEncodedAsBytes(t *testing.T) {
	for _, contentBytes := range []int{0, 10, 20_000} {
		message := newLargeMessage(contentBytes)
		encoded := Marshal(message).Join()
		qt.Assert(t, MarshalAppend([]byte("before"), message), qt.DeepEquals, append([]byte("before"), encoded...))
		for _, size := range []int{1, 7, 19, 21, 1000, 1 << 20} {
			var got largeMessage
			qt.Assert(t, UnmarshalBuffers(split(bytes.Clone(encoded), size), &got), qt.IsNil)
			qt.Assert(t, bytes.Equal(got.Content.Join(), message.Content.Join()), qt.IsTrue)
			got.Content = message.Content
			qt.Assert(t, &got, qt.DeepEquals, message)
		}
	}
}

// Data in parts is rejected exactly where the same data in one part is.
func TestTruncatedBuffers(t *testing.T) {
	encoded := Marshal(newLargeMessage(100)).Join()
	for n := range len(encoded) {
		var whole, parts largeMessage
		wholeErr := Unmarshal(encoded[:n], &whole)
		partsErr := UnmarshalBuffers(split(encoded[:n], 5), &parts)
		qt.Assert(t, partsErr != nil, qt.Equals, wholeErr != nil, qt.Commentf("%d bytes: %v, %v", n, wholeErr, partsErr))
	}
}

func FuzzUnmarshalBuffers(f *testing.F) {
	f.Add(Marshal(newLargeMessage(100)).Join(), 3)
	f.Add([]byte{0x12, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01}, 1)
	f.Fuzz(func(t *testing.T, data []byte, size int) {
		var whole, parts largeMessage
		wholeErr := Unmarshal(data, &whole)
		partsErr := UnmarshalBuffers(split(data, max(size, 1)), &parts)
		if wholeErr == nil && partsErr == nil && !bytes.Equal(Marshal(&whole).Join(), Marshal(&parts).Join()) {
			t.Errorf("%x is read differently in parts of %d bytes", data, size)
		}
	})
}

func TestAppendCopyMovesNoByte(t *testing.T) {
	var buffers Buffers
	data := bytes.Repeat([]byte("x"), 5000)
	buffers = buffers.AppendCopy(data)
	first := &buffers[0][0]
	for range 100 {
		buffers = buffers.AppendCopy(data)
	}
	qt.Assert(t, buffers.Len(), qt.Equals, 101*5000)
	qt.Assert(t, &buffers[0][0], qt.Equals, first)
	spare := 0
	for _, part := range buffers {
		spare += cap(part) - len(part)
	}
	qt.Assert(t, spare < MaxBufferBytes, qt.IsTrue)
}
