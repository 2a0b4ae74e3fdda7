package report

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"regexp"
	"strings"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"quincegap/internal/rehearsal/audit"
)

// The colours of the charts: those of Okabe and Ito, which people who see few colours can tell apart.
var (
	blue        = color.RGBA{0, 114, 178, 255}
	green       = color.RGBA{0, 158, 115, 255}
	orange      = color.RGBA{230, 159, 0, 255}
	red         = color.RGBA{213, 94, 0, 255}
	purple      = color.RGBA{204, 121, 167, 255}
	grey        = color.RGBA{120, 120, 120, 255}
	windowShade = color.RGBA{0, 0, 0, 24}
)

const (
	chartWidth  = 25 * vg.Centimeter
	chartHeight = 6.5 * vg.Centimeter
)

// series is one line of a chart.
type series struct {
	name  string
	color color.RGBA
	dash  bool
	at    func(s audit.Second) float64
}

// secondsChart draws lines by second over the windows of the script.
func (p *Run) secondsChart(unit string, lines []series) (template.HTML, error) {
	c := plot.New()
	c.X.Label.Text, c.Y.Label.Text = "seconds", unit
	c.X.Min, c.X.Max = 0, p.Plan.Length.Seconds()
	c.Y.Min = 0
	c.Legend.Top, c.Legend.Left = true, true
	c.Add(plotter.NewGrid())
	c.Legend.Padding = vg.Points(1.5)
	c.Legend.TextStyle.Font.Size = vg.Points(9)
	top := 0.0
	var drawn []plot.Plotter
	for _, l := range lines {
		points := make(plotter.XYs, len(p.Verdict.Seconds))
		for i, s := range p.Verdict.Seconds {
			points[i].X, points[i].Y = float64(i)+0.5, l.at(s)
			top = max(top, points[i].Y)
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return "", err
		}
		line.Color, line.Width = l.color, vg.Points(1.4)
		if l.dash {
			line.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
		}
		drawn = append(drawn, line)
		c.Legend.Add(l.name, line)
	}
	c.Y.Max = max(1, top*1.45) // the legend stands above the lines
	if err := p.shadeWindows(c); err != nil {
		return "", err
	}
	for _, l := range drawn {
		c.Add(l)
	}
	return renderSVG(c)
}

// shadeWindows puts a shade where the script has something going on; where windows overlap, one.
func (p *Run) shadeWindows(c *plot.Plot) error {
	var merged [][2]float64
	for _, w := range p.Plan.Windows { // in the order of their beginnings
		from, to := w.From.Seconds(), min(max(w.To.Seconds(), w.From.Seconds()+0.1), c.X.Max)
		if n := len(merged); n > 0 && from <= merged[n-1][1] {
			merged[n-1][1] = max(merged[n-1][1], to)
		} else if from < to {
			merged = append(merged, [2]float64{from, to})
		}
	}
	for _, m := range merged {
		from, to := m[0], m[1]
		box, err := plotter.NewPolygon(plotter.XYs{{X: from, Y: 0}, {X: to, Y: 0}, {X: to, Y: c.Y.Max}, {X: from, Y: c.Y.Max}})
		if err != nil {
			return err
		}
		box.Color, box.LineStyle.Width = windowShade, 0
		c.Add(box)
	}
	return nil
}

// heatMap is the attempts that each box of a tier got in each second.
type heatMap struct {
	servers []int
	loads   [][]int
}

func (h heatMap) Dims() (c, r int) { return len(h.loads[h.servers[0]]), len(h.servers) }
func (h heatMap) Z(c, r int) float64 {
	return float64(h.loads[h.servers[r]][c])
}
func (h heatMap) X(c int) float64 { return float64(c) + 0.5 }
func (h heatMap) Y(r int) float64 { return float64(r) + 1 }

// bluePalette is a palette from white to blue.
type bluePalette struct{}

func (bluePalette) Colors() []color.Color {
	const n = 24
	all := make([]color.Color, n)
	for i := range all {
		part := func(to uint8) uint8 { return uint8(255 - (255-int(to))*i/(n-1)) }
		all[i] = color.RGBA{part(blue.R), part(blue.G), part(blue.B), 255}
	}
	return all
}

