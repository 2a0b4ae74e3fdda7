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

// Every action of a Balancer has a line of its own form.
func TestActionLinesKeepTheirForm(t *testing.T) {
	var out, notes bytes.Buffer
	s := newServer(strings.NewReader(""), &out, &notes)
	i := &instance{server: s, number: 3}
	i.Send("t/a", 77, 1500*time.Microsecond)
	i.Reject("t/a", 2*time.Second)
	i.Fail("t/a")
	i.Cancel("t/a", 2)
	i.SetTimer(9, 4*time.Millisecond)
	i.HealthCheck(77)
	i.SendToPeer(1, []byte("hi 7"))
	i.SendToPeer(1, nil)
	i.WatchEndpoints(true)
	i.WatchEndpoints(false)
	i.FetchEndpoints()
	i.CloseIdleConnections(77)
	i.Log("a line of text")
	i.balancer = &balancer.Balancer{}
	i.guard(func(*balancer.Balancer) { panic("lost\ncount") })
	if err := s.out.Flush(); err != nil {
		t.Fatal(err)
	}
	golden.Text(t, "actions.txt", out.Bytes())
}

// The numbers of outcomes, states and kinds of lists mean what they always did.
func TestCodesKeepTheirMeaning(t *testing.T) {
	var text strings.Builder
	s := newServer(strings.NewReader(""), &text, &text)
	read := func(code int) *lineFields {
		return &lineFields{server: s, name: "line", rest: fmt.Append(nil, code), hasMore: true}
	}
	for code := range 400 {
		if f := read(code); f.status() != balancer.StatusError || f.err == nil {
			fmt.Fprintf(&text, "ending %d is status %d\n", code, read(code).status())
		}
	}
	for code := range 10 {
		if f := read(code); f.state() >= 0 && f.err == nil {
			fmt.Fprintf(&text, "mode %d is state %d\n", code, read(code).state())
		}
	}
	for code, kind := range listKinds {
		fmt.Fprintf(&text, "kind %d is list kind %d\n", code, kind)
	}
	golden.Text(t, "codes.txt", []byte(text.String()))
}
