package gossip

import (
	"errors"
	"math"

	"google.golang.org/protobuf/encoding/protowire"

	"quincegap/internal/modules/peers"
)

// What members send one another, in the wire format of Protocol Buffers (protobuf.dev, Encoding):
//
//	message Envelope {
//	  uint32 format = 1;          // 1; others are refused
//	  string application = 2;     // another one's are refused
//	  repeated Record records = 3;
//	  string witness = 4;         // who says it
//	  fixed64 ask = 5;            // wants a report, under this number
//	  fixed64 answer = 6;         // has one, under that number
//	  bytes report = 7;           // JSON
//	}
//	message Record {
//	  fixed64 process = 1; string name = 2; sint64 born = 3; string zone = 4;
//	  string version = 5; uint64 incarnation = 6; uint32 state = 7;
//	}
//
// Fields that are not known are passed over, so that a later version may add some.
type envelope struct {
	format        uint64
	application   string
	records       []peers.Record
	witness       string
	query, answer uint64
	report        []byte
}

const (
	format         = 1
	maxTextBytes   = 128       // bytes of a name, a zone, a version
	maxRecords     = 4096      // records in one envelope
	maxReportBytes = 512 << 10 // of a report, and of what is exchanged at once
)

var errMalformed = errors.New("is no message of a member, or a spoilt one")

func (e *envelope) encode() []byte {
	b := protowire.AppendTag(nil, 1, protowire.VarintType)
	b = protowire.AppendVarint(b, format)
	b = appendText(b, 2, e.application)
	for i := range e.records {
		b = protowire.AppendTag(b, 3, protowire.BytesType)
		b = protowire.AppendBytes(b, encodeRecord(&e.records[i]))
	}
	b = appendText(b, 4, e.witness)
	for n, x := range map[protowire.Number]uint64{5: e.query, 6: e.answer} {
		if x != 0 {
			b = protowire.AppendTag(b, n, protowire.Fixed64Type)
			b = protowire.AppendFixed64(b, x)
		}
	}
	return appendText(b, 7, string(e.report))
}

func encodeRecord(r *peers.Record) []byte {
	b := protowire.AppendTag(nil, 1, protowire.Fixed64Type)
	b = protowire.AppendFixed64(b, r.Process)
	b = appendText(b, 2, r.Name)
	b = protowire.AppendTag(b, 3, protowire.VarintType)
	b = protowire.AppendVarint(b, protowire.EncodeZigZag(r.BornMillis))
	b = appendText(b, 4, r.Zone)
	b = appendText(b, 5, r.Version)
	b = protowire.AppendTag(b, 6, protowire.VarintType)
	b = protowire.AppendVarint(b, r.Incarnation)
	b = protowire.AppendTag(b, 7, protowire.VarintType)
	return protowire.AppendVarint(b, uint64(r.State))
}

func appendText(b []byte, n protowire.Number, s string) []byte {
	if s == "" {
		return b
	}
	return protowire.AppendString(protowire.AppendTag(b, n, protowire.BytesType), s)
}

// fields reads a message field by field: number is set for varints and fixed ones, text for bytes.
func fields(b []byte, field func(n protowire.Number, number uint64, text []byte) bool) bool {
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
		if size < 0 || !field(n, number, text) {
			return false
		}
		b = b[size:]
	}
	return true
}

// decode reads an envelope; what it holds is copied.
func decode(b []byte) (*envelope, error) {
	e := &envelope{}
	ok := fields(b, func(n protowire.Number, number uint64, text []byte) bool {
		switch n {
		case 1:
			e.format = number
		case 2:
			e.application = string(text)
			return len(text) <= maxTextBytes
		case 3:
			r, ok := decodeRecord(text)
			e.records = append(e.records, r)
			return ok && len(e.records) <= maxRecords
		case 4:
			e.witness = string(text)
			return len(text) <= maxTextBytes
		case 5:
			e.query = number
		case 6:
			e.answer = number
		case 7:
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

func decodeRecord(b []byte) (r peers.Record, ok bool) {
	ok = fields(b, func(n protowire.Number, number uint64, text []byte) bool {
		switch n {
		case 1:
			r.Process = number
		case 2:
			r.Name = string(text)
		case 3:
			r.BornMillis = protowire.DecodeZigZag(number)
		case 4:
			r.Zone = string(text)
		case 5:
			r.Version = string(text)
		case 6:
			r.Incarnation = number
		case 7:
			r.State = peers.State(min(number, math.MaxUint8))
		}
		return len(text) <= maxTextBytes
	})
	return r, ok && r.Process != 0 && r.Name != ""
}
