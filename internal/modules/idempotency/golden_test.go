package idempotency

import (
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"quincegap/internal/golden"
)

// Entries and their ids are stored on disk: each version has to find and read the entries that other versions have written.
func TestGoldenEntry(t *testing.T) {
	entry := Entry{Class: "book", Origin: Origin{Zone: "north", Cell: -3, Endpoint: "box-1"}, Served: true, Retention: 95 * time.Second}
	golden.Hex(t, "entry.hex", entry.Encode())
	got, err := Decode(golden.Read(t, "entry.hex"), time.Hour, 20*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	want := entry
	want.SentAt = time.Hour - 75*time.Second
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}

	small := Entry{Class: "read", Retention: time.Millisecond}
	golden.Hex(t, "entry-small.hex", small.Encode())
	got, err = Decode(golden.Read(t, "entry-small.hex"), 0, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, small) {
		t.Errorf("got %+v, want %+v", got, small)
	}
}

// `store dump` prints entries as JSON, so the names in it must not change.
func TestGoldenJSON(t *testing.T) {
	entry := Entry{
		Class: "book", Origin: Origin{Zone: "north", Cell: 3, Endpoint: "box-1"}, SentAt: time.Hour, Retention: 95 * time.Second,
		Served: true,
	}
	text, err := json.Marshal(&entry)
	if err != nil {
		t.Fatal(err)
	}
	golden.Text(t, "entry.json", append(text, '\n'))
	var got Entry
	if err := json.Unmarshal(text, &got); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, entry) {
		t.Errorf("got %+v, want %+v", got, entry)
	}
}

func TestGoldenIDs(t *testing.T) {
	for _, test := range []struct {
		file string
		id   ID
	}{
		{"id-keyed.hex", KeyedID("book", "3f9c")},
		{"id-request.hex", RequestID("pay", "r-17")},
		{"id-empty.hex", KeyedID("", "")},
	} {
		golden.Hex(t, test.file, test.id[:])
		if got := ID(golden.Read(t, test.file)); got != test.id {
			t.Errorf("golden file %s holds the id %x, want %x", test.file, got, test.id)
		}
	}
}
