package report

import (
	"image/color"

	"quincegap/internal/rehearsal/morning"
)

// stepColors are the steps that are marked on the chart of their box, by colour.
var stepColors = map[morning.StepKind]color.RGBA{
	morning.ServerCrash: red, morning.ServerSilence: red, morning.ServerStart: green, morning.ServerPause: orange, morning.ServerSlowdown: orange, morning.ServerFault: orange,
}
