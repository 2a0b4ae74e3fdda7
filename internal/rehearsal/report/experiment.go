package report

import (
	"fmt"
	"html/template"
	"image/color"
	"io"
	"path"
	"strings"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"

	"quincegap/internal/rehearsal/experiment"
	"quincegap/internal/rehearsal/morning"
)

// scenarioName is the name of a morning's file.
func scenarioName(m *morning.Scenario) string {
	return strings.TrimSuffix(path.Base(m.Name), ".morning")
}

// columns are the figures of a point, by name.
var columns = []struct {
	name   string
	figure func(p experiment.Point) experiment.Figure
}{
	{"service", func(p experiment.Point) experiment.Figure { return p.Service }},
	{"worst 10 s", func(p experiment.Point) experiment.Figure { return p.WorstService }},
	{"refused", func(p experiment.Point) experiment.Figure { return p.Rejected }},
	{"failed", func(p experiment.Point) experiment.Figure { return p.Failed }},
	{"attempts a call", func(p experiment.Point) experiment.Figure { return p.AttemptsPerCall }},
	{"p99, s", func(p experiment.Point) experiment.Figure { return p.P99 }},
}

// WriteTable writes the points of an experiment, mean and half of the 95% interval.
func WriteTable(w io.Writer, mornings []*morning.Scenario, points []experiment.Point) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%-24s %6s %5s", "morning", "load", "runs")
	for _, c := range columns {
		fmt.Fprintf(&b, " %17s", c.name)
	}
	fmt.Fprintf(&b, " %9s %9s\n", "least", "breaches")
	for _, p := range points {
		fmt.Fprintf(&b, "%-24s %6.3g %5d", scenarioName(mornings[p.Scenario]), p.Load, p.Runs)
		for _, c := range columns {
			f := c.figure(p)
			fmt.Fprintf(&b, "   %7.4f ±%6.4f", f.Mean, f.HalfInterval)
		}
		fmt.Fprintf(&b, " %9.4f %9d\n", p.Service.Min, p.Breaches)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// errorBars are means with their intervals.
type errorBars struct {
	plotter.XYs
	plotter.YErrors
}

// serviceCurve draws the service over the load, a line for each morning.
func serviceCurve(mornings []*morning.Scenario, points []experiment.Point) (template.HTML, error) {
	c := plot.New()
	c.X.Label.Text, c.Y.Label.Text = "load, multiples of the script's rate", "service, mean and 95% interval"
	c.Y.Min, c.Y.Max = 0, 1.02
	c.X.Scale, c.X.Tick.Marker = plot.LogScale{}, plot.TickerFunc(func(low, high float64) (ticks []plot.Tick) {
		for _, p := range points {
			if p.Scenario == points[0].Scenario { // the others have the same loads
				ticks = append(ticks, plot.Tick{Value: p.Load, Label: fmt.Sprintf("%.3g", p.Load)})
			}
		}
		return ticks
	})
	c.Legend.Left = true
	c.Legend.Padding = vg.Points(2)
	c.Add(plotter.NewGrid())
	palette := []color.RGBA{blue, green, orange, red, purple, grey}
	for i, m := range mornings {
		var b errorBars
		for _, p := range points {
			if p.Scenario == i {
				b.XYs = append(b.XYs, plotter.XY{X: p.Load, Y: p.Service.Mean})
				b.YErrors = append(b.YErrors, struct{ Low, High float64 }{p.Service.HalfInterval, p.Service.HalfInterval})
			}
		}
		line, dots, err := plotter.NewLinePoints(b.XYs)
		if err != nil {
			return "", err
		}
		errs, err := plotter.NewYErrorBars(b)
		if err != nil {
			return "", err
		}
		at := palette[i%len(palette)]
		line.Color, dots.Color, errs.Color = at, at, at
		dots.Shape, dots.Radius = draw.CircleGlyph{}, vg.Points(2)
		line.Width = vg.Points(1.3)
		if i >= len(palette) {
			line.Dashes = []vg.Length{vg.Points(4), vg.Points(float64(i / len(palette) * 2))}
		}
		c.Add(line, dots, errs)
		c.Legend.Add(scenarioName(m), line, dots)
	}
	return renderSVG(c)
}

// WriteExperimentPage writes an experiment as one page of HTML.
func WriteExperimentPage(w io.Writer, made time.Time, mornings []*morning.Scenario, points []experiment.Point) error {
	type line struct {
		Name, Load string
		Runs       int
		Cells      []string
		Breaches   int
	}
	var lines []line
	loads := map[float64]bool{}
	for _, p := range points {
		l := line{Name: scenarioName(mornings[p.Scenario]), Load: fmt.Sprintf("%.3g", p.Load), Runs: p.Runs, Breaches: p.Breaches}
		for _, c := range columns {
			f := c.figure(p)
			l.Cells = append(l.Cells, fmt.Sprintf("%.4f ± %.4f", f.Mean, f.HalfInterval))
		}
		l.Cells = append(l.Cells, fmt.Sprintf("%.4f", p.Service.Min))
		lines = append(lines, l)
		loads[p.Load] = true
	}
	var chart template.HTML
	if len(loads) > 1 {
		var err error
		if chart, err = serviceCurve(mornings, points); err != nil {
			return err
		}
	}
	var heads []string
	for _, c := range columns {
		heads = append(heads, c.name)
	}
	return experimentPage.Execute(w, struct {
		Made  string
		Heads []string
		Lines []line
		Chart template.HTML
	}{made.UTC().Format("2006-01-02 15:04 UTC"), append(heads, "least service"), lines, chart})
}

var experimentPage = template.Must(template.New("experiment").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"/><meta name="viewport" content="width=device-width"/><title>Experiment</title>
<style>
body{font:15px/1.45 system-ui,sans-serif;max-width:76rem;margin:2rem auto;padding:0 1rem;color:#222;background:#fff}
table{border-collapse:collapse;font-variant-numeric:tabular-nums}td,th{padding:.15rem .9rem .15rem 0;text-align:left;white-space:nowrap}
tr:nth-child(even) td{background:#f6f6f6}.bad{color:#a83c00;font-weight:600}.wide{overflow-x:auto}.wide svg{max-width:100%;height:auto}
</style></head><body>
<h1>Experiment</h1><p>Mornings in virtual time, the decision module alone, {{.Made}}. Mean over the seeds and half of its 95% interval (Student's t).</p>
{{if .Chart}}<div class="wide">{{.Chart}}</div>{{end}}
<div class="wide"><table><tr><th>morning</th><th>load</th><th>runs</th>{{range .Heads}}<th>{{.}}</th>{{end}}<th>breaches</th></tr>
{{range .Lines}}<tr><td>{{.Name}}</td><td>{{.Load}}</td><td>{{.Runs}}</td>{{range .Cells}}<td>{{.}}</td>{{end}}<td{{if .Breaches}} class="bad"{{end}}>{{.Breaches}}</td></tr>
{{end}}</table></div></body></html>
`))
