package settings

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"quincegap/internal/balancer"
)

// maxLoadFigure is more than any figure of a load report can be.
const maxLoadFigure = 1e9

// ParseLoad reads a load report, pairs of a name of feedback.fields and a figure, divided by commas. The
// sockets and the simulator's wire differ in what stands between the two.
func ParseLoad(text, between string) (*balancer.Load, error) {
	l := &balancer.Load{InFlight: -1, Queue: -1, Utilization: -1, ServiceTime: -1}
	for pair := range strings.SplitSeq(text, ",") {
		name, figure, ok := strings.Cut(strings.TrimSpace(pair), between)
		v, err := strconv.ParseFloat(figure, 64)
		if !ok || err != nil || !(v >= 0 && v <= maxLoadFigure) {
			return nil, fmt.Errorf("%q is not a load report", text)
		}
		switch name {
		case "inflight":
			l.InFlight = v
		case "queue":
			l.Queue = v
		case "util":
			l.Utilization = v
		case "latency_ms":
			l.ServiceTime = time.Duration(v * float64(time.Millisecond))
		}
	}
	return l, nil
}
