package emulator

import (
	"errors"
	"math"
	"time"
)

// Spec is the specification of a server. Work is measured in the time that one core of speed 1 needs for it.
type Spec struct {
	Cores int     // 1 or more
	Speed float64 // of a core; above 0
	Slots int     // jobs in work or waiting for others at once; they share the cores. 1 or more
	Queue int     // jobs that wait for a slot; further ones are rejected. 0 or more

	// Thrash is the share of its speed that a server loses for each ThrashAt jobs that it holds beyond the first
	// ThrashAt, down to a quarter of it. 0 for none.
	Thrash   float64
	ThrashAt int

	// A server that starts has ColdShare of its capacity (above 0, to 1), which rises evenly to all of it within WarmUp.
	ColdShare float64
	WarmUp    time.Duration
	// While it warms up, more than OverloadFactor times its capacity, sent to it within OverloadWindow, makes it collapse
	// for good. 0 for never.
	OverloadFactor float64
	OverloadWindow time.Duration

	CancelStopsWork bool // a cancel stops work in progress, not only waiting work
	DropsExpired    bool // a job whose time is up when it would get a slot is dropped

	Congestion *Congestion // nil for never

	ReportEvery time.Duration // of load reports; 0 for none
	ReportDelay time.Duration // age from which on a report can be seen

	Connections   int           // how many it accepts at a time; 0 for no bound
	HandshakeWork time.Duration // work of a new connection
}

// Congestion is how a server turns slow when it holds too many jobs for too long, and recovers.
type Congestion struct {
	MinJobs             int           // that it holds at least
	After               time.Duration // for which it must hold them without a break
	SlowdownFactor      float64       // divides its speed while it is congested
	RecoveryUtilization float64       // share of its cores; it recovers while fewer are busy
	RecoveryTime        time.Duration // for which that must last
	MaxDuration         time.Duration // of the congestion, recovered or not
}

// Validate returns why a Spec is impossible, with the key of scripts that it comes from; nil if it is possible.
func (s *Spec) Validate() error {
	for _, rule := range []struct {
		violation string
		holds     bool
	}{
		{"cores: below 1", s.Cores >= 1},
		{"speed: not above 0", s.Speed > 0 && !math.IsInf(s.Speed, 0)},
		{"slots: below 1", s.Slots >= 1},
		{"queue: below 0", s.Queue >= 0},
		{"cold: not above 0 and at most 1", s.ColdShare > 0 && s.ColdShare <= 1},
		{"warm: below 0", s.WarmUp >= 0},
		{"thrash: not from 0 to 1", s.Thrash >= 0 && s.Thrash <= 1},
		{"thrash_at: below 1", s.Thrash == 0 || s.ThrashAt >= 1},
		{"tip_window: not above 0", s.OverloadFactor == 0 || s.OverloadFactor > 0 && s.OverloadWindow > 0},
		{"choke: slower: below 1", s.Congestion == nil || s.Congestion.SlowdownFactor >= 1},
	} {
		if !rule.holds {
			return errors.New(rule.violation)
		}
	}
	return nil
}
