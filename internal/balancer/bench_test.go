package balancer

import (
	"fmt"
	"strconv"
	"testing"
	"time"
)

// discardHost is a host that notes the last send alone.
type discardHost struct{ to EndpointID }

func (d *discardHost) Send(_ RequestID, to EndpointID, _ time.Duration) { d.to = to }

func (d *discardHost) Reject(RequestID, time.Duration) { d.to = 0 }

func (d *discardHost) Fail(RequestID) {}

func (d *discardHost) Cancel(RequestID, int) {}

func (d *discardHost) SetTimer(uint64, time.Duration) {}

func (d *discardHost) HealthCheck(EndpointID) {}

func (d *discardHost) SendToPeer(int, []byte) {}

func (d *discardHost) WatchEndpoints(bool) {}

func (d *discardHost) FetchEndpoints() {}

func (d *discardHost) CloseIdleConnections(EndpointID) {}

func (d *discardHost) Log(string) {}

// BenchmarkDecision is a request with its outcome, a thousand a second, and the tick every 5 ms, by the number of
// endpoints in the list.
func BenchmarkDecision(b *testing.B) {
	for _, endpoints := range []int{10, 100, 1000, 10000} {
		b.Run(fmt.Sprint(endpoints), func(b *testing.B) { benchmarkDecision(b, endpoints) })
	}
}

func benchmarkDecision(b *testing.B, endpoints int) {
	b.Helper()
	host := &discardHost{}
	x, err := New(settings(), 7, host)
	if err != nil {
		b.Fatal(err)
	}
	l := EndpointList{Kind: ListFull, Version: 1}
	for i := 1; i <= endpoints; i++ {
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
}

// benchEndpoints is how many endpoints BenchmarkList lists.
const benchEndpoints = 10000

func benchEntry(id, startedAt int) ListEntry {
	return ListEntry{Endpoint: EndpointID(id), Cell: id / 2, Weight: 1, StartedAt: time.Duration(startedAt)}
}

// benchFullList is a full list of the ids from one on.
func benchFullList(from int) EndpointList {
	l := EndpointList{Kind: ListFull}
	for i := range benchEndpoints {
		l.Entries = append(l.Entries, benchEntry(from+i, 0))
	}
	return l
}

// benchState is an update that turns an endpoint to a state, and by the next call back to ready.
func benchState(i int, state EndpointState) EndpointList {
	e := benchEntry(1+i/2*7919%benchEndpoints, 0)
	e.State = []EndpointState{state, EndpointReady}[i%2]
	return EndpointList{Entries: []ListEntry{e}}
}

// benchRestarts is an update in which a thousand endpoints have restarted.
func benchRestarts(i int) (l EndpointList) {
	for k := range 1000 {
		l.Entries = append(l.Entries, benchEntry(1+(i*1000+k)%benchEndpoints, i+1))
	}
	return l
}

// BenchmarkList is what an update of the list costs: a change of one entry of 10,000, of 1,000, the same full list again,
// and one that replaces all; as the only instance, and as one of 200.
func BenchmarkList(b *testing.B) {
	for _, instances := range []int{1, 200} {
		for _, c := range []struct {
			name   string
			update func(i int) EndpointList
		}{
			{"1 drains", func(i int) EndpointList { return benchState(i, EndpointDraining) }},
			{"1 goes and comes", func(i int) EndpointList { return benchState(i, EndpointRemoved) }},
			{"1000 restart", benchRestarts},
			{"whole, the same", func(int) EndpointList { return benchFullList(1) }},
			{"whole, all others", func(i int) EndpointList { return benchFullList(1 + i%2*benchEndpoints) }},
		} {
			b.Run(fmt.Sprintf("%d/%s", instances, c.name), func(b *testing.B) { benchmarkList(b, instances, c.update) })
		}
	}
}

func benchmarkList(b *testing.B, instances int, update func(i int) EndpointList) {
	b.Helper()
	set := settings()
	set.Instances = instances
	x, err := New(set, 7, &discardHost{})
	if err != nil {
		b.Fatal(err)
	}
	x.HandleEndpoints(0, benchFullList(1))
	full := [2]EndpointList{update(0), update(1)} // they take long to make
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		l := full[i%2]
		if l.Kind != ListFull {
			l = update(i)
		}
		x.HandleEndpoints(time.Minute, l)
	}
}
