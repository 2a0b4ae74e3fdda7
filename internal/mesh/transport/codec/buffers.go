package codec

import (
	"errors"
	"io"

	"google.golang.org/protobuf/encoding/protowire"
)

const (
	// MaxBufferBytes is the size of the largest buffer that AppendCopy allocates, and the recommended size for the buffers of large content.
	MaxBufferBytes = 64 << 10
	// minBufferBytes is the size of the smallest buffer that AppendCopy allocates for content of several parts.
	minBufferBytes = 16 << 10
	// maxInlineBytes is the size of the largest content that Marshal copies. Larger content is passed on as the buffers that hold it.
	maxInlineBytes = 16 << 10
	// maxFieldHeadBytes is the size of the longest tag, followed by the longest length or number.
	maxFieldHeadBytes = 20
)

// errTruncated is returned for a field that extends beyond the end of its message.
var errTruncated = errors.New("unexpected end of the message")

// Buffers is a sequence of bytes that is held in parts. Large content is passed on as Buffers so that it is held once: it is neither copied
// into messages, nor moved while it grows. The bytes must not be modified once they are shared.
type Buffers [][]byte

// BuffersOf returns buffers that hold data, without copying it; nil if data is empty.
func BuffersOf(data []byte) Buffers {
	if len(data) == 0 {
		return nil
	}
	return Buffers{data}
}

// Len returns the number of bytes.
func (b Buffers) Len() (n int) {
	for _, part := range b {
		n += len(part)
	}
	return n
}

// Join returns the bytes in one part. It copies them only if there are several parts.
func (b Buffers) Join() []byte {
	switch len(b) {
	case 0:
		return nil
	case 1:
		return b[0]
	}
	joined := make([]byte, 0, b.Len())
	for _, part := range b {
		joined = append(joined, part...)
	}
	return joined
}

// AppendCopy returns the buffers with a copy of data at their end. The copy goes to the spare capacity of the last buffer and then to new
// buffers, whose sizes grow with the content up to MaxBufferBytes, so that no byte is moved again.
func (b Buffers) AppendCopy(data []byte) Buffers {
	for len(data) > 0 {
		b = b.Grow()
		last := &b[len(b)-1]
		n := min(len(data), cap(*last)-len(*last))
		*last = append(*last, data[:n]...)
		data = data[n:]
	}
	return b
}

// Grow returns the buffers with spare capacity in the last one. It adds a buffer if there is none.
func (b Buffers) Grow() Buffers {
	if n := len(b); n > 0 && cap(b[n-1]) > len(b[n-1]) {
		return b
	}
	size := minBufferBytes
	if len(b) > 0 {
		size = min(max(2*cap(b[len(b)-1]), minBufferBytes), MaxBufferBytes)
	}
	return append(b, make([]byte, 0, size))
}

// ReadAll reads all bytes of a reader. The first buffer has firstBytes of capacity. ReadAll calls reserve with the number of bytes of each
// read, and fails with the error that reserve returns.
func ReadAll(reader io.Reader, firstBytes int, reserve func(n int) error) (Buffers, error) {
	read := Buffers{make([]byte, 0, firstBytes)}
	for {
		read = read.Grow()
		last := &read[len(read)-1]
		n, err := reader.Read((*last)[len(*last):cap(*last)])
		*last = (*last)[:len(*last)+n]
		if n > 0 {
			if err := reserve(n); err != nil {
				return nil, err
			}
		}
		if errors.Is(err, io.EOF) {
			return read.withoutEmpty(), nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// withoutEmpty returns the buffers without the last one if that is empty; nil if there is no other.
func (b Buffers) withoutEmpty() Buffers {
	last := len(b) - 1
	if len(b[last]) > 0 {
		return b
	}
	if last == 0 {
		return nil
	}
	return b[:last]
}

// Marshal returns the encoding of a message. Large content of fields of type Buffers is not copied: the encoding shares its buffers.
func Marshal(message Message) Buffers {
	visitor := Visitor{}
	message.Fields(&visitor)
	if len(visitor.encoded) == 0 {
		return visitor.shared
	}
	return append(visitor.shared, visitor.encoded)
}

// UnmarshalBuffers is Unmarshal for data in parts. Fields of type Buffers share the parts of data, and other fields that extend over
// several parts are copied.
func UnmarshalBuffers(data Buffers, message Message) error {
	if len(data) <= 1 {
		return Unmarshal(data.Join(), message)
	}
	visitor := Visitor{reading: true}
	reader := buffersReader{rest: data, length: data.Len()}
	for reader.length > 0 {
		field, content, err := reader.field()
		if err != nil {
			return fieldError(field.num, data.Len()-reader.length, err)
		}
		visitor.addField(field, content)
	}
	message.Fields(&visitor)
	return visitor.err
}

// Buffers visits a byte slice (bytes) whose content may be large. When read, the buffers are parts of the data that is unmarshalled, and
// when written, they become parts of the encoding if the content is large.
func (v *Visitor) Buffers(num protowire.Number, x *Buffers) {
	if v.reading {
		if f := v.lastField(num, protowire.BytesType); f != nil {
			*x = v.buffers(f)
		}
		return
	}
	n := x.Len()
	if n == 0 {
		return
	}
	v.encoded = protowire.AppendVarint(protowire.AppendTag(v.encoded, num, protowire.BytesType), uint64(n))
	if n <= maxInlineBytes {
		for _, part := range *x {
			v.encoded = append(v.encoded, part...)
		}
		return
	}
	v.shared = append(append(v.shared, v.encoded), *x...)
	v.encoded = nil
}

// buffersReader reads the fields of a message from data in parts.
type buffersReader struct {
	current []byte  // what has not been read yet of the current part
	rest    Buffers // the parts after the current one
	length  int     // number of bytes in current and rest
}

// field reads the next field, and the content of a length-delimited one. After an error, the field's number is set if it was read.
func (r *buffersReader) field() (field rawField, content Buffers, err error) {
	head := r.peek(maxFieldHeadBytes)
	num, typ, n := protowire.ConsumeTag(head)
	if n < 0 {
		return rawField{}, nil, protowire.ParseError(n)
	}
	field = rawField{num: num, typ: typ}
	if typ != protowire.BytesType {
		size := field.parseValue(head[n:])
		if size < 0 {
			return field, nil, protowire.ParseError(size)
		}
		r.take(n + size)
		return field, nil, nil
	}
	length, size := protowire.ConsumeVarint(head[n:])
	if size < 0 {
		return field, nil, protowire.ParseError(size)
	}
	if length > uint64(r.length-n-size) {
		return field, nil, errTruncated
	}
	r.take(n + size)
	return field, r.take(int(length)), nil
}

// peek returns the next n bytes, or all if there are fewer, without reading them.
func (r *buffersReader) peek(n int) []byte {
	if len(r.current) >= n {
		return r.current[:n]
	}
	copied := append(make([]byte, 0, n), r.current...)
	for _, part := range r.rest {
		if len(copied) == n {
			break
		}
		copied = append(copied, part[:min(len(part), n-len(copied))]...)
	}
	return copied
}

// take reads the next n bytes, of which there must be as many.
func (r *buffersReader) take(n int) (taken Buffers) {
	r.length -= n
	for n > 0 {
		if len(r.current) == 0 {
			r.current = r.rest[0]
			r.rest = r.rest[1:]
			continue
		}
		size := min(len(r.current), n)
		taken = append(taken, r.current[:size:size])
		r.current = r.current[size:]
		n -= size
	}
	return taken
}
