package report

import (
	"html/template"
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"quincegap/internal/rehearsal/audit"
)

// series is one line of a chart, with a value for each second.
type series struct {
	name  string
	color color.RGBA
	dash  bool // whether the line is dashed
	value func(s audit.Second) float64
}

// callerSeries are the lines for offered requests and for their results.
var callerSeries = []series{
	{"offered", grey, true, func(s audit.Second) float64 { return float64(s.Offered) }},
	{"served in time", green, false, func(s audit.Second) float64 { return float64(s.Served) }},
	{"served late", orange, false, func(s audit.Second) float64 { return float64(s.Late) }},
	{"refused", purple, false, func(s audit.Second) float64 { return float64(s.Rejected) }},
	{"failed", red, false, func(s audit.Second) float64 { return float64(s.Failed) }},
}

// attemptSeries is the line for attempts at servers.
var attemptSeries = []series{
	{"attempts at boxes of all tiers", blue, false, func(s audit.Second) float64 { return float64(s.Attempts) }},
}

// secondsChart draws lines with one value per second, and shades the windows of the script's events behind them.
func (r *Run) secondsChart(unit string, lines []series) (template.HTML, error) {
	graph := plot.New()
	graph.X.Label.Text, graph.Y.Label.Text = "seconds", unit
	graph.X.Min, graph.X.Max = 0, r.Plan.Length.Seconds()
	graph.Y.Min = 0
	graph.Legend.Top, graph.Legend.Left = true, true
	graph.Add(plotter.NewGrid())
	graph.Legend.Padding = vg.Points(1.5)
	graph.Legend.TextStyle.Font.Size = vg.Points(9)
	top := 0.0
	var drawn []plot.Plotter
	for _, s := range lines {
		line, highest, err := s.line(r.Verdict.Seconds)
		if err != nil {
			return "", err
		}
		top = max(top, highest)
		drawn = append(drawn, line)
		graph.Legend.Add(s.name, line)
	}
	graph.Y.Max = max(1, top*1.45) // leaves room for the legend above the lines
	if err := r.shadeWindows(graph); err != nil {
		return "", err
	}
	graph.Add(drawn...)
	return renderSVG(graph)
}

// line returns the line of a series and its highest value.
func (s *series) line(seconds []audit.Second) (line *plotter.Line, highest float64, err error) {
	points := make(plotter.XYs, len(seconds))
	for i, second := range seconds {
		points[i].X = float64(i) + 0.5
		points[i].Y = s.value(second)
		highest = max(highest, points[i].Y)
	}
	if line, err = plotter.NewLine(points); err != nil {
		return nil, 0, err
	}
	line.Color = s.color
	line.Width = vg.Points(1.4)
	if s.dash {
		line.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
	}
	return line, highest, nil
}

// shadeWindows shades the windows of the script's events. Overlapping windows are merged, so that their shades do not add up.
func (r *Run) shadeWindows(graph *plot.Plot) error {
	var merged [][2]float64
	for _, window := range r.Plan.Windows { // sorted by start time
		from := window.From.Seconds()
		to := min(max(window.To.Seconds(), from+0.1), graph.X.Max)
		if n := len(merged); n > 0 && from <= merged[n-1][1] {
			merged[n-1][1] = max(merged[n-1][1], to)
		} else if from < to {
			merged = append(merged, [2]float64{from, to})
		}
	}
	for _, window := range merged {
		from, to := window[0], window[1]
		area, err := plotter.NewPolygon(plotter.XYs{{X: from, Y: 0}, {X: to, Y: 0}, {X: to, Y: graph.Y.Max}, {X: from, Y: graph.Y.Max}})
		if err != nil {
			return err
		}
		area.Color = windowShade
		area.Width = 0
		graph.Add(area)
	}
	return nil
}
