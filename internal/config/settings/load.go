package settings

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"quincegap/internal/balancer"
)

// The names of figures in a load report. Others are ignored.
const (
	loadInFlight    = "inflight"
	loadQueue       = "queue"
	loadUtilization = "util"
	loadLatency     = "latency_ms"
)

const (
	// maxLoadFigure is more than any figure of a load report can be.
	maxLoadFigure = 1e9
	// loadUnknown is the value of a figure that a report does not have.
	loadUnknown = -1
)

// ParseLoad reads a load report: pairs of a name of feedback.fields and a number, separated by commas, with separator between name and
// number ("=" in headers of HTTP, ":" on the simulator's wire). Figures that it does not have are -1.
func ParseLoad(text, separator string) (*balancer.Load, error) {
	load := &balancer.Load{InFlight: loadUnknown, Queue: loadUnknown, Utilization: loadUnknown, ServiceTime: loadUnknown}
	for pair := range strings.SplitSeq(text, ",") {
		name, number, ok := strings.Cut(strings.TrimSpace(pair), separator)
		figure, err := strconv.ParseFloat(number, 64)
		if !ok || err != nil || !(figure >= 0 && figure <= maxLoadFigure) { // not a number fails both comparisons
			return nil, fmt.Errorf("%q is not a load report", text)
		}
		switch name {
		case loadInFlight:
			load.InFlight = figure
		case loadQueue:
			load.Queue = figure
		case loadUtilization:
			load.Utilization = figure
		case loadLatency:
			load.ServiceTime = time.Duration(figure * float64(time.Millisecond))
		}
	}
	return load, nil
}
