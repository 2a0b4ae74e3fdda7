package endpointsource

import (
	"time"

	"quincegap/internal/config/schema"
)

// Mode is which sources of endpoints are used. The values are those of settings files.
type Mode string

// The modes.
const (
	ModePlatform  Mode = "platform"  // only the platform's lists
	ModeConsul    Mode = "consul"    // only Consul
	ModeOverlay   Mode = "overlay"   // the platform's lists with the health that Consul has
	ModeRehearsal Mode = "rehearsal" // only the platform's lists; differences to Consul are logged
)

// Settings are the settings of a Merger. SettingsTable has their defaults, and their names in settings files.
type Settings struct {
	Mode             Mode
	FreeRecoveries   int           // recoveries within FlapWindow that take effect at once
	FlapWindow       time.Duration // see FreeRecoveries
	InitialHoldDown  time.Duration // of the next recovery; each further one doubles it
	MaxHoldDown      time.Duration
	ShrinkThreshold  float64       // an answer that lacks this share of the endpoints, or more, is doubted
	ConfirmAfter     time.Duration // how long an endpoint is missing until it is dropped
	ConsulTTL        time.Duration // how long Consul's entries are used after its last answer (ModeOverlay)
	RestartThreshold time.Duration // an endpoint without a start time that was critical for so long counts as restarted
}

// SettingsTable is the table [membership] of settings files.
var SettingsTable = schema.NewTable("membership", "Which sources of endpoints count, and how they are judged.",
	schema.Choice("source", func(s *Settings) *Mode { return &s.Mode },
		[]Mode{ModePlatform, ModeConsul, ModeOverlay, ModeRehearsal}, ModePlatform, false, schema.OnReload,
		"platform: discovery alone; consul: Consul alone; overlay: Consul's health over discovery's list; "+
			"rehearsal: discovery alone, and differences to Consul are logged."),
	schema.Int("free_returns", func(s *Settings) *int { return &s.FreeRecoveries },
		schema.Bounds[int]{Default: 2, Min: 0, Max: 100}, schema.OnReload,
		"How often within flap_window an endpoint may come back from critical at once."),
	schema.Duration("flap_window", func(s *Settings) *time.Duration { return &s.FlapWindow },
		schema.Bounds[time.Duration]{Default: 30 * time.Second, Min: time.Second, Max: time.Hour}, schema.OnReload,
		"See free_returns."),
	schema.Duration("first_hold", func(s *Settings) *time.Duration { return &s.InitialHoldDown },
		schema.Bounds[time.Duration]{Default: time.Second, Min: 0, Max: time.Minute}, schema.OnReload,
		"How long a further return waits; twice as long each time."),
	schema.Duration("longest_hold", func(s *Settings) *time.Duration { return &s.MaxHoldDown },
		schema.Bounds[time.Duration]{Default: 30 * time.Second, Min: 0, Max: time.Hour}, schema.OnReload,
		"The longest such wait."),
	schema.Float("shrink_share", func(s *Settings) *float64 { return &s.ShrinkThreshold },
		schema.Bounds[float64]{Default: 0.5, Min: 0.01, Max: 1}, schema.OnReload,
		"An answer that lacks this share of the endpoints before it, and more than two, is doubted."),
	schema.Duration("confirm_after", func(s *Settings) *time.Duration { return &s.ConfirmAfter },
		schema.Bounds[time.Duration]{Default: 10 * time.Second, Min: time.Second, Max: time.Hour}, schema.OnReload,
		"After this time of saying the same it is believed."),
	schema.Duration("word_holds", func(s *Settings) *time.Duration { return &s.ConsulTTL },
		schema.Bounds[time.Duration]{Default: time.Minute, Min: time.Second, Max: 24 * time.Hour}, schema.OnReload,
		"With source overlay: how long Consul's bad news hold after its last answer."),
	schema.Duration("restart_after", func(s *Settings) *time.Duration { return &s.RestartThreshold },
		schema.Bounds[time.Duration]{Default: 2 * time.Second, Min: 0, Max: time.Hour}, schema.OnReload,
		"An instance without a start time that was critical for so long counts as cold when it comes back."),
).Check(func(_ *schema.File, _ string, s *Settings, report schema.Reporter) {
	if s.MaxHoldDown < s.InitialHoldDown {
		report("longest_hold", "%s is shorter than first_hold, %s",
			schema.FormatDuration(s.MaxHoldDown), schema.FormatDuration(s.InitialHoldDown))
	}
})
