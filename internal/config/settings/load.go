package settings

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"quincegap/internal/balancer"
)

// The names of the figures in a load report. Figures with other names are ignored.
const (
	loadInFlight    = "inflight"
	loadQueue       = "queue"
	loadUtilization = "util"
	loadLatency     = "latency_ms"
)

const (
	// maxLoadFigure is the largest value that a figure of a load report may have.
	maxLoadFigure = 1e9
	// loadUnknown is the value of a figure that a report does not contain.
	loadUnknown = -1
)

// ParseLoad parses a load report: comma-separated pairs of a name of feedback.fields and a number, with separator between name and number
// ("=" in HTTP headers, ":" in the simulator's protocol). Figures that the report does not contain are -1. It fails if a pair has no
// separator, or no number from 0 to maxLoadFigure.
func ParseLoad(text, separator string) (*balancer.Load, error) {
	load := &balancer.Load{InFlight: loadUnknown, Queue: loadUnknown, Utilization: loadUnknown, ServiceTime: loadUnknown}
	for pair := range strings.SplitSeq(text, ",") {
		name, number, ok := strings.Cut(strings.TrimSpace(pair), separator)
		figure, err := strconv.ParseFloat(number, 64)
		if !ok || err != nil || !(figure >= 0 && figure <= maxLoadFigure) { // both comparisons are false for NaN
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
