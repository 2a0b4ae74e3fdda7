package balancer

import (
	"fmt"
	"strconv"
	"testing"
	"time"
)

// mute is a host that notes the last send alone.
type mute struct{ to EndpointID }

func (m *mute) Send(_ RequestID, to EndpointID, _ time.Duration) { m.to = to }
func (m *mute) Reject(RequestID, time.Duration)                  { m.to = 0 }
func (m *mute) Fail(RequestID)                                   {}
func (m *mute) Cancel(RequestID, int)                            {}
func (m *mute) SetTimer(uint64, time.Duration)                   {}
func (m *mute) HealthCheck(EndpointID)                           {}
func (m *mute) SendToPeer(int, []byte)                           {}
func (m *mute) WatchEndpoints(bool)                              {}
func (m *mute) FetchEndpoints()                                  {}
func (m *mute) CloseIdleConnections(EndpointID)                  {}
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
			l := EndpointList{Kind: ListFull, Version: 1}
			for i := 1; i <= n; i++ {
				l.Entries = append(l.Entries, ListEntry{Endpoint: EndpointID(i), Cell: i / 2, Weight: 1})
			}
			now := time.Second
			x.HandleEndpoints(now, l)
			b.ReportAllocs()
			sent := 0
			for i := 0; b.Loop(); i++ {
				id := RequestID(strconv.Itoa(i))
				host.to = 0
				x.HandleRequest(now, Request{ID: id, Class: read, TimeLeft: time.Second})
				if host.to != 0 {
					sent++
					x.HandleOutcome(now+20*ms, Outcome{ID: id, Endpoint: host.to, Final: true, Elapsed: 20 * ms})
				}
				if now += ms; i%5 == 0 {
					x.HandleTimer(now, timerTick)
				}
			}
			if sent*10 < b.N*9 {
				b.Errorf("%d of %d were sent", sent, b.N)
			}
		})
	}
}

// BenchmarkList is what news of the list costs: a change of one entry of 10,000, of 1,000, the same whole list again,
// and one that replaces all; as the only instance, and as one of 200.
func BenchmarkList(b *testing.B) {
	const n = 10000
	entry := func(id, start int) ListEntry {
		return ListEntry{Endpoint: EndpointID(id), Cell: id / 2, Weight: 1, StartedAt: time.Duration(start)}
	}
	whole := func(from int) (l EndpointList) {
		l.Kind = ListFull
		for i := range n {
			l.Entries = append(l.Entries, entry(from+i, 0))
		}
		return l
	}
	for _, instances := range []int{1, 200} {
		for _, c := range []struct {
			name string
			news func(i int) EndpointList
		}{
			{"1 drains", func(i int) EndpointList {
				e := entry(1+i/2*7919%n, 0)
				e.State = []EndpointState{EndpointDraining, EndpointReady}[i%2]
				return EndpointList{Entries: []ListEntry{e}}
			}},
			{"1 goes and comes", func(i int) EndpointList {
				e := entry(1+i/2*7919%n, 0)
				e.State = []EndpointState{EndpointRemoved, EndpointReady}[i%2]
				return EndpointList{Entries: []ListEntry{e}}
			}},
			{"1000 restart", func(i int) (l EndpointList) {
				for k := range 1000 {
					l.Entries = append(l.Entries, entry(1+(i*1000+k)%n, i+1))
				}
				return l
			}},
			{"whole, the same", func(int) EndpointList { return whole(1) }},
			{"whole, all others", func(i int) EndpointList { return whole(1 + i%2*n) }},
		} {
			b.Run(fmt.Sprintf("%d/%s", instances, c.name), func(b *testing.B) {
				set := settings()
				set.Instances = instances
				x, err := New(set, 7, &mute{})
				if err != nil {
					b.Fatal(err)
				}
				x.HandleEndpoints(0, whole(1))
				wholes := [2]EndpointList{c.news(0), c.news(1)} // they take long to make
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					l := wholes[i%2]
					if l.Kind != ListFull {
						l = c.news(i)
					}
					x.HandleEndpoints(time.Minute, l)
				}
			})
		}
	}
}
