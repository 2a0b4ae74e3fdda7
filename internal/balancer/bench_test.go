package balancer

import (
	"fmt"
	"strconv"
	"testing"
	"time"
)

// discardHost is a Host that records only the endpoint of the last attempt, or 0 after a rejection.
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

// BenchmarkDecision measures the handling of a request and its outcome, by the number of endpoints. A thousand requests arrive per
// second, with a tick every 5 ms.
func BenchmarkDecision(b *testing.B) {
	for _, endpoints := range []int{10, 100, 1000, 10000} {
		b.Run(fmt.Sprint(endpoints), func(b *testing.B) { benchmarkDecision(b, endpoints) })
	}
}

func benchmarkDecision(b *testing.B, endpoints int) {
	b.Helper()
	host := &discardHost{}
	balancer, err := New(settings(), 7, host)
	if err != nil {
		b.Fatal(err)
	}
	list := EndpointList{Kind: ListFull, Version: 1}
	for i := 1; i <= endpoints; i++ {
		list.Entries = append(list.Entries, ListEntry{Endpoint: EndpointID(i), Cell: i / 2, Weight: 1})
	}
	now := time.Second
	balancer.HandleEndpoints(now, list)
	b.ReportAllocs()
	sent := 0
	for i := 0; b.Loop(); i++ {
		id := RequestID(strconv.Itoa(i))
		host.to = 0
		balancer.HandleRequest(now, Request{ID: id, Class: read, TimeLeft: time.Second})
		if host.to != 0 {
			sent++
			balancer.HandleOutcome(now+20*ms, Outcome{ID: id, Endpoint: host.to, Final: true, Elapsed: 20 * ms})
		}
		if now += ms; i%5 == 0 {
			balancer.HandleTimer(now, timerTick)
		}
	}
	if sent*10 < b.N*9 {
		b.Errorf("%d of %d requests were sent, want at least nine in ten", sent, b.N)
	}
}

// benchEndpoints is the number of endpoints in BenchmarkList.
const benchEndpoints = 10000

func benchEntry(id, startedAt int) ListEntry {
	return ListEntry{Endpoint: EndpointID(id), Cell: id / 2, Weight: 1, StartedAt: time.Duration(startedAt)}
}

// benchFullList returns a full list of benchEndpoints consecutive IDs, beginning with from.
func benchFullList(from int) EndpointList {
	list := EndpointList{Kind: ListFull}
	for i := range benchEndpoints {
		list.Entries = append(list.Entries, benchEntry(from+i, 0))
	}
	return list
}

// benchState returns the i-th update of a sequence: each even one sets the state of an endpoint, and the next sets it to ready again.
func benchState(i int, state EndpointState) EndpointList {
	entry := benchEntry(1+i/2*7919%benchEndpoints, 0)
	entry.State = []EndpointState{state, EndpointReady}[i%2]
	return EndpointList{Entries: []ListEntry{entry}}
}

// benchRestarts returns the i-th update of a sequence, each of which lists a thousand endpoints that have restarted.
func benchRestarts(i int) (list EndpointList) {
	for k := range 1000 {
		list.Entries = append(list.Entries, benchEntry(1+(i*1000+k)%benchEndpoints, i+1))
	}
	return list
}

// BenchmarkList measures updates of a list with 10,000 endpoints, for a single instance and for one of 200 instances: a change of one
// entry, a change of 1,000, the same full list again, and a full list that replaces all endpoints.
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
	config := settings()
	config.Instances = instances
	balancer, err := New(config, 7, &discardHost{})
	if err != nil {
		b.Fatal(err)
	}
	balancer.HandleEndpoints(0, benchFullList(1))
	full := [2]EndpointList{update(0), update(1)} // created once, as that takes long
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		list := full[i%2]
		if list.Kind != ListFull {
			list = update(i)
		}
		balancer.HandleEndpoints(time.Minute, list)
	}
}
