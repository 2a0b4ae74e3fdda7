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
	"quincegap/internal/rehearsal/scenario"
)

// scenarioName returns the base name of a scenario's file without the extension.
func scenarioName(s *scenario.Scenario) string {
	return strings.TrimSuffix(path.Base(s.Name), ".morning")
}

// columns are the columns of the report: a heading, and the figure that it shows of a point.
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

// WriteTable writes the points of an experiment as a text table. Each figure is shown as its mean and half of the 95% confidence
// interval. It fails only if w does.
func WriteTable(w io.Writer, scenarios []*scenario.Scenario, points []experiment.Point) error {
	var text strings.Builder
	fmt.Fprintf(&text, "%-24s %6s %5s", "morning", "load", "runs")
	for _, column := range columns {
		fmt.Fprintf(&text, " %17s", column.name)
	}
	fmt.Fprintf(&text, " %9s %9s\n", "least", "breaches")
	for _, point := range points {
		fmt.Fprintf(&text, "%-24s %6.3g %5d", scenarioName(scenarios[point.Scenario]), point.Load, point.Runs)
		for _, column := range columns {
			figure := column.figure(point)
			fmt.Fprintf(&text, "   %7.4f ±%6.4f", figure.Mean, figure.HalfInterval)
		}
		fmt.Fprintf(&text, " %9.4f %9d\n", point.Service.Min, point.Breaches)
	}
	_, err := io.WriteString(w, text.String())
	return err
}

// errorBars are mean values with their confidence intervals, in the form that plotter.NewYErrorBars expects.
type errorBars struct {
	plotter.XYs
	plotter.YErrors
}

// palette holds the line colours of the scenarios. Further scenarios reuse the colours with dashed lines.
var palette = []color.RGBA{blue, green, orange, red, purple, grey}

// serviceCurve draws the service as a function of the load, with one line per scenario.
func serviceCurve(scenarios []*scenario.Scenario, points []experiment.Point) (template.HTML, error) {
	graph := plot.New()
	graph.X.Label.Text, graph.Y.Label.Text = "load, multiples of the script's rate", "service, mean and 95% interval"
	graph.Y.Min, graph.Y.Max = 0, 1.02
	graph.X.Scale = plot.LogScale{}
	graph.X.Tick.Marker = plot.TickerFunc(func(_, _ float64) []plot.Tick { return loadTicks(points) })
	graph.Legend.Left = true
	graph.Legend.Padding = vg.Points(2)
	graph.Add(plotter.NewGrid())
	for i, scenario := range scenarios {
		if err := addServiceLine(graph, i, scenario, points); err != nil {
			return "", err
		}
	}
	return renderSVG(graph)
}

// loadTicks returns an axis tick for each load of an experiment. All scenarios have the same loads, so it reads those of the first.
func loadTicks(points []experiment.Point) (ticks []plot.Tick) {
	for _, p := range points {
		if p.Scenario == points[0].Scenario {
			ticks = append(ticks, plot.Tick{Value: p.Load, Label: fmt.Sprintf("%.3g", p.Load)})
		}
	}
	return ticks
}

// addServiceLine adds the line of one scenario, with its confidence intervals.
func addServiceLine(graph *plot.Plot, index int, scenario *scenario.Scenario, points []experiment.Point) error {
	var bars errorBars
	for _, p := range points {
		if p.Scenario == index {
			bars.XYs = append(bars.XYs, plotter.XY{X: p.Load, Y: p.Service.Mean})
			bars.YErrors = append(bars.YErrors, struct{ Low, High float64 }{p.Service.HalfInterval, p.Service.HalfInterval})
		}
	}
	line, dots, err := plotter.NewLinePoints(bars.XYs)
	if err != nil {
		return err
	}
	intervals, err := plotter.NewYErrorBars(bars)
	if err != nil {
		return err
	}
	shade := palette[index%len(palette)]
	line.Color, dots.Color, intervals.Color = shade, shade, shade
	dots.Shape = draw.CircleGlyph{}
	dots.Radius = vg.Points(2)
	line.Width = vg.Points(1.3)
	if index >= len(palette) {
		line.Dashes = []vg.Length{vg.Points(4), vg.Points(float64(index / len(palette) * 2))}
	}
	graph.Add(line, dots, intervals)
	graph.Legend.Add(scenarioName(scenario), line, dots)
	return nil
}

// experimentRow is one point as a table row of the page. The template reads its fields by name.
type experimentRow struct {
	Name, Load string
	Runs       int
	Cells      []string
	Breaches   int
}

// WriteExperimentPage writes an experiment as one HTML page, with a service curve if there is more than one load. It fails if the curve
// cannot be drawn or w fails.
func WriteExperimentPage(w io.Writer, made time.Time, scenarios []*scenario.Scenario, points []experiment.Point) error {
	var rows []experimentRow
	loads := map[float64]bool{}
	for _, point := range points {
		row := experimentRow{
			Name: scenarioName(scenarios[point.Scenario]), Load: fmt.Sprintf("%.3g", point.Load), Runs: point.Runs, Breaches: point.Breaches,
		}
		for _, column := range columns {
			figure := column.figure(point)
			row.Cells = append(row.Cells, fmt.Sprintf("%.4f ± %.4f", figure.Mean, figure.HalfInterval))
		}
		row.Cells = append(row.Cells, fmt.Sprintf("%.4f", point.Service.Min))
		rows = append(rows, row)
		loads[point.Load] = true
	}
	var curve template.HTML
	if len(loads) > 1 {
		var err error
		if curve, err = serviceCurve(scenarios, points); err != nil {
			return err
		}
	}
	var heads []string
	for _, column := range columns {
		heads = append(heads, column.name)
	}
	return experimentPage.Execute(w, struct {
		Made  string
		Heads []string
		Lines []experimentRow
		Chart template.HTML
	}{made.UTC().Format("2006-01-02 15:04 UTC"), append(heads, "least service"), rows, curve})
}

// experimentPage is the template of WriteExperimentPage.
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
