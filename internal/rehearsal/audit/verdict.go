package audit

import "time"

// Second holds the counts of one second. A request counts in the second of its arrival.
type Second struct {
	Offered  int
	Served   int  // requests answered within the latency target
	Late     int  // requests answered after the latency target
	Rejected int  // requests whose best answer over all attempts was a rejection
	Failed   int  // requests whose best answer was another error, or that got no answer
	Attempts int  // attempts that servers of all tiers received in this second
	Doubtful bool // whether the emulator was late in this second
}

// TraceLine is one step in the trace of a request.
type TraceLine struct {
	At   time.Duration
	Text string
}

// Trace is the history of one arrival, including the calls that servers made for it.
type Trace struct {
	Origin int // index of the arrival
	At     time.Duration
	Reason string // reason why it is among the worst requests
	Lines  []TraceLine
}

// Verdict is the result of a rehearsal.
type Verdict struct {
	VoidReason     string // reason why the run says nothing about the sidecars; empty for a valid run
	Breaches       []Breach
	BreachesByRule [ruleCount]int
	Excused        int // number of breaches ignored because the emulator was late
	Crashes        []string

	Service         float64 // share of the value of all requests that was answered within the latency target, from 0 to 1
	WorstService    float64 // lowest Service within any 10 s, which start at WorstFrom
	WorstFrom       time.Duration
	Requests        int
	InTime          int
	Late            int
	Rejected        int
	Failed          int
	CallerAttempts  int     // attempts by external callers
	ServerAttempts  int     // attempts that servers of all tiers received
	AttemptsPerCall float64 // ServerAttempts per request that a sidecar received
	WastedShare     float64 // share of all work from which no successful answer came
	P50, P99        time.Duration
	MaxLateness     time.Duration // highest lateness of the emulator

	Seconds          []Second
	AttemptsByServer [][]int // ServerAttempts by server and second
	Traces           []Trace // traces of the worst requests
}
