// Package codec writes the messages between processes of the mesh in the wire format of protocol buffers.
//
// A message names its fields once, in its method Fields, for marshalling and unmarshalling alike:
//
//	func (g *Greeting) Fields(v *codec.Visitor) {
//		v.String(1, &g.Name)
//		v.Uint64(2, &g.Count)
//	}
//
// Field numbers never change their meaning, and are not used again. A field with its zero value is not written, and one that is missing
// keeps the value that it had. Fields that a reader does not know are ignored, so that two versions can talk.
//
// The forms of fields on the wire are those of the protocol buffers types uint64 (Uint64, Bool), sint64 (Int64, Int, Duration), fixed64
// (Fixed64), double (Float64), bytes and string (Bytes, String, Strings, Message, Messages, List). Packed lists, groups, maps and
// fixed32 are not written; a reader ignores them.
package codec
