package emulator

import (
	"errors"
	"math"
	"time"
)

// Spec is the specification of a server. Work is measured as the time that one core of speed 1 needs for it.
type Spec struct {
	Cores int     // number of cores; 1 or more
	Speed float64 // speed of a core; above 0
	Slots int     // maximum number of jobs in work or waiting for calls at once, which share the cores; 1 or more
	Queue int     // maximum number of jobs that wait for a slot; others are rejected; 0 or more

	// Thrash is the share of its speed that the server loses for every ThrashAt jobs that it holds above the first ThrashAt. The speed
	// doesn't fall below a quarter. 0 for no loss.
	Thrash   float64
	ThrashAt int

	// ColdShare is the share of its capacity that a server has when it starts, above 0 and at most 1. The capacity rises linearly to
	// the full one within WarmUp.
	ColdShare float64
	WarmUp    time.Duration
	// OverloadFactor is the multiple of its current capacity that makes a server collapse permanently if more work is sent to it
	// within OverloadWindow while it warms up. 0 for never.
	OverloadFactor float64
	OverloadWindow time.Duration

	CancelStopsWork bool // whether a cancel also stops work in progress, not only waiting jobs
	DropsExpired    bool // whether a job that has expired when it would get a slot is dropped

	Congestion *Congestion // congestion under too many jobs; nil for none

	ReportEvery time.Duration // interval of load reports; 0 for none
	ReportDelay time.Duration // age at which a report becomes visible

	Connections   int           // maximum number of open connections; 0 for no limit
	HandshakeWork time.Duration // work of a new connection
}

// Congestion specifies how a server becomes slow when it holds too many jobs for too long, and how it recovers.
type Congestion struct {
	MinJobs             int           // number of jobs from which on the server counts as crowded
	After               time.Duration // time without interruption after which a crowded server becomes congested
	SlowdownFactor      float64       // divisor of the speed while the server is congested
	RecoveryUtilization float64       // share of busy cores below which the server recovers
	RecoveryTime        time.Duration // time without interruption for which it must be below RecoveryUtilization
	MaxDuration         time.Duration // maximum duration of a congestion, after which it ends in any case
}

// Validate returns an error for the first invalid field, named by its key in scripts, or nil if the Spec is valid.
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
