package emulator

import (
	"time"
)

// LoadReport is the load of a server at the end of a period of Spec.ReportEvery.
type LoadReport struct {
	InFlight    int     // jobs held
	Queued      int     // of these, waiting for a slot
	Utilization float64 // share of the cores that was busy since the report before
}

// timedReport is a report with the time at which it was made.
type timedReport struct {
	at time.Duration
	LoadReport
}

// advanceReports advances the work to a time before which nothing changes by itself, and makes the reports that are due.
func (s *Server) advanceReports(to time.Duration) {
	for s.spec.ReportEvery > 0 && s.nextReport <= to {
		s.advanceWork(s.nextReport)
		period := s.spec.ReportEvery.Seconds() * float64(s.spec.Cores)
		s.reports = append(s.reports, timedReport{s.now, LoadReport{s.Jobs(), s.queuedJobs, min(1, s.workedSinceReport/period)}})
		s.workedSinceReport = 0
		s.nextReport += s.spec.ReportEvery
		for len(s.reports) > 1 && s.reports[1].at+s.spec.ReportDelay <= s.now {
			s.reports = s.reports[1:]
		}
	}
	s.advanceWork(to)
}

// LoadReport returns the newest report that can be seen; false if there is none.
func (s *Server) LoadReport() (LoadReport, bool) {
	for i := len(s.reports) - 1; i >= 0; i-- {
		if s.reports[i].at+s.spec.ReportDelay <= s.now {
			return s.reports[i].LoadReport, true
		}
	}
	return LoadReport{}, false
}
