package endpointsource

import (
	"fmt"
	"testing"
	"time"

	"quincegap/internal/balancer"
)

// BenchmarkPlatform measures the handling of a full list of 10,000 endpoints that is the same as the previous list, and of one in which
// all endpoints differ.
func BenchmarkPlatform(b *testing.B) {
	const n = 10000
	list := func(from int) (l List) {
		l.Kind = balancer.ListFull
		for i := range n {
			l.Endpoints = append(l.Endpoints, Endpoint{
				UID: fmt.Sprintf("s-%08x", from+i), Address: fmt.Sprintf("127.1.%d.%d:80", i/250, i%250),
				Zone: "a", Model: "m", Cell: i / 2, Weight: 1,
			})
		}
		return l
	}
	lists := [2]List{list(0), list(n)}
	for _, mode := range []Mode{ModePlatform, ModeOverlay} {
		for name, others := range map[string]int{"same": 0, "others": 1} {
			b.Run(fmt.Sprintf("%s/%s", mode, name), func(b *testing.B) {
				merger := New(Settings{Mode: mode}, nil, nil)
				merger.HandlePlatformList(0, lists[0])
				b.ReportAllocs()
				for i := 1; b.Loop(); i++ {
					merger.HandlePlatformList(time.Duration(i), lists[i*others%2])
				}
			})
		}
	}
}
