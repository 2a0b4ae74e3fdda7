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

// The files in testdata/golden/recorded were written by an earlier version, before the packages were renamed.

// The line of each action is the one that the earlier version wrote.
func TestGoldenRecordedActions(t *testing.T) {
	var out bytes.Buffer
	s := newServer(strings.NewReader(""), &out, &out)
	writeActions(&instance{server: s, number: 3}, "hi\x007", 2, "a note")
	if err := s.out.Flush(); err != nil {
		t.Fatal(err)
	}
	golden.Text(t, "recorded/actions.txt", out.Bytes())
}

// For an input with every kind of event, the replies are those of the earlier version. The input sets the seed of the random choices.
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
			t.Errorf("play.in has no %s event", event)
		}
	}
	out, notes, errText := run(t, string(input))
	if notes != "" || errText != "" {
		t.Errorf("replay of play.in: got notes %q and error %q, want none", notes, errText)
	}
	golden.Text(t, "recorded/play.out", []byte(out))
}

// eventFields returns the fields of an event that has the given values.
func eventFields(values string) *lineFields {
	f := &lineFields{server: newServer(strings.NewReader(""), nil, nil), rest: []byte("event " + values), hasMore: true}
	f.name = string(f.next())
	return f
}

// The values of fields are decoded as by the earlier version.
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
			t.Errorf("status code %s: not decoded as status %v (error %v)", code, want, f.err)
		}
	}
	for code, want := range map[string]balancer.EndpointState{
		"0": balancer.EndpointDraining,
		"1": balancer.EndpointRemoved,
		"2": balancer.EndpointReady,
	} {
		if f := eventFields(code); f.state() != want || f.err != nil {
			t.Errorf("state code %s: not decoded as state %v (error %v)", code, want, f.err)
		}
	}
	wantKinds := []balancer.ListKind{balancer.ListDelta, balancer.ListFull, balancer.ListCached, balancer.ListFailed}
	if !reflect.DeepEqual(listKinds, wantKinds) {
		t.Errorf("list kinds: got %v, want %v", listKinds, wantKinds)
	}
	wantLoad := &balancer.Load{InFlight: 3, Queue: 1, Utilization: 0.5, ServiceTime: 12500 * time.Microsecond}
	if f := eventFields("inflight:3,queue:1,util:0.5,latency_ms:12.5"); !reflect.DeepEqual(f.load(), wantLoad) || f.err != nil {
		t.Errorf("load report: not decoded as %+v (error %v)", *wantLoad, f.err)
	}
	checkRecordedList(t)
}

// checkRecordedList checks how the definition of a list, and an update that refers to the list, are decoded.
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
		t.Errorf("endpoint list: got %+v, want %+v", got, want)
	}
}
