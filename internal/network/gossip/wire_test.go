package gossip

import (
	"bytes"
	"reflect"
	"strings"
	"testing"

	"google.golang.org/protobuf/encoding/protowire"
	"pgregory.net/rapid"

	"quincegap/internal/modules/peers"
)

// Decoding an encoded envelope that is within the bounds returns an equal envelope.
func TestEnvelopeRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringN(0, 30, maxTextBytes)
		e := envelope{
			format: format, application: text.Draw(t, "application"), witness: text.Draw(t, "witness"),
			query: rapid.Uint64().Draw(t, "ask"), answer: rapid.Uint64().Draw(t, "answer"),
		}
		for range rapid.IntRange(0, 4).Draw(t, "records") {
			e.records = append(e.records, peers.Record{
				Process: rapid.Uint64Min(1).Draw(t, "process"), Name: rapid.StringN(1, 30, maxTextBytes).Draw(t, "name"),
				BornMillis: rapid.Int64().Draw(t, "born"), Zone: text.Draw(t, "zone"), Version: text.Draw(t, "version"),
				Incarnation: rapid.Uint64().Draw(t, "incarnation"), State: peers.State(rapid.IntRange(1, 5).Draw(t, "state")),
			})
		}
		if r := rapid.SliceOfN(rapid.Byte(), 0, 50).Draw(t, "report"); len(r) > 0 {
			e.report = r
		}
		got, err := decode(e.encode())
		if err != nil || !reflect.DeepEqual(*got, e) {
			t.Fatalf("encoded %+v, decoded %+v, error %v", e, got, err)
		}
	})
}

// A message that exceeds a bound, is truncated or is not an envelope is rejected; unknown fields are skipped.
func TestMalformedEnvelopes(t *testing.T) {
	good := envelope{application: "a", records: []peers.Record{{Process: 1, Name: "n", State: peers.Serving}}}
	for name, b := range map[string][]byte{
		"nothing":         nil,
		"half":            good.encode()[:len(good.encode())-1],
		"no format":       appendText(nil, 2, "a"),
		"a long name":     (&envelope{records: []peers.Record{{Process: 1, Name: strings.Repeat("x", maxTextBytes+1)}}}).encode(),
		"no process":      (&envelope{records: []peers.Record{{Name: "n"}}}).encode(),
		"a long witness":  (&envelope{witness: strings.Repeat("x", maxTextBytes+1)}).encode(),
		"a large report":  (&envelope{report: make([]byte, maxReportBytes+1)}).encode(),
		"too many":        (&envelope{records: make([]peers.Record, maxRecords+1)}).encode(),
		"no message":      bytes.Repeat([]byte{0xff}, 40),
		"a group's start": protowire.AppendTag(nil, 9, protowire.StartGroupType),
	} {
		if e, err := decode(b); err == nil {
			t.Errorf("%s: decode returned %+v, want an error", name, e)
		}
	}
	later := protowire.AppendVarint(protowire.AppendTag(good.encode(), 15, protowire.VarintType), 7)
	if e, err := decode(later); err != nil || len(e.records) != 1 {
		t.Errorf("decode with an unknown field returned %+v, %v; want one record and no error", e, err)
	}
}

// Whatever the input is, an envelope of the current format that decode returns is decoded equally after it has been encoded again.
func FuzzDecode(f *testing.F) {
	e := envelope{
		application: "a", witness: "w", query: 3, report: []byte("{}"),
		records: []peers.Record{{Process: 1, Name: "n", State: peers.Serving}},
	}
	f.Add(e.encode())
	f.Add([]byte{0x08, 0x01})
	f.Fuzz(func(t *testing.T, b []byte) {
		e, err := decode(b)
		if err != nil {
			return
		}
		again, err := decode(e.encode())
		if e.format == format && (err != nil || !reflect.DeepEqual(e.records, again.records)) {
			t.Errorf("decoded %+v, after encoding it again %+v, error %v", e, again, err)
		}
	})
}
