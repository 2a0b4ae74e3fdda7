package idempotency

import (
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"quincegap/internal/golden"
)

// Entries and their ids are on disk: each version has to find and read what others have written.
func TestGoldenEntry(t *testing.T) {
	e := Entry{Class: "book", Origin: Origin{Zone: "north", Cell: -3, Endpoint: "box-1"}, Served: true, Retention: 95 * time.Second}
	golden.Hex(t, "entry.hex", e.Encode())
	got, err := Decode(golden.Read(t, "entry.hex"), time.Hour, 20*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	want := e
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

// The tool prints entries as JSON: the names in it are data.
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
	for _, c := range []struct {
		file string
		id   ID
	}{
		{"id-keyed.hex", KeyedID("book", "3f9c")},
		{"id-request.hex", RequestID("pay", "r-17")},
		{"id-empty.hex", KeyedID("", "")},
	} {
		golden.Hex(t, c.file, c.id[:])
		if got := ID(golden.Read(t, c.file)); got != c.id {
			t.Errorf("%s: %x, want %x", c.file, got, c.id)
		}
	}
}
