package gingerlead

import (
	"fmt"
	"strconv"
	"testing"
	"time"
)

// mute is a host that notes the last send alone.
type mute struct{ to EndpointID }

func (m *mute) Send(_ RequestID, to EndpointID, _ time.Duration) { m.to = to }
func (m *mute) Refuse(RequestID, time.Duration)                  { m.to = 0 }
func (m *mute) Fail(RequestID)                                   {}
func (m *mute) Cancel(RequestID, int)                            {}
func (m *mute) SetTimer(uint64, time.Duration)                   {}
func (m *mute) Probe(EndpointID)                                 {}
func (m *mute) Tell(int, []byte)                                 {}
func (m *mute) Watch(bool)                                       {}
func (m *mute) Fetch()                                           {}
func (m *mute) CloseIdle(EndpointID)                             {}
func (m *mute) Log(string)                                       {}

// BenchmarkDecision is a request with its outcome, a thousand a second, and the tick every 5 ms, by the number of
// endpoints in the list.
func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			set := settings()
			host := &mute{}
			x, err := New(set, 7, host)
			if err != nil {
				b.Fatal(err)
			}
			l := List{Kind: Whole, Version: 1}
			for i := 1; i <= n; i++ {
				l.Entries = append(l.Entries, Entry{Endpoint: EndpointID(i), Cell: i / 2, Weight: 1})
			}
			now := time.Second
			x.Targets(now, l)
			b.ReportAllocs()
			sent := 0
			for i := 0; b.Loop(); i++ {
				id := RequestID(strconv.Itoa(i))
				host.to = 0
				x.Request(now, Request{ID: id, Class: read, Left: time.Second})
				if host.to != 0 {
					sent++
					x.Outcome(now+20*ms, Outcome{ID: id, Endpoint: host.to, Final: true, Elapsed: 20 * ms})
				}
				if now += ms; i%5 == 0 {
					x.Timer(now, tokenTick)
				}
			}
			if sent*10 < b.N*9 {
				b.Errorf("%d of %d were sent", sent, b.N)
			}
		})
	}
}
