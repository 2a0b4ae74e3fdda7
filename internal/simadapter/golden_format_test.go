package simadapter

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/golden"
)

// writeActions calls each action of the Host of an instance, in the order of the golden files. It sends peerData to peer 1, and empty
// data to emptyPeer.
func writeActions(inst *instance, peerData string, emptyPeer int, logText string) {
	inst.Send("t/a", 77, 1500*time.Microsecond)
	inst.Reject("t/a", 2*time.Second)
	inst.Fail("t/a")
	inst.Cancel("t/a", 2)
	inst.SetTimer(9, 4*time.Millisecond)
	inst.HealthCheck(77)
	inst.SendToPeer(1, []byte(peerData))
	inst.SendToPeer(emptyPeer, nil)
	inst.WatchEndpoints(true)
	inst.WatchEndpoints(false)
	inst.FetchEndpoints()
	inst.CloseIdleConnections(77)
	inst.Log(logText)
}

// The lines of all actions, and of the crash of an instance, are the same in every version.
func TestActionLinesKeepTheirForm(t *testing.T) {
	var out, notes bytes.Buffer
	s := newServer(strings.NewReader(""), &out, &notes)
	inst := &instance{server: s, number: 3}
	writeActions(inst, "hi 7", 1, "a line of text")
	inst.balancer = &balancer.Balancer{}
	inst.deliver(func(*balancer.Balancer) { panic("lost\ncount") })
	if err := s.out.Flush(); err != nil {
		t.Fatal(err)
	}
	golden.Text(t, "actions.txt", out.Bytes())
}

// The numbers of statuses, endpoint states and list kinds have the same meaning in every version.
func TestCodesKeepTheirMeaning(t *testing.T) {
	var text strings.Builder
	s := newServer(strings.NewReader(""), &text, &text)
	fieldsOf := func(code int) *lineFields {
		return &lineFields{server: s, name: "line", rest: fmt.Append(nil, code), hasMore: true}
	}
	for code := range 400 {
		if f := fieldsOf(code); f.status() != balancer.StatusError || f.err == nil {
			fmt.Fprintf(&text, "ending %d is status %d\n", code, fieldsOf(code).status())
		}
	}
	for code := range 10 {
		if f := fieldsOf(code); f.state() >= 0 && f.err == nil {
			fmt.Fprintf(&text, "mode %d is state %d\n", code, fieldsOf(code).state())
		}
	}
	for code, kind := range listKinds {
		fmt.Fprintf(&text, "kind %d is list kind %d\n", code, kind)
	}
	golden.Text(t, "codes.txt", []byte(text.String()))
}