// maxHeatMapRows bounds a chart by box: beyond that a box has no row of its own.
const maxHeatMapRows = 120

func (p *Run) serverChart(tier int) (template.HTML, error) {
	h := heatMap{loads: p.Verdict.AttemptsByServer}
	for i, b := range p.Plan.Servers {
		if b.Tier == tier && len(h.servers) < maxHeatMapRows {
			h.servers = append(h.servers, i)
		}
	}
	c := plot.New()
	c.X.Label.Text, c.Y.Label.Text = "seconds", "box"
	c.X.Min, c.X.Max = 0, p.Plan.Length.Seconds()
	most := 0
	for _, i := range h.servers {
		for _, n := range h.loads[i] {
			most = max(most, n)
		}
	}
	if cols, _ := h.Dims(); cols < 2 || len(h.servers) < 2 || most == 0 {
		return "", nil // a map needs two rows and columns, and something on it
	}
	m := plotter.NewHeatMap(h, bluePalette{})
	m.Min, m.Max = 0, float64(most)
	c.Add(m)
	// What befell each box, as a line along its row.
	rows := map[int]int{}
	for r, i := range h.servers {
		rows[i] = r
	}
	for _, s := range p.Plan.Steps {
		r, ok := rows[s.Server]
		text, marked := stepColors[s.Kind]
		if !ok || !marked || s.At > p.Plan.Length {
			continue
		}
		dot, err := plotter.NewScatter(plotter.XYs{{X: s.At.Seconds(), Y: float64(r) + 1}})
		if err != nil {
			return "", err
		}
		dot.GlyphStyle = draw.GlyphStyle{Color: text, Radius: vg.Points(2.5), Shape: draw.CircleGlyph{}}
		c.Add(dot)
	}
	return renderSVG(c)
}

// svgPrefix is what a picture in a page must not begin with.
var svgPrefix = regexp.MustCompile(`(?s)^.*?(<svg)`)

func renderSVG(c *plot.Plot) (template.HTML, error) {
	canvas := vgsvg.New(chartWidth, chartHeight)
	c.Draw(draw.New(canvas))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return "", err
	}
	return template.HTML(svgPrefix.ReplaceAllString(b.String(), "$1")), nil
}

type view struct {
	*Run
	Outcome  Outcome
	Why      []string
	Rows     []row
	Charts   []chart
	Breaches []string
}

type chart struct {
	Name string
	SVG  template.HTML
}

func (r row) Name() string  { return r.name }
func (r row) Value() string { return r.value }

// WritePage writes one page of HTML on one or several plays of a morning.
func WritePage(w io.Writer, made time.Time, plays ...*Run) error {
	var views []view
	for _, p := range plays {
		v := view{Run: p, Rows: p.rows()}
		v.Outcome, v.Why = p.Outcome()
		for _, b := range p.Verdict.Breaches {
			v.Breaches = append(v.Breaches, p.describeBreach(b))
		}
		calls, err := p.secondsChart("requests a second", []series{
			{"offered", grey, true, func(s audit.Second) float64 { return float64(s.Offered) }},
			{"served in time", green, false, func(s audit.Second) float64 { return float64(s.Served) }},
			{"served late", orange, false, func(s audit.Second) float64 { return float64(s.Late) }},
			{"refused", purple, false, func(s audit.Second) float64 { return float64(s.Rejected) }},
			{"failed", red, false, func(s audit.Second) float64 { return float64(s.Failed) }},
		})
		if err != nil {
			return err
		}
		attempts, err := p.secondsChart("attempts a second", []series{{"attempts at boxes of all tiers", blue, false, func(s audit.Second) float64 { return float64(s.Attempts) }}})
		if err != nil {
			return err
		}
		v.Charts = append(v.Charts, chart{"What callers got, by the second in which they first asked", calls}, chart{"Attempts", attempts})
		for i, t := range p.Plan.Tiers {
			boxes, err := p.serverChart(i)
			if err != nil {
				return err
			}
			if boxes != "" {
				v.Charts = append(v.Charts, chart{fmt.Sprintf("Attempts a second at each box of %s, and what befell it", t.Name), boxes})
			}
		}
		views = append(views, v)
	}
	return page.Execute(w, struct {
		Title string
		Made  string
		Plays []view
	}{plays[0].Plan.DisplayName(), made.UTC().Format("2006-01-02 15:04 UTC"), views})
}

