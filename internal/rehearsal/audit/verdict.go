package audit

import "time"

// Second is what happened in one second. Requests count in the second in which callers first wanted them.
type Second struct {
	Offered  int
	Served   int  // within the latency target
	Late     int  // served after it
	Rejected int  // with no better answer to a later attempt
	Failed   int  // likewise
	Attempts int  // at all tiers, in the second in which they came
	Doubtful bool // the emulator was late
}

// TraceLine is one thing that happened to a request.
type TraceLine struct {
	At   time.Duration
	Text string
}

// Trace is what happened to one request, calls of its servers included.
type Trace struct {
	Origin int // the arrival
	At     time.Duration
	Reason string // why it is among the worst
	Lines  []TraceLine
}

// Verdict is what came of a rehearsal.
type Verdict struct {
	VoidReason     string // why it says nothing of the sidecar; empty if it does
	Breaches       []Breach
	BreachesByRule [ruleCount]int
	Excused        int // breaches in a time in which the emulator was late
	Crashes        []string

	Service         float64 // value answered within the latency target over value asked for, from 0 to 1
	WorstService    float64 // the same in the worst 10 s
	WorstFrom       time.Duration
	Requests        int
	InTime          int
	Late            int
	Rejected        int
	Failed          int
	CallerAttempts  int     // by callers from outside
	ServerAttempts  int     // at servers of all tiers
	AttemptsPerCall float64 // attempts at servers for each request that a sidecar got
	WastedShare     float64 // work that no answer came of, over all work
	P50, P99        time.Duration
	MaxLateness     time.Duration // of the emulator

	Seconds          []Second
	AttemptsByServer [][]int // attempts by server and second
	Traces           []Trace // of the requests that went worst
}
