// Package codec marshals and unmarshals the messages between processes of the mesh, in the wire format of protocol buffers.
//
// A message lists its fields once, in its method Fields, for marshalling and unmarshalling alike:
//
//	func (g *Greeting) Fields(v *codec.Visitor) {
//		v.String(1, &g.Name)
//		v.Uint64(2, &g.Count)
//	}
//
// A field number never changes its meaning, and is not reused after its field was removed. A field that has its zero value is not written.
// When a message is read, a field that is missing in the data keeps its previous value, and unknown fields are ignored, so that two
// versions of a program can communicate.
//
// Fields are encoded as the protocol buffers types uint64 (Uint64, Bool), sint64 (Int64, Int, Duration), fixed64 (Fixed64), double
// (Float64), bytes and string (Bytes, Buffers, String, Strings, Message, Messages, List). Packed lists, groups, maps and fixed32 are never written;
// unknown fields of these types are ignored.
package codec
