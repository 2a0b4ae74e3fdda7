package gossip

import (
	"reflect"
	"testing"

	"quincegap/internal/golden"
	"quincegap/internal/modules/peers"
)

// The encoding of the messages between members does not change. A message contains a query or an answer to one, never both.
func TestGoldenEnvelopes(t *testing.T) {
	records := []peers.Record{
		{
			Process: 0x0102030405060708, Name: "front-0", BornMillis: 1_800_000_000_123,
			Zone: "zone-a", Version: "1.4.2", Incarnation: 9, State: peers.Serving,
		},
		{Process: 2, Name: "front-1", BornMillis: -5, State: peers.Joining},
		{Process: 3, Name: "front-2", BornMillis: 6, Zone: "zone-b", Version: "1.4.1", Incarnation: 1, State: peers.Suspect},
		{Process: 4, Name: "front-3", BornMillis: 7, Incarnation: 2, State: peers.Leaving},
		{Process: 5, Name: "front-4", BornMillis: 8, Incarnation: 300, State: peers.Gone},
	}
	for name, want := range map[string]envelope{
		"envelope-records.hex": {format: format, application: "booking-front.example.org", records: records, witness: "front-0"},
		"envelope-ask.hex":     {format: format, application: "booking-front.example.org", witness: "front-0", query: 0x1112131415161718},
		"envelope-answer.hex": {
			format: format, application: "booking-front.example.org", answer: 0x1112131415161718, report: []byte(`{"name":"front-0"}`),
		},
	} {
		t.Run(name, func(t *testing.T) {
			golden.Hex(t, name, want.encode())
			got, err := decode(golden.Read(t, name))
			if err != nil || !reflect.DeepEqual(*got, want) {
				t.Errorf("golden file decoded as %+v, error %v; want %+v", got, err, want)
			}
		})
	}
	if format != 1 || maxTextBytes != 128 || maxRecords != 4096 || maxReportBytes != 512<<10 {
		t.Errorf("format %d, maxTextBytes %d, maxRecords %d, maxReportBytes %d; want 1, 128, 4096, 524288",
			format, maxTextBytes, maxRecords, maxReportBytes)
	}
}
