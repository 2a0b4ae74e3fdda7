package gossip

import (
	"errors"
	"math"

	"google.golang.org/protobuf/encoding/protowire"

	"quincegap/internal/modules/peers"
)

// An envelope is what members send one another, in the wire format of Protocol Buffers (protobuf.dev, Encoding):
//
//	message Envelope {
//	  uint32 format = 1;          // always 1; a message in another format is rejected
//	  string application = 2;     // application name; a message of another application is rejected
//	  repeated Record records = 3;
//	  string witness = 4;         // the sender's name; in a query its node name
//	  fixed64 query = 5;          // token of a query for the receiver's report
//	  fixed64 answer = 6;         // token of the query that the report answers
//	  bytes report = 7;           // the sender's report, as JSON
//	}
//	message Record {
//	  fixed64 process = 1; string name = 2; sint64 born = 3; string zone = 4;
//	  string version = 5; uint64 incarnation = 6; uint32 state = 7;
//	}
//
// Unknown fields are skipped, so that a later version may add fields.
type envelope struct {
	format      uint64
	application string
	records     []peers.Record
	witness     string
	query       uint64 // token of a query; 0 for none
	answer      uint64 // token of the answered query; 0 for none; a message never has both tokens
	report      []byte
}

// The fields of an Envelope.
const (
	fieldFormat      protowire.Number = 1
	fieldApplication protowire.Number = 2
	fieldRecords     protowire.Number = 3
	fieldWitness     protowire.Number = 4
	fieldQuery       protowire.Number = 5
	fieldAnswer      protowire.Number = 6
	fieldReport      protowire.Number = 7
)

// The fields of a Record.
const (
	fieldProcess     protowire.Number = 1
	fieldName        protowire.Number = 2
	fieldBorn        protowire.Number = 3
	fieldZone        protowire.Number = 4
	fieldVersion     protowire.Number = 5
	fieldIncarnation protowire.Number = 6
	fieldState       protowire.Number = 7
)

// format is the version of the message format.
const format = 1

// Bounds on the variable parts of a message.
const (
	maxTextBytes   = 128       // length of a name, a zone or a version, in bytes
	maxRecords     = 4096      // number of records in one envelope
	maxReportBytes = 512 << 10 // length of a report as JSON, in bytes
)

var errMalformed = errors.New("is no message of a member, or a spoilt one")

// encode encodes the envelope in the current format, whatever e.format is.
func (e *envelope) encode() []byte {
	b := protowire.AppendTag(nil, fieldFormat, protowire.VarintType)
	b = protowire.AppendVarint(b, format)
	b = appendText(b, fieldApplication, e.application)
	for i := range e.records {
		b = protowire.AppendTag(b, fieldRecords, protowire.BytesType)
		b = protowire.AppendBytes(b, encodeRecord(&e.records[i]))
	}
	b = appendText(b, fieldWitness, e.witness)
	b = appendToken(b, fieldQuery, e.query)
	b = appendToken(b, fieldAnswer, e.answer)
	return appendText(b, fieldReport, string(e.report))
}

// encodeRecord encodes one record, without its length.
func encodeRecord(r *peers.Record) []byte {
	b := protowire.AppendTag(nil, fieldProcess, protowire.Fixed64Type)
	b = protowire.AppendFixed64(b, r.Process)
	b = appendText(b, fieldName, r.Name)
	b = protowire.AppendTag(b, fieldBorn, protowire.VarintType)
	b = protowire.AppendVarint(b, protowire.EncodeZigZag(r.BornMillis))
	b = appendText(b, fieldZone, r.Zone)
	b = appendText(b, fieldVersion, r.Version)
	b = protowire.AppendTag(b, fieldIncarnation, protowire.VarintType)
	b = protowire.AppendVarint(b, r.Incarnation)
	b = protowire.AppendTag(b, fieldState, protowire.VarintType)
	return protowire.AppendVarint(b, uint64(r.State))
}

// appendToken appends a field with a token, unless it is 0, which stands for none.
func appendToken(b []byte, n protowire.Number, token uint64) []byte {
	if token == 0 {
		return b
	}
	b = protowire.AppendTag(b, n, protowire.Fixed64Type)
	return protowire.AppendFixed64(b, token)
}

// appendText appends a field with a text, unless it is empty.
func appendText(b []byte, n protowire.Number, s string) []byte {
	if s == "" {
		return b
	}
	return protowire.AppendString(protowire.AppendTag(b, n, protowire.BytesType), s)
}

// forEachField calls visit for each field of a message until visit returns false. number is set for varint and fixed64 fields, text for
// length-delimited ones. It reports whether the whole message was read.
func forEachField(b []byte, visit func(n protowire.Number, number uint64, text []byte) bool) bool {
	for len(b) > 0 {
		n, kind, size := protowire.ConsumeTag(b)
		if size < 0 {
			return false
		}
		b = b[size:]
		var number uint64
		var text []byte
		switch kind {
		case protowire.VarintType:
			number, size = protowire.ConsumeVarint(b)
		case protowire.Fixed64Type:
			number, size = protowire.ConsumeFixed64(b)
		case protowire.BytesType:
			text, size = protowire.ConsumeBytes(b)
		default:
			size = protowire.ConsumeFieldValue(n, kind, b)
		}
		if size < 0 || !visit(n, number, text) {
			return false
		}
		b = b[size:]
	}
	return true
}

// decode decodes an envelope; its values are copies of those in b. It returns errMalformed for a message that is malformed, exceeds a
// bound or has no format.
func decode(b []byte) (*envelope, error) {
	e := &envelope{}
	ok := forEachField(b, func(n protowire.Number, number uint64, text []byte) bool {
		switch n {
		case fieldFormat:
			e.format = number
		case fieldApplication:
			e.application = string(text)
			return len(text) <= maxTextBytes
		case fieldRecords:
			r, ok := decodeRecord(text)
			e.records = append(e.records, r)
			return ok && len(e.records) <= maxRecords
		case fieldWitness:
			e.witness = string(text)
			return len(text) <= maxTextBytes
		case fieldQuery:
			e.query = number
		case fieldAnswer:
			e.answer = number
		case fieldReport:
			e.report = append([]byte(nil), text...)
			return len(text) <= maxReportBytes
		}
		return true
	})
	if !ok || e.format == 0 {
		return nil, errMalformed
	}
	return e, nil
}

// decodeRecord decodes one record. ok is false if the record is malformed, exceeds a bound, or has no process or no name.
func decodeRecord(b []byte) (r peers.Record, ok bool) {
	ok = forEachField(b, func(n protowire.Number, number uint64, text []byte) bool {
		switch n {
		case fieldProcess:
			r.Process = number
		case fieldName:
			r.Name = string(text)
		case fieldBorn:
			r.BornMillis = protowire.DecodeZigZag(number)
		case fieldZone:
			r.Zone = string(text)
		case fieldVersion:
			r.Version = string(text)
		case fieldIncarnation:
			r.Incarnation = number
		case fieldState:
			r.State = peers.State(min(number, math.MaxUint8))
		}
		return len(text) <= maxTextBytes
	})
	return r, ok && r.Process != 0 && r.Name != ""
}
