package emulator

import (
	"time"
)

// LoadReport is the load of a server at the end of an interval of Spec.ReportEvery.
type LoadReport struct {
	InFlight    int     // number of jobs in slots and in the queue
	Queued      int     // number of jobs that wait for a slot
	Utilization float64 // share of the cores that was busy since the previous report, from 0 to 1
}

// timedReport is a load report with the time at which it was generated.
type timedReport struct {
	at time.Duration
	LoadReport
}

// advanceReports advances the work to a time, and generates the reports that are due by then. No job may finish and no congestion may
// change before that time.
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

// LoadReport returns the latest report that is at least Spec.ReportDelay old, or false if there is none.
func (s *Server) LoadReport() (LoadReport, bool) {
	for i := len(s.reports) - 1; i >= 0; i-- {
		if s.reports[i].at+s.spec.ReportDelay <= s.now {
			return s.reports[i].LoadReport, true
		}
	}
	return LoadReport{}, false
}
