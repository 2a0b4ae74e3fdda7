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

// Each action of a Host, as the simulator is sent it.
func TestGoldenRecordedActions(t *testing.T) {
	var out bytes.Buffer
	s := newServer(strings.NewReader(""), &out, &out)
	in := &instance{server: s, number: 3}
	in.Send("t/a", 77, 1500*time.Microsecond)
	in.Reject("t/a", 2*time.Second)
	in.Fail("t/a")
	in.Cancel("t/a", 2)
	in.SetTimer(9, 4*time.Millisecond)
	in.HealthCheck(77)
	in.SendToPeer(1, []byte("hi\x007"))
	in.SendToPeer(2, nil)
	in.WatchEndpoints(true)
	in.WatchEndpoints(false)
	in.FetchEndpoints()
	in.CloseIdleConnections(77)
	in.Log("a note")
	if err := s.out.Flush(); err != nil {
		t.Fatal(err)
	}
	golden.Text(t, "recorded/actions.txt", out.Bytes())
}

// A play with every event, and the replies to it: what is read is seen in what is decided, with the same seed each time.
func TestGoldenRecordedPlay(t *testing.T) {
	play, err := os.ReadFile(filepath.Join("testdata", "golden", "recorded/play.in"))
	if err != nil {
		t.Fatal(err)
	}
	for _, event := range []string{
		"begin_batch", "over_to_you", "new_instance", "ledger", "item", "targets", "knock", "begun",
		"closed_attempt", "lapsed", "wake", "echo", "inbox", "halt",
	} {
		if !strings.Contains("\n"+string(play), "\n"+event) {
			t.Errorf("no %s in the play", event)
		}
	}
	out, notes, fault := run(t, string(play))
	if notes != "" || fault != "" {
		t.Errorf("notes %q, fault %q", notes, fault)
	}
	golden.Text(t, "recorded/play.out", []byte(out))
}

// The numbers and words in the events' fields.
func TestGoldenRecordedFields(t *testing.T) {
	read := func(text string) *lineFields {
		f := &lineFields{server: newServer(strings.NewReader(""), nil, nil), rest: []byte("event " + text), hasMore: true}
		f.name = string(f.next())
		return f
	}
	for text, want := range map[string]balancer.Status{
		"100": balancer.StatusOK, "301": balancer.StatusError, "302": balancer.StatusRejected, "303": balancer.StatusTimeout,
		"304": balancer.StatusConnectFailed, "305": balancer.StatusReset, "306": balancer.StatusCancelled, "307": balancer.StatusNotSent,
	} {
		if f := read(text); f.status() != want || f.err != nil {
			t.Errorf("status %s: not %v, %v", text, want, f.err)
		}
	}
	for text, want := range map[string]balancer.EndpointState{"2": balancer.EndpointReady, "0": balancer.EndpointDraining, "1": balancer.EndpointRemoved} {
		if f := read(text); f.state() != want || f.err != nil {
			t.Errorf("state %s: not %v, %v", text, want, f.err)
		}
	}
	if want := []balancer.ListKind{balancer.ListDelta, balancer.ListFull, balancer.ListCached, balancer.ListFailed}; !reflect.DeepEqual(listKinds, want) {
		t.Errorf("kinds of lists: %v", listKinds)
	}
	want := &balancer.Load{InFlight: 3, Queue: 1, Utilization: 0.5, ServiceTime: 12500 * time.Microsecond}
	if f := read("inflight:3,queue:1,util:0.5,latency_ms:12.5"); !reflect.DeepEqual(f.load(), want) || f.err != nil {
		t.Errorf("a load report: %v", f.err)
	}

	s := newServer(strings.NewReader("item 77 1 2 3 2 1.5 900000\nitem 78 0 0 0 0 1 -\n"), nil, nil)
	if err := s.readList(read("4 2")); err != nil {
		t.Fatal(err)
	}
	entries := []balancer.ListEntry{
		{Endpoint: 77, Zone: 1, MachineKind: 2, Cell: 3, State: balancer.EndpointReady, Weight: 1.5, StartedAt: 900 * time.Millisecond},
		{Endpoint: 78, State: balancer.EndpointDraining, Weight: 1},
	}
	if got := s.endpointList(read("1 4 41")); !reflect.DeepEqual(got, balancer.EndpointList{Kind: balancer.ListFull, Version: 41, Entries: entries}) {
		t.Errorf("a list: %+v", got)
	}
}
