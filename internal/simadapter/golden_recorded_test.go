package simadapter

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/golden"
)

// The files below testdata/golden/recorded were written by the version before the packages were renamed.

// Each action has the line that the earlier version wrote.
func TestGoldenRecordedActions(t *testing.T) {
	var out bytes.Buffer
	s := newServer(strings.NewReader(""), &out, &out)
	writeActions(&instance{server: s, number: 3}, "hi\x007", 2, "a note")
	if err := s.out.Flush(); err != nil {
		t.Fatal(err)
	}
	golden.Text(t, "recorded/actions.txt", out.Bytes())
}

// An input with every kind of event gets the replies of the earlier version, as the seed is the same.
func TestGoldenRecordedPlay(t *testing.T) {
	input, err := os.ReadFile(filepath.Join("testdata", "golden", "recorded/play.in"))
	if err != nil {
		t.Fatal(err)
	}
	for _, event := range []string{
		"begin_batch", "over_to_you", "new_instance", "ledger", "item", "targets", "knock", "begun",
		"closed_attempt", "lapsed", "wake", "echo", "inbox", "halt",
	} {
		if !strings.Contains("\n"+string(input), "\n"+event) {
			t.Errorf("no %s in the input", event)
		}
	}
	out, notes, fault := run(t, string(input))
	if notes != "" || fault != "" {
		t.Errorf("notes %q, fault %q", notes, fault)
	}
	golden.Text(t, "recorded/play.out", []byte(out))
}

// eventFields returns the fields of an event with some values.
func eventFields(values string) *lineFields {
	f := &lineFields{server: newServer(strings.NewReader(""), nil, nil), rest: []byte("event " + values), hasMore: true}
	f.name = string(f.next())
	return f
}

// The values of the fields have the meaning that they had in the earlier version.
func TestGoldenRecordedFields(t *testing.T) {
	for code, want := range map[string]balancer.Status{
		"100": balancer.StatusOK,
		"301": balancer.StatusError,
		"302": balancer.StatusRejected,
		"303": balancer.StatusTimeout,
		"304": balancer.StatusConnectFailed,
		"305": balancer.StatusReset,
		"306": balancer.StatusCancelled,
		"307": balancer.StatusNotSent,
	} {
		if f := eventFields(code); f.status() != want || f.err != nil {
			t.Errorf("status %s: not %v, %v", code, want, f.err)
		}
	}
	for code, want := range map[string]balancer.EndpointState{
		"0": balancer.EndpointDraining,
		"1": balancer.EndpointRemoved,
		"2": balancer.EndpointReady,
	} {
		if f := eventFields(code); f.state() != want || f.err != nil {
			t.Errorf("state %s: not %v, %v", code, want, f.err)
		}
	}
	wantKinds := []balancer.ListKind{balancer.ListDelta, balancer.ListFull, balancer.ListCached, balancer.ListFailed}
	if !reflect.DeepEqual(listKinds, wantKinds) {
		t.Errorf("kinds of lists: %v", listKinds)
	}
	wantLoad := &balancer.Load{InFlight: 3, Queue: 1, Utilization: 0.5, ServiceTime: 12500 * time.Microsecond}
	if f := eventFields("inflight:3,queue:1,util:0.5,latency_ms:12.5"); !reflect.DeepEqual(f.load(), wantLoad) || f.err != nil {
		t.Errorf("a load report: %v", f.err)
	}
	checkRecordedList(t)
}

// checkRecordedList reads the definition of a list and an update that refers to it.
func checkRecordedList(t *testing.T) {
	t.Helper()
	s := newServer(strings.NewReader("item 77 1 2 3 2 1.5 900000\nitem 78 0 0 0 0 1 -\n"), nil, nil)
	if err := s.readList(eventFields("4 2")); err != nil {
		t.Fatal(err)
	}
	want := balancer.EndpointList{Kind: balancer.ListFull, Version: 41, Entries: []balancer.ListEntry{
		{
			Endpoint: 77, Zone: 1, MachineKind: 2, Cell: 3,
			State: balancer.EndpointReady, Weight: 1.5, StartedAt: 900 * time.Millisecond,
		},
		{Endpoint: 78, State: balancer.EndpointDraining, Weight: 1},
	}}
	if got := s.endpointList(eventFields("1 4 41")); !reflect.DeepEqual(got, want) {
		t.Errorf("a list: %+v, want %+v", got, want)
	}
}
