package report

import (
	"fmt"
	"html/template"
	"io"
	"strings"
	"time"
)

// runView is a run with its rendered parts. The page's template reads its fields by name.
type runView struct {
	*Run
	Outcome  Outcome
	Reasons  []string
	Rows     []row
	Charts   []chart
	Breaches []string
}

// WritePage writes one HTML page about one or more runs of a scenario. It fails if a chart cannot be drawn or w fails.
func WritePage(w io.Writer, made time.Time, runs ...*Run) error {
	var views []runView
	for _, run := range runs {
		view := runView{Run: run, Rows: run.rows()}
		view.Outcome, view.Reasons = run.Outcome()
		for _, breach := range run.Verdict.Breaches {
			view.Breaches = append(view.Breaches, run.describeBreach(breach))
		}
		var err error
		if view.Charts, err = run.charts(); err != nil {
			return err
		}
		views = append(views, view)
	}
	return page.Execute(w, struct {
		Title string
		Made  string
		Runs  []runView
	}{runs[0].Plan.DisplayName(), made.UTC().Format("2006-01-02 15:04 UTC"), views})
}

// charts returns the charts of a run: responses to callers, attempts, and a heat map for each tier that has one.
func (r *Run) charts() ([]chart, error) {
	calls, err := r.secondsChart("requests a second", callerSeries)
	if err != nil {
		return nil, err
	}
	attempts, err := r.secondsChart("attempts a second", attemptSeries)
	if err != nil {
		return nil, err
	}
	charts := []chart{{"What callers got, by the second in which they first asked", calls}, {"Attempts", attempts}}
	for i, tier := range r.Plan.Tiers {
		servers, err := r.serverChart(i)
		if err != nil {
			return nil, err
		}
		if servers != "" {
			charts = append(charts, chart{fmt.Sprintf("Attempts a second at each box of %s, and what befell it", tier.Name), servers})
		}
	}
	return charts, nil
}

// seconds formats a time in seconds with three decimals, or as "never" if it is longer than any rehearsal (24 hours).
func seconds(d time.Duration) string {
	if d > 24*time.Hour {
		return "never"
	}
	return fmt.Sprintf("%.3f", d.Seconds())
}

// page is the template of WritePage.
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
{{range .Runs}}
<h2>{{if .Program}}{{.Program}}{{else}}Verdict{{end}}</h2>
<p><span class="{{lower .Outcome}}">{{.Outcome}}</span> seed {{.Plan.Seed}}, {{.Plan.Length}}{{if .Virtual}}, in virtual time{{end}}</p>
{{if .Reasons}}<ul>{{range .Reasons}}<li>{{.}}</li>{{end}}</ul>{{end}}
{{if .Notes}}<ul>{{range .Notes}}<li>{{.}}</li>{{end}}</ul>{{end}}
<table>{{range .Rows}}<tr><th>{{.Name}}</th><td class="n">{{.Value}}</td></tr>{{end}}</table>
{{range .Charts}}<h3>{{.Name}}</h3><div class="chart">{{.SVG}}</div>{{end}}
<p class="key">Marks: <span><b style="color:#d55e00">●</b> ends, goes silent</span><span><b style="color:#009e73">●</b> starts</span><span><b style="color:#e69f00">●</b> stands still, slow, or at fault</span>; shaded: something of the script goes on.</p>
<h3>The script's events</h3>
<table><tr><th>from, s</th><th>to, s</th><th></th></tr>{{range .Plan.Windows}}<tr><td class="n">{{seconds .From}}</td><td class="n">{{seconds .To}}</td><td>{{.Text}}</td></tr>{{end}}</table>
{{if .Breaches}}<h3>Breaches</h3><ol>{{range .Breaches}}<li>{{.}}</li>{{end}}</ol>{{end}}
<h3>The worst requests</h3>
{{range .Verdict.Traces}}<details><summary>{{seconds .At}} s, request {{.Origin}}: {{.Reason}}</summary><pre>{{range .Lines}}{{seconds .At}}  {{.Text}}
{{end}}</pre></details>{{else}}<p>None.</p>{{end}}
{{end}}
</body></html>
`))
