package endpointsource

import (
	"time"

	"quincegap/internal/config/schema"
)

// Mode selects the sources of endpoints. Its values are those in settings files.
type Mode string

// The modes of a Merger.
const (
	ModePlatform  Mode = "platform"  // only the platform's lists
	ModeConsul    Mode = "consul"    // only Consul
	ModeOverlay   Mode = "overlay"   // the platform's lists, combined with the health in Consul
	ModeRehearsal Mode = "rehearsal" // only the platform's lists; differences from Consul are logged
)

// Settings are the settings of a Merger. SettingsTable has their defaults, and their names in settings files.
type Settings struct {
	Mode             Mode
	FreeRecoveries   int           // number of recoveries within FlapWindow that take effect at once
	FlapWindow       time.Duration // time over which FreeRecoveries counts
	InitialHoldDown  time.Duration // hold-down of the first recovery after the free ones; each further recovery doubles it
	MaxHoldDown      time.Duration // bound on the doubled hold-downs
	ShrinkThreshold  float64       // an answer that lacks at least this share of the known endpoints needs a confirmation
	ConfirmAfter     time.Duration // how long an endpoint is missing before it is dropped
	ConsulTTL        time.Duration // how long Consul's entries are used after its latest answer, in ModeOverlay
	RestartThreshold time.Duration // how long an endpoint without a start time has to be critical to count as restarted
}

// SettingsTable describes the table [membership] of settings files.
var SettingsTable = schema.NewTable("membership", "Which sources of endpoints count, and how they are judged.",
	schema.Choice("source", func(second *Settings) *Mode { return &second.Mode },
		[]Mode{ModePlatform, ModeConsul, ModeOverlay, ModeRehearsal}, ModePlatform, false, schema.OnReload,
		"platform: discovery alone; consul: Consul alone; overlay: Consul's health over discovery's list; "+
			"rehearsal: discovery alone, and differences to Consul are logged."),
	schema.Int("free_returns", func(second *Settings) *int { return &second.FreeRecoveries },
		schema.Bounds[int]{Default: 2, Min: 0, Max: 100}, schema.OnReload,
		"How often within flap_window an endpoint may come back from critical at once."),
	schema.Duration("flap_window", func(second *Settings) *time.Duration { return &second.FlapWindow },
		schema.Bounds[time.Duration]{Default: 30 * time.Second, Min: time.Second, Max: time.Hour}, schema.OnReload,
		"See free_returns."),
	schema.Duration("first_hold", func(second *Settings) *time.Duration { return &second.InitialHoldDown },
		schema.Bounds[time.Duration]{Default: time.Second, Min: 0, Max: time.Minute}, schema.OnReload,
		"How long a further return waits; twice as long each time."),
	schema.Duration("longest_hold", func(second *Settings) *time.Duration { return &second.MaxHoldDown },
		schema.Bounds[time.Duration]{Default: 30 * time.Second, Min: 0, Max: time.Hour}, schema.OnReload,
		"The longest such wait."),
	schema.Float("shrink_share", func(second *Settings) *float64 { return &second.ShrinkThreshold },
		schema.Bounds[float64]{Default: 0.5, Min: 0.01, Max: 1}, schema.OnReload,
		"An answer that lacks this share of the endpoints before it, and more than two, is doubted."),
	schema.Duration("confirm_after", func(second *Settings) *time.Duration { return &second.ConfirmAfter },
		schema.Bounds[time.Duration]{Default: 10 * time.Second, Min: time.Second, Max: time.Hour}, schema.OnReload,
		"After this time of saying the same it is believed."),
	schema.Duration("word_holds", func(second *Settings) *time.Duration { return &second.ConsulTTL },
		schema.Bounds[time.Duration]{Default: time.Minute, Min: time.Second, Max: 24 * time.Hour}, schema.OnReload,
		"With source overlay: how long Consul's bad news hold after its last answer."),
	schema.Duration("restart_after", func(second *Settings) *time.Duration { return &second.RestartThreshold },
		schema.Bounds[time.Duration]{Default: 2 * time.Second, Min: 0, Max: time.Hour}, schema.OnReload,
		"An instance without a start time that was critical for so long counts as cold when it comes back."),
).Check(func(_ *schema.File, _ string, second *Settings, report schema.Reporter) {
	if second.MaxHoldDown < second.InitialHoldDown {
		report("longest_hold", "%s is shorter than first_hold, %s",
			schema.FormatDuration(second.MaxHoldDown), schema.FormatDuration(second.InitialHoldDown))
	}
})
