package scenario

import (
	"slices"

	"quincegap/internal/config/finding"
	"quincegap/internal/rehearsal/audit"
)

// Expectation is a bound on a figure of a run, from a line like "expect service above 0.95".
type Expectation struct {
	Position finding.Pos
	Figure   string // service, worst, refused, failed or attempts
	Above    bool   // whether Bound is the minimum, not the maximum
	Bound    float64
}

// figureNames are the figures that an expectation can name.
var figureNames = []string{"service", "worst", "refused", "failed", "attempts"}

// addExpectation adds the expectation of a line like "expect service above 0.95", or a finding if the line is invalid.
func (s *Scenario) addExpectation(line *setting, add finding.Reporter) {
	var what, side string
	if len(line.Values) != 3 || !line.Values[0].readName(&what) || !line.Values[1].readName(&side) || line.Values[2].High != nil {
		add(positionOf(line.Pos), "an expectation is like 'expect service above 0.95'")
		return
	}
	bound, ok := line.Values[2].Low.number()
	switch {
	case !slices.Contains(figureNames, what):
		add(positionOf(line.Values[0].Pos), "%s", finding.UnknownName("figure", what, figureNames))
	case side != "above" && side != "below":
		add(positionOf(line.Values[1].Pos), "%q: above or below", side)
	case !ok:
		add(positionOf(line.Values[2].Pos), "a number is expected here")
	default:
		s.Expectations = append(s.Expectations, Expectation{positionOf(line.Pos), what, side == "above", bound})
	}
}

// Evaluate returns the value of the figure in a run's verdict, and reports whether it meets the bound.
func (e Expectation) Evaluate(v *audit.Verdict) (got float64, met bool) {
	share := func(n int) float64 { return float64(n) / float64(max(1, v.Requests)) }
	switch e.Figure {
	case "service":
		got = v.Service
	case "worst":
		got = v.WorstService
	case "refused":
		got = share(v.Rejected)
	case "failed":
		got = share(v.Failed)
	default:
		got = v.AttemptsPerCall
	}
	return got, e.Above && got >= e.Bound || !e.Above && got <= e.Bound
}