func seconds(d time.Duration) string {
	if d > 24*time.Hour {
		return "never"
	}
	return fmt.Sprintf("%.3f", d.Seconds())
}

var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"seconds": seconds,
	"lower":   func(o Outcome) string { return strings.ToLower(o.String()) },
}).Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"/><meta name="viewport" content="width=device-width"/><title>{{.Title}}: rehearsal</title>
<style>
body{font:15px/1.45 system-ui,sans-serif;max-width:64rem;margin:2rem auto;padding:0 1rem;color:#222;background:#fff}
h1{margin-bottom:.2rem}h2{margin-top:2.2rem;border-bottom:1px solid #ddd}h3{margin:1.4rem 0 .3rem;font-size:1rem}
.kept,.missed,.broken,.void{display:inline-block;padding:.15rem .6rem;border-radius:.3rem;color:#fff;font-weight:600}
.kept{background:#00734f}.missed{background:#8a5a00}.broken{background:#a83c00}.void{background:#555}
table{border-collapse:collapse}td,th{padding:.15rem .8rem .15rem 0;text-align:left;vertical-align:top}
td.n{font-variant-numeric:tabular-nums;white-space:nowrap}
.chart{overflow-x:auto}.chart svg{max-width:100%;height:auto}
details{margin:.3rem 0}summary{cursor:pointer}pre{font-size:12.5px;overflow-x:auto;background:#f6f6f6;padding:.6rem}
.key span{margin-right:1rem}.key b{font-size:1.2em}
</style></head><body>
<h1>{{.Title}}</h1><p>A rehearsal on loopback, {{.Made}}.</p>
{{range .Plays}}
<h2>{{if .Build}}{{.Build}}{{else}}Verdict{{end}}</h2>
<p><span class="{{lower .Outcome}}">{{.Outcome}}</span> seed {{.Plan.Seed}}, {{.Plan.Length}}{{if .Virtual}}, in virtual time{{end}}</p>
{{if .Why}}<ul>{{range .Why}}<li>{{.}}</li>{{end}}</ul>{{end}}
{{if .Notes}}<ul>{{range .Notes}}<li>{{.}}</li>{{end}}</ul>{{end}}
<table>{{range .Rows}}<tr><th>{{.Name}}</th><td class="n">{{.Value}}</td></tr>{{end}}</table>
{{range .Charts}}<h3>{{.Name}}</h3><div class="chart">{{.SVG}}</div>{{end}}
<p class="key">Marks: <span><b style="color:#d55e00">●</b> ends, goes silent</span><span><b style="color:#009e73">●</b> starts</span><span><b style="color:#e69f00">●</b> stands still, slow, or at fault</span>; shaded: something of the script goes on.</p>
<h3>The script's events</h3>
<table><tr><th>from, s</th><th>to, s</th><th></th></tr>{{range .Plan.Windows}}<tr><td class="n">{{seconds .From}}</td><td class="n">{{seconds .To}}</td><td>{{.Text}}</td></tr>{{end}}</table>
{{if .Breaches}}<h3>Breaches</h3><ol>{{range .Breaches}}<li>{{.}}</li>{{end}}</ol>{{end}}
<h3>The worst requests</h3>
{{range .Verdict.Stories}}<details><summary>{{seconds .At}} s, request {{.Origin}}: {{.Why}}</summary><pre>{{range .Lines}}{{seconds .At}}  {{.Text}}
{{end}}</pre></details>{{else}}<p>None.</p>{{end}}
{{end}}
</body></html>
`))
