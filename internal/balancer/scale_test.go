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

// BenchmarkList is what news of the list costs: a change of one entry of 10,000, of 1,000, the same whole list again,
// and one that replaces all; as the only instance, and as one of 200.
func BenchmarkList(b *testing.B) {
	const n = 10000
	entry := func(id, start int) Entry {
		return Entry{Endpoint: EndpointID(id), Cell: id / 2, Weight: 1, Started: time.Duration(start)}
	}
	whole := func(from int) (l List) {
		l.Kind = Whole
		for i := range n {
			l.Entries = append(l.Entries, entry(from+i, 0))
		}
		return l
	}
	for _, instances := range []int{1, 200} {
		for _, c := range []struct {
			name string
			news func(i int) List
		}{
			{"1 drains", func(i int) List {
				e := entry(1+i/2*7919%n, 0)
				e.State = []State{Draining, Ready}[i%2]
				return List{Entries: []Entry{e}}
			}},
			{"1 goes and comes", func(i int) List {
				e := entry(1+i/2*7919%n, 0)
				e.State = []State{Gone, Ready}[i%2]
				return List{Entries: []Entry{e}}
			}},
			{"1000 restart", func(i int) (l List) {
				for k := range 1000 {
					l.Entries = append(l.Entries, entry(1+(i*1000+k)%n, i+1))
				}
				return l
			}},
			{"whole, the same", func(int) List { return whole(1) }},
			{"whole, all others", func(i int) List { return whole(1 + i%2*n) }},
		} {
			b.Run(fmt.Sprintf("%d/%s", instances, c.name), func(b *testing.B) {
				set := settings()
				set.Instances = instances
				x, err := New(set, 7, &mute{})
				if err != nil {
					b.Fatal(err)
				}
				x.Targets(0, whole(1))
				wholes := [2]List{c.news(0), c.news(1)} // they take long to make
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					l := wholes[i%2]
					if l.Kind != Whole {
						l = c.news(i)
					}
					x.Targets(time.Minute, l)
				}
			})
		}
	}
}
