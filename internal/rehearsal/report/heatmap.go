package report

import (
	"html/template"
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"

	"quincegap/internal/rehearsal/scenario"
)

// maxHeatMapRows bounds the rows of a heat map; further servers are omitted.
const maxHeatMapRows = 120

// stepColors maps the kinds of steps that a server chart marks to their colours.
var stepColors = map[scenario.StepKind]color.RGBA{
	scenario.ServerCrash: red, scenario.ServerSilence: red, scenario.ServerStart: green,
	scenario.ServerPause: orange, scenario.ServerSlowdown: orange, scenario.ServerFault: orange,
}

// heatMap is the number of attempts at each server of a tier in each second. It implements plotter.GridXYZ.
type heatMap struct {
	servers []int   // server indexes by row
	loads   [][]int // attempts by server index and second
}

// Dims returns the numbers of columns (seconds) and rows (servers).
func (h heatMap) Dims() (c, r int) { return len(h.loads[h.servers[0]]), len(h.servers) }

// Z returns the number of attempts at the server of row r in second c.
func (h heatMap) Z(c, r int) float64 {
	return float64(h.loads[h.servers[r]][c])
}

// X returns the horizontal position of column c: the middle of the second.
func (h heatMap) X(c int) float64 { return float64(c) + 0.5 }

// Y returns the vertical position of row r.
func (h heatMap) Y(r int) float64 { return float64(r) + 1 }

// bluePalette is a palette from white to blue. It implements palette.Palette of gonum/plot.
type bluePalette struct{}

// Colors returns the colours in order from low to high values.
func (bluePalette) Colors() []color.Color {
	const n = 24
	all := make([]color.Color, n)
	for i := range all {
		mix := func(to uint8) uint8 { return uint8(255 - (255-int(to))*i/(n-1)) }
		all[i] = color.RGBA{mix(blue.R), mix(blue.G), mix(blue.B), 255}
	}
	return all
}

// serverChart draws a heat map of the attempts at each server of a tier, and marks the servers' steps. It returns an empty text if there
// are fewer than two servers or seconds, or no attempts.
func (r *Run) serverChart(tier int) (template.HTML, error) {
	heat := heatMap{loads: r.Verdict.AttemptsByServer}
	for i, server := range r.Plan.Servers {
		if server.Tier == tier && len(heat.servers) < maxHeatMapRows {
			heat.servers = append(heat.servers, i)
		}
	}
	if len(heat.servers) == 0 {
		return "", nil
	}
	highest := 0
	for _, server := range heat.servers {
		for _, attempts := range heat.loads[server] {
			highest = max(highest, attempts)
		}
	}
	if columns, _ := heat.Dims(); columns < 2 || len(heat.servers) < 2 || highest == 0 {
		return "", nil // a heat map needs at least two rows, two columns and one attempt
	}
	graph := plot.New()
	graph.X.Label.Text, graph.Y.Label.Text = "seconds", "box"
	graph.X.Min, graph.X.Max = 0, r.Plan.Length.Seconds()
	attempts := plotter.NewHeatMap(heat, bluePalette{})
	attempts.Min, attempts.Max = 0, float64(highest)
	graph.Add(attempts)
	if err := r.markSteps(graph, heat.servers); err != nil {
		return "", err
	}
	return renderSVG(graph)
}

// markSteps adds a dot for each step of kinds in stepColors to the row of the step's server.
func (r *Run) markSteps(graph *plot.Plot, servers []int) error {
	rows := map[int]int{}
	for row, server := range servers {
		rows[server] = row
	}
	for _, step := range r.Plan.Steps {
		row, ok := rows[step.Server]
		color, marked := stepColors[step.Kind]
		if !ok || !marked || step.At > r.Plan.Length {
			continue
		}
		dot, err := plotter.NewScatter(plotter.XYs{{X: step.At.Seconds(), Y: float64(row) + 1}})
		if err != nil {
			return err
		}
		dot.GlyphStyle = draw.GlyphStyle{Color: color, Radius: vg.Points(2.5), Shape: draw.CircleGlyph{}}
		graph.Add(dot)
	}
	return nil
}
