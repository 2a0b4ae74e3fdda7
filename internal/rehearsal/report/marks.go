package report

import (
	"image/color"

	"quincegap/internal/rehearsal/morning"
)

// stepMarks are the steps that are marked on the chart of their box, by colour.
var stepMarks = map[morning.Do]color.RGBA{
	morning.Crash: red, morning.Silence: red, morning.Start: green, morning.Pause: orange, morning.Slow: orange, morning.Fault: orange,
}
