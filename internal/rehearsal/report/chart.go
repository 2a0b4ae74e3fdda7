package report

import (
	"bytes"
	"html/template"
	"image/color"
	"regexp"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Chart colours from the Okabe-Ito palette, which colour-blind readers can distinguish.
var (
	blue        = color.RGBA{0, 114, 178, 255}
	green       = color.RGBA{0, 158, 115, 255}
	orange      = color.RGBA{230, 159, 0, 255}
	red         = color.RGBA{213, 94, 0, 255}
	purple      = color.RGBA{204, 121, 167, 255}
	grey        = color.RGBA{120, 120, 120, 255}
	windowShade = color.RGBA{0, 0, 0, 24}
)

// Size of a chart on the page.
const (
	chartWidth  = 25 * vg.Centimeter
	chartHeight = 6.5 * vg.Centimeter
)

// chart is a rendered chart with its heading. The page's template reads its fields by name.
type chart struct {
	Name string
	SVG  template.HTML
}

// svgPrefix matches everything up to the svg element, such as the XML declaration, which must not occur inside an HTML page.
var svgPrefix = regexp.MustCompile(`(?s)^.*?(<svg)`)

// renderSVG draws a chart and returns it as an svg element for a page.
func renderSVG(graph *plot.Plot) (template.HTML, error) {
	canvas := vgsvg.New(chartWidth, chartHeight)
	graph.Draw(draw.New(canvas))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return "", err
	}
	return template.HTML(svgPrefix.ReplaceAllString(b.String(), "$1")), nil
}
