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

// writeActions writes a line of each action of a Host for instance 3, in an order that the golden files have. One message goes to
// peer 1 with data, and one to emptyPeer without.
func writeActions(in *instance, peerData string, emptyPeer int, logText string) {
	in.Send("t/a", 77, 1500*time.Microsecond)
	in.Reject("t/a", 2*time.Second)
	in.Fail("t/a")
	in.Cancel("t/a", 2)
	in.SetTimer(9, 4*time.Millisecond)
	in.HealthCheck(77)
	in.SendToPeer(1, []byte(peerData))
	in.SendToPeer(emptyPeer, nil)
	in.WatchEndpoints(true)
	in.WatchEndpoints(false)
	in.FetchEndpoints()
	in.CloseIdleConnections(77)
	in.Log(logText)
}

// Each action, and the crash of an instance, has the same line in every version.
func TestActionLinesKeepTheirForm(t *testing.T) {
	var out, notes bytes.Buffer
	s := newServer(strings.NewReader(""), &out, &notes)
	in := &instance{server: s, number: 3}
	writeActions(in, "hi 7", 1, "a line of text")
	in.balancer = &balancer.Balancer{}
	in.guard(func(*balancer.Balancer) { panic("lost\ncount") })
	if err := s.out.Flush(); err != nil {
		t.Fatal(err)
	}
	golden.Text(t, "actions.txt", out.Bytes())
}

// The numbers of statuses, states and kinds of lists have the same meaning in every version.
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
